#include "config/ConfigController.h"

#include "store/CasWithReadBack.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr const char* kHeadKey = "config/head";
constexpr duration kRetryPause{ 500 };
constexpr duration kWatchTimeout{ 30'000 };
constexpr int kMaxConflicts = 8;

result<fleet_config> DecodeHead(const std::optional<store_value>& aHead)
{
  return aHead ? ParseFleetConfig(aHead->mValue) : result<fleet_config>(fleet_config{});
}

bool ContainsChange(const fleet_config& aConfig, const std::string& aChangeId)
{
  const auto& ids = aConfig.mRecentChanges;
  return std::find(ids.begin(), ids.end(), aChangeId) != ids.end();
}

} // namespace

struct config_controller::pending_change
{
  config_change mChange;
  change_done mDone;
  int mConflictCount = 0;
  bool mMayHaveWritten = false;
};

config_controller::config_controller(event_loop& aLoop,
                                     store_client& aStore,
                                     event_log& aLog,
                                     config_check aCheck)
  : mLoop(aLoop)
  , mStore(aStore)
  , mLog(aLog)
  , mCheck(std::move(aCheck))
{
}

void config_controller::AddListener(listener aListener)
{
  mListeners.push_back(std::move(aListener));
}

void config_controller::Start()
{
  ReadHead();
}

void config_controller::ReadHead()
{
  mStore.Get(kHeadKey, [this](result<std::optional<store_value>> aAnswer) {
    if (aAnswer) {
      AdoptHead(*aAnswer);
      return;
    }
    if (!IsReady()) {
      mLoop.RunAfter(kRetryPause, [this] { ReadHead(); });
    }
  });
}

void config_controller::SetWatching(bool aWatching)
{
  {
    std::lock_guard lock(mMutex);
    mWatching = aWatching;
    if (!aWatching || mWatchPending) {
      return;
    }
    mWatchPending = true;
  }
  Watch();
}

void config_controller::Watch()
{
  uint64_t known = 0;
  {
    std::lock_guard lock(mMutex);
    known = mHeadRevision;
  }
  mStore.Watch(
    kHeadKey, known, kWatchTimeout, [this](result<std::optional<store_value>> aAnswer) {
      const bool failed = !aAnswer;
      if (!failed) {
        AdoptHead(*aAnswer);
      }
      std::unique_lock lock(mMutex);
      mWatchPending = mWatching;
      if (!mWatching) {
        return;
      }
      lock.unlock();
      mLoop.RunAfter(failed ? kRetryPause : duration::zero(), [this] { Watch(); });
    });
}

void config_controller::AdoptHead(const std::optional<store_value>& aHead)
{
  const auto decoded = DecodeHead(aHead);
  if (!decoded) {
    mLog.Write(
      log_event("config_head_unreadable").Add("error", Describe(decoded.error())));
    return;
  }
  {
    std::lock_guard lock(mMutex);
    mHeadRevision = std::max(mHeadRevision, aHead ? aHead->mVersion : 0);
  }
  Adopt(*decoded);
}

bool config_controller::Adopt(const fleet_config& aConfig)
{
  auto adopted = std::make_shared<const fleet_config>(aConfig);
  {
    std::lock_guard lock(mMutex);
    if (mCurrent && aConfig.mVersion <= mCurrent->mVersion) {
      return false;
    }
    mPrevious = mCurrent;
    mCurrent = adopted;
  }
  mLog.Write(log_event("config_in_force")
               .Add("version", static_cast<int64_t>(aConfig.mVersion)));
  for (const auto& item : mListeners) {
    item(adopted);
  }
  return true;
}

shared_config config_controller::Current() const
{
  std::lock_guard lock(mMutex);
  return mCurrent;
}

uint64_t config_controller::Version() const
{
  const auto current = Current();
  return current ? current->mVersion : 0;
}

std::string config_controller::PatchFrom(uint64_t aFrom) const
{
  shared_config previous;
  shared_config current;
  {
    std::lock_guard lock(mMutex);
    previous = mPrevious;
    current = mCurrent;
  }
  if (!previous || !current || previous->mVersion != aFrom) {
    return {};
  }
  return PatchBetween(*previous, *current);
}

void config_controller::Change(const config_change& aChange, change_done aDone)
{
  auto pending = std::make_shared<pending_change>();
  pending->mChange = aChange;
  pending->mDone = std::move(aDone);
  TryChange(pending);
}

void config_controller::TryChange(const std::shared_ptr<pending_change>& aPending)
{
  mStore.Get(kHeadKey, [this, aPending](result<std::optional<store_value>> aAnswer) {
    if (!aAnswer) {
      auto failure = aAnswer.error();
      failure.mCode = aPending->mMayHaveWritten ? error_code::kUnknownEffect
                                                : error_code::kUnavailable;
      aPending->mDone(tl::unexpected<error>(failure));
      return;
    }
    WriteChange(aPending, *aAnswer);
  });
}

void config_controller::WriteChange(const std::shared_ptr<pending_change>& aPending,
                                    const std::optional<store_value>& aHead)
{
  const auto head = DecodeHead(aHead);
  if (!head) {
    aPending->mDone(tl::unexpected<error>(head.error()));
    return;
  }
  AdoptHead(aHead);
  if (ContainsChange(*head, aPending->mChange.mId)) {
    aPending->mDone(Current());
    return;
  }
  auto next = ApplyChange(*head, aPending->mChange);
  if (next && mCheck) {
    if (auto checked = mCheck(*next); !checked) {
      next = tl::unexpected<error>(checked.error());
    }
  }
  if (!next) {
    aPending->mDone(tl::unexpected<error>(next.error()));
    return;
  }
  const store_write write{
    kHeadKey, ToJsonText(*next), aHead ? aHead->mVersion : 0, 0
  };
  CasWithReadBack(mLoop,
                  mStore,
                  write,
                  read_back_policy{},
                  [this, aPending, config = *next](result<uint64_t> aAnswer) {
                    OnWritten(aPending, config, aAnswer);
                  });
}

void config_controller::OnWritten(const std::shared_ptr<pending_change>& aPending,
                                  const fleet_config& aNext,
                                  const result<uint64_t>& aAnswer)
{
  if (aAnswer) {
    {
      std::lock_guard lock(mMutex);
      mHeadRevision = std::max(mHeadRevision, *aAnswer);
    }
    Adopt(aNext);
    mLog.Write(log_event("config_change_accepted")
                 .Add("change", aPending->mChange.mId)
                 .Add("version", static_cast<int64_t>(aNext.mVersion)));
    aPending->mDone(std::make_shared<const fleet_config>(aNext));
    return;
  }
  const auto code = aAnswer.error().mCode;
  if (code == error_code::kConflict && ++aPending->mConflictCount < kMaxConflicts) {
    // A later change may have been made on top of this one; the next read of the head
    // shows whether this one was accepted.
    aPending->mMayHaveWritten = true;
    TryChange(aPending);
    return;
  }
  aPending->mDone(tl::unexpected<error>(aAnswer.error()));
}

} // namespace anvildoor
