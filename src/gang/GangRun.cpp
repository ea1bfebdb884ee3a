#include "gang/GangRun.h"

#include <algorithm>
#include <cassert>

namespace anvildoor {

const char* ToString(gang_phase aPhase)
{
  switch (aPhase) {
    case gang_phase::kPreparing:
      return "preparing";
    case gang_phase::kCommitting:
      return "committing";
    case gang_phase::kActive:
      return "active";
    case gang_phase::kStopping:
      return "stopping";
    case gang_phase::kEnded:
      return "ended";
  }
  return "ended";
}

gang_run::gang_run(std::string aAttempt,
                   const placement& aPlacement,
                   const gang_limits& aLimits,
                   time_point aNow)
  : mAttempt(std::move(aAttempt))
  , mLimits(aLimits)
  , mPhaseSince(aNow)
{
  assert(!aPlacement.empty());
  for (const auto& part : aPlacement) {
    mMembers.push_back({ part.mWorker, progress::kIdle, false, false, {}, aNow });
  }
}

gang_run gang_run::Make(std::string aAttempt,
                        const placement& aPlacement,
                        const gang_limits& aLimits,
                        time_point aNow)
{
  return { std::move(aAttempt), aPlacement, aLimits, aNow };
}

gang_run gang_run::Resume(std::string aAttempt,
                          const placement& aPlacement,
                          const gang_limits& aLimits,
                          time_point aNow)
{
  gang_run run(std::move(aAttempt), aPlacement, aLimits, aNow);
  run.mPhase = gang_phase::kActive;
  run.mCommitted = true;
  for (auto& item : run.mMembers) {
    item.mProgress = progress::kUnknown;
    item.mMayHaveRun = true;
  }
  return run;
}

gang_run::member* gang_run::Find(const std::string& aWorker)
{
  for (auto& item : mMembers) {
    if (item.mWorker == aWorker) {
      return &item;
    }
  }
  return nullptr;
}

bool gang_run::IsEnded(const member& aMember)
{
  return aMember.mProgress == progress::kCompleted ||
         aMember.mProgress == progress::kFailed ||
         aMember.mProgress == progress::kStopped ||
         aMember.mProgress == progress::kNeverRan;
}

bool gang_run::AllMembers(bool (*aPredicate)(const member&)) const
{
  return std::all_of(mMembers.begin(), mMembers.end(), aPredicate);
}

bool gang_run::AllRunningOrCompleted() const
{
  return AllMembers([](const member& aMember) {
    return aMember.mProgress == progress::kRunning ||
           aMember.mProgress == progress::kCompleted;
  });
}

bool gang_run::MayHaveRun() const
{
  return std::any_of(mMembers.begin(), mMembers.end(), [](const member& aMember) {
    return aMember.mMayHaveRun;
  });
}

std::vector<std::string> gang_run::Workers() const
{
  std::vector<std::string> workers;
  for (const auto& item : mMembers) {
    workers.push_back(item.mWorker);
  }
  return workers;
}

gang_outcome gang_run::Outcome() const
{
  if (mPhase != gang_phase::kEnded) {
    return gang_outcome::kNone;
  }
  const auto isCompleted = [](const member& aMember) {
    return aMember.mProgress == progress::kCompleted;
  };
  if (AllMembers(isCompleted)) {
    return gang_outcome::kCompleted;
  }
  if (!mFailedWorker.empty()) {
    return gang_outcome::kFailed;
  }
  return MayHaveRun() ? gang_outcome::kInterrupted : gang_outcome::kNeverRan;
}

gang_run::actions gang_run::Begin()
{
  return TakeDueActions(mPhaseSince);
}

gang_run::actions gang_run::OnPrepared(const std::string& aWorker,
                                       const result<call_ack>& aAnswer,
                                       time_point aNow)
{
  auto* item = Find(aWorker);
  if (item == nullptr) {
    return {};
  }
  item->mCallInFlight = false;
  if (mPhase == gang_phase::kPreparing) {
    if (aAnswer) {
      item->mProgress = progress::kPrepared;
      item->mPrepareAck = *aAnswer;
    } else if (aAnswer.error().mCode == error_code::kRefused) {
      // A gang that is still stopping may occupy the capacity, so retry later.
      item->mNextTry = aNow + mLimits.mRetryInterval;
    } else {
      mUnreachableWorker = aWorker;
      EnterStopping(aNow);
    }
  }
  return Evaluate(aNow);
}

gang_run::actions gang_run::OnCommitted(time_point aNow)
{
  if (mPhase != gang_phase::kCommitting) {
    return {};
  }
  mPhase = gang_phase::kActive;
  mPhaseSince = aNow;
  mCommitted = true;
  return Evaluate(aNow);
}

gang_run::actions gang_run::OnReleased(const std::string& aWorker,
                                       const result<call_ack>& aAnswer,
                                       time_point aNow)
{
  auto* item = Find(aWorker);
  if (item == nullptr) {
    return {};
  }
  item->mCallInFlight = false;
  if (aAnswer) {
    if (item->mProgress == progress::kPrepared) {
      item->mProgress = progress::kRunning;
    }
  } else if (aAnswer.error().mCode == error_code::kNotFound) {
    if (item->mProgress == progress::kPrepared) {
      // Either the hold expired, or the reply to an earlier release was lost and the
      // tasks have ended since.
      item->mProgress = progress::kUnknown;
    }
  } else {
    item->mNextTry = aNow + mLimits.mRetryInterval;
  }
  return Evaluate(aNow);
}

gang_run::actions gang_run::OnStopped(const std::string& aWorker,
                                      const result<member_report>& aAnswer,
                                      time_point aNow)
{
  auto* item = Find(aWorker);
  if (item == nullptr) {
    return {};
  }
  item->mCallInFlight = false;
  if (aAnswer) {
    ApplyReport(*item, *aAnswer);
  } else {
    item->mNextTry = aNow + mLimits.mRetryInterval;
  }
  return Evaluate(aNow);
}

void gang_run::ApplyReport(member& aMember, const member_report& aReport)
{
  if (IsEnded(aMember)) {
    return;
  }
  switch (aReport.mState) {
    case member_state::kPrepared:
      // A report that predates the release must not revert the state to prepared.
      if (aMember.mProgress != progress::kRunning) {
        aMember.mProgress = progress::kPrepared;
      }
      return;
    case member_state::kRunning:
      aMember.mProgress = progress::kRunning;
      break;
    case member_state::kCompleted:
      aMember.mProgress = progress::kCompleted;
      break;
    case member_state::kFailed:
      aMember.mProgress = progress::kFailed;
      if (mFailedWorker.empty()) {
        mFailedWorker = aMember.mWorker;
        mFailureReason = aReport.mReason;
      }
      break;
    case member_state::kStopped:
      aMember.mProgress = progress::kStopped;
      break;
    case member_state::kNeverRan:
      // A restarted worker has no record of the attempt. If a release was sent, the
      // member may have run.
      aMember.mProgress = progress::kNeverRan;
      aMember.mMayHaveRun = aMember.mMayHaveRun && !aReport.mKnown;
      return;
  }
  aMember.mMayHaveRun = true;
  if (!aReport.mResult.empty()) {
    mResult = aReport.mResult;
  }
  if (!aReport.mCheckpoint.empty()) {
    mCheckpoint = aReport.mCheckpoint;
  }
}

gang_run::actions gang_run::OnReport(const std::string& aWorker,
                                     const member_report& aReport,
                                     time_point aNow)
{
  auto* item = Find(aWorker);
  if (item == nullptr || aReport.mAttempt != mAttempt) {
    return {};
  }
  const bool beforeCommit =
    mPhase == gang_phase::kPreparing || mPhase == gang_phase::kCommitting;
  if (beforeCommit && aReport.mState == member_state::kPrepared) {
    return {}; // The reply to the prepare call sets the state.
  }
  ApplyReport(*item, aReport);
  return Evaluate(aNow);
}

gang_run::actions gang_run::OnMissing(const std::string& aWorker,
                                      const renew_reply& aFullReport,
                                      time_point aNow)
{
  auto* item = Find(aWorker);
  const bool beforePrepared =
    item != nullptr && !mCommitted && item->mProgress == progress::kIdle;
  if (item == nullptr || IsEnded(*item) || beforePrepared) {
    return {};
  }
  if (call_ack{ aFullReport.mIncarnation, aFullReport.mSequence } < item->mPrepareAck) {
    return {};
  }
  item->mProgress = progress::kStopped;
  return Evaluate(aNow);
}

gang_run::actions gang_run::OnWorkerLost(const std::string& aWorker, time_point aNow)
{
  auto* item = Find(aWorker);
  if (item == nullptr || IsEnded(*item)) {
    return {};
  }
  item->mProgress = progress::kStopped;
  return Evaluate(aNow);
}

gang_run::actions gang_run::RequestStop(time_point aNow)
{
  if (mPhase != gang_phase::kStopping && mPhase != gang_phase::kEnded) {
    EnterStopping(aNow);
  }
  return Evaluate(aNow);
}

void gang_run::EnterStopping(time_point aNow)
{
  mPhase = gang_phase::kStopping;
  mPhaseSince = aNow;
  for (auto& item : mMembers) {
    item.mNextTry = aNow;
  }
}

gang_run::actions gang_run::OnTick(time_point aNow)
{
  const bool prepareOverdue =
    (mPhase == gang_phase::kPreparing || mPhase == gang_phase::kCommitting) &&
    aNow - mPhaseSince >= mLimits.mPrepareTimeout;
  if (prepareOverdue || (mPhase == gang_phase::kActive && IsOverdue(aNow))) {
    EnterStopping(aNow);
  }
  return Evaluate(aNow);
}

bool gang_run::IsOverdue(time_point aNow) const
{
  const duration passed = aNow - mPhaseSince;
  return std::any_of(mMembers.begin(), mMembers.end(), [&](const member& aMember) {
    return (aMember.mProgress == progress::kPrepared &&
            passed >= mLimits.mReleaseTimeout) ||
           (aMember.mProgress == progress::kUnknown &&
            passed >= mLimits.mReportTimeout);
  });
}

gang_run::actions gang_run::Evaluate(time_point aNow)
{
  if (mPhase == gang_phase::kPreparing) {
    const auto isPrepared = [](const member& aMember) {
      return aMember.mProgress == progress::kPrepared;
    };
    if (std::any_of(mMembers.begin(), mMembers.end(), IsEnded)) {
      EnterStopping(aNow);
    } else if (AllMembers(isPrepared)) {
      mPhase = gang_phase::kCommitting;
      return { { gang_action_kind::kCommit, {} } };
    }
  } else if (mPhase == gang_phase::kCommitting) {
    if (std::any_of(mMembers.begin(), mMembers.end(), IsEnded)) {
      EnterStopping(aNow);
    }
  }
  if (mPhase == gang_phase::kActive) {
    return EvaluateActive(aNow);
  }
  if (mPhase == gang_phase::kStopping && AllMembers(IsEnded)) {
    mPhase = gang_phase::kEnded;
    return { { gang_action_kind::kEnded, {} } };
  }
  return TakeDueActions(aNow);
}

gang_run::actions gang_run::EvaluateActive(time_point aNow)
{
  const auto isCompleted = [](const member& aMember) {
    return aMember.mProgress == progress::kCompleted;
  };
  if (AllMembers(isCompleted)) {
    mPhase = gang_phase::kEnded;
    return { { gang_action_kind::kEnded, {} } };
  }
  const bool broken =
    std::any_of(mMembers.begin(), mMembers.end(), [](const member& aMember) {
      return IsEnded(aMember) && aMember.mProgress != progress::kCompleted;
    });
  if (broken) {
    EnterStopping(aNow);
    if (AllMembers(IsEnded)) {
      mPhase = gang_phase::kEnded;
      return { { gang_action_kind::kEnded, {} } };
    }
  }
  return TakeDueActions(aNow);
}

std::optional<gang_action_kind> gang_run::DueAction(const member& aMember) const
{
  if (mPhase == gang_phase::kPreparing && aMember.mProgress == progress::kIdle) {
    return gang_action_kind::kPrepare;
  }
  if (mPhase == gang_phase::kActive && aMember.mProgress == progress::kPrepared) {
    return gang_action_kind::kRelease;
  }
  if (mPhase == gang_phase::kStopping && !IsEnded(aMember)) {
    return gang_action_kind::kStop;
  }
  return std::nullopt;
}

gang_run::actions gang_run::TakeDueActions(time_point aNow)
{
  actions due;
  for (auto& item : mMembers) {
    const auto action = DueAction(item);
    if (!action || item.mCallInFlight || item.mNextTry > aNow) {
      continue;
    }
    item.mCallInFlight = true;
    if (*action == gang_action_kind::kRelease) {
      item.mMayHaveRun = true;
    }
    due.push_back({ *action, item.mWorker });
  }
  return due;
}

} // namespace anvildoor
