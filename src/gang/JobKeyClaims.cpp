#include "gang/JobKeyClaims.h"

namespace anvildoor {

namespace {

/**
 * 30 days for the longest declared run time, 24 h for which the record of an ended job
 * is kept, and a margin of 2 h, because keys are attached to a lease for 1 h after it
 * was granted. A key is thus not reused for a second job while the first is recorded.
 */
constexpr duration kLeaseTtl = std::chrono::hours(30 * 24 + 26);
constexpr read_back_policy kClaimPolicy{ duration(1'500), duration(100) };

} // namespace

job_key_claims::job_key_claims(event_loop& aLoop,
                               store_client& aStore,
                               std::string aDataCentre)
  : mLoop(aLoop)
  , mStore(aStore)
  , mDataCentre(std::move(aDataCentre))
  , mLease(aLoop, aStore, shared_lease_policy{ kLeaseTtl })
{
}

void job_key_claims::Claim(const std::string& aJob, job_claim_done aDone)
{
  mLease.Get([this, aJob, done = std::move(aDone)](uint64_t aLease) {
    if (aLease == 0) {
      done(Fail(
        error_code::kUnavailable, "job.home", "store", "the store did not respond"));
      return;
    }
    WriteClaim(aJob, aLease, done);
  });
}

void job_key_claims::WriteClaim(const std::string& aJob,
                                uint64_t aLease,
                                job_claim_done aDone)
{
  const store_write write{ "homes/" + aJob, mDataCentre, 0, aLease };
  CasWithReadBack(
    mLoop,
    mStore,
    write,
    kClaimPolicy,
    [this, write, done = std::move(aDone)](const result<uint64_t>& aAnswer) {
      if (aAnswer) {
        done(mDataCentre);
        return;
      }
      if (aAnswer.error().mCode != error_code::kConflict) {
        done(tl::unexpected<error>(aAnswer.error()));
        return;
      }
      mStore.Get(write.mKey, [done](const result<std::optional<store_value>>& aFound) {
        if (!aFound || !*aFound) {
          done(Fail(error_code::kUnavailable,
                    "job.home",
                    "store",
                    "the job key could not be read from the store"));
          return;
        }
        done((*aFound)->mValue);
      });
    });
}

} // namespace anvildoor
