#pragma once

#include "store/CasWithReadBack.h"
#include "store/SharedLease.h"
#include "store/StoreClient.h"

#include <functional>
#include <string>

namespace anvildoor {

/**
 * Assigns each job key to the data centre that claims it first, so that a retry in
 * another data centre does not start a second job. A claim lasts at least a day longer
 * than the longest run time that a job may declare. Thread-safe.
 */
class job_key_claims
{
public:
  using job_claim_done = std::function<void(result<std::string>)>;

  /** The references must outlive the object. */
  job_key_claims(event_loop& aLoop, store_client& aStore, std::string aDataCentre);

  /**
   * Claims aJob for this data centre. Calls aDone with the data centre that owns the
   * key, which is another one if it claimed the key first, or with kUnavailable or
   * kUnknownEffect if the store does not respond.
   */
  void Claim(const std::string& aJob, job_claim_done aDone);

private:
  void WriteClaim(const std::string& aJob, uint64_t aLease, job_claim_done aDone);

  event_loop& mLoop;
  store_client& mStore;
  std::string mDataCentre;
  shared_lease mLease;
};

} // namespace anvildoor
