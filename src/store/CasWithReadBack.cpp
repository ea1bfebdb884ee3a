#include "store/CasWithReadBack.h"

#include <memory>

namespace anvildoor {

namespace {

class read_back_write : public std::enable_shared_from_this<read_back_write>
{
public:
  read_back_write(event_loop& aLoop,
                  store_client& aStore,
                  const store_write& aWrite,
                  const read_back_policy& aPolicy,
                  store_done<uint64_t> aDone)
    : mLoop(aLoop)
    , mStore(aStore)
    , mWrite(aWrite)
    , mPolicy(aPolicy)
    , mDone(std::move(aDone))
    , mDeadline(aLoop.Now() + aPolicy.mBudget)
  {
  }

  void TryWrite()
  {
    mStore.Cas(mWrite, [self = shared_from_this()](result<uint64_t> aAnswer) {
      self->OnWritten(std::move(aAnswer));
    });
  }

private:
  void OnWritten(result<uint64_t> aAnswer)
  {
    if (aAnswer) {
      mDone(std::move(aAnswer));
      return;
    }
    const auto code = aAnswer.error().mCode;
    const bool mayHaveTakenEffect = code == error_code::kUnknownEffect ||
                                    (code == error_code::kConflict && mOutcomeUnknown);
    if (mayHaveTakenEffect) {
      mOutcomeUnknown = true;
      ReadBack();
      return;
    }
    if (code == error_code::kUnavailable && mOutcomeUnknown) {
      RetryLater();
      return;
    }
    mDone(std::move(aAnswer));
  }

  void ReadBack()
  {
    mStore.Get(mWrite.mKey,
               [self = shared_from_this()](result<std::optional<store_value>> aAnswer) {
                 self->OnReadBack(std::move(aAnswer));
               });
  }

  void OnReadBack(result<std::optional<store_value>> aAnswer)
  {
    if (!aAnswer) {
      RetryLater();
      return;
    }
    const auto& found = *aAnswer;
    if (found && found->mValue == mWrite.mValue) {
      mDone(found->mVersion);
      return;
    }
    const uint64_t version = found ? found->mVersion : 0;
    if (version == mWrite.mExpectedVersion) {
      RetryLater();
      return;
    }
    mDone(Fail(error_code::kConflict,
               "store.cas",
               mWrite.mKey,
               "the key was changed by another write"));
  }

  void RetryLater()
  {
    if (mLoop.Now() >= mDeadline) {
      mDone(Fail(error_code::kUnknownEffect,
                 "store.settle",
                 mWrite.mKey,
                 "the outcome of the write is unknown at the end of its time budget"));
      return;
    }
    mLoop.RunAfter(mPolicy.mRetryPause,
                   [self = shared_from_this()] { self->TryWrite(); });
  }

  event_loop& mLoop;
  store_client& mStore;
  store_write mWrite;
  read_back_policy mPolicy;
  store_done<uint64_t> mDone;
  time_point mDeadline;
  bool mOutcomeUnknown = false;
};

} // namespace

void CasWithReadBack(event_loop& aLoop,
                     store_client& aStore,
                     const store_write& aWrite,
                     const read_back_policy& aPolicy,
                     store_done<uint64_t> aDone)
{
  std::make_shared<read_back_write>(aLoop, aStore, aWrite, aPolicy, std::move(aDone))
    ->TryWrite();
}

} // namespace anvildoor
