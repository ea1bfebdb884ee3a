#include "gang/SimulatedWorker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

constexpr duration kCheckpointTime{ 200 };
constexpr duration kFailDelay{ 50 };
constexpr duration kTombstoneLifetime = std::chrono::minutes(10);
constexpr int64_t kDefaultRunMs = 1'000;

struct task_script
{
  int64_t mRunMs = kDefaultRunMs;
  bool mFail = false;
  std::string mResult = "done";
};

task_script ParseTaskScript(const std::string& aPayload)
{
  task_script script;
  const auto payload = nlohmann::json::parse(aPayload, nullptr, false);
  if (payload.is_object()) {
    script.mRunMs = payload.value("run_ms", script.mRunMs);
    script.mFail = payload.value("fail", script.mFail);
    script.mResult = payload.value("result", script.mResult);
  }
  return script;
}

bool IsEnded(member_state aState)
{
  return aState != member_state::kPrepared && aState != member_state::kRunning;
}

tl::unexpected<error> FencedError(const std::string& aWorker)
{
  return Fail(error_code::kFenced,
              "worker",
              aWorker,
              "the epoch is older than that of an earlier call");
}

} // namespace

simulated_worker::simulated_worker(event_loop& aLoop,
                                   std::string aId,
                                   const resources& aCapacity,
                                   event_sink aSink)
  : mLoop(aLoop)
  , mId(std::move(aId))
  , mCapacity(aCapacity)
  , mSink(std::move(aSink))
{
}

bool simulated_worker::IsFenced(uint64_t aEpoch)
{
  if (aEpoch < mEpoch) {
    return true;
  }
  mEpoch = aEpoch;
  return false;
}

resources simulated_worker::Free() const
{
  auto free = mCapacity;
  for (const auto& [id, item] : mAttempts) {
    if (!IsEnded(item.mReport.mState)) {
      free = free - item.mRequest.mPerTask * item.mRequest.mTasks;
    }
  }
  return free;
}

void simulated_worker::SetState(held_attempt& aAttempt,
                                member_state aState,
                                const std::string& aReason)
{
  aAttempt.mReport.mState = aState;
  aAttempt.mReport.mReason = aReason;
  aAttempt.mSequence = ++mSequence;
  ++aAttempt.mTimerId;
  const auto& request = aAttempt.mRequest;
  if (mSink) {
    mSink({ mLoop.Now(),
            mId,
            request.mJob,
            request.mAttempt,
            aState,
            request.mTasks,
            request.mGangTasks });
  }
  if (!IsEnded(aState)) {
    return;
  }
  for (auto& waiter : aAttempt.mWaiters) {
    mLoop.Post([done = std::move(waiter), report = aAttempt.mReport] { done(report); });
  }
  aAttempt.mWaiters.clear();
}

void simulated_worker::ArmTimer(held_attempt& aAttempt, duration aDelay)
{
  aAttempt.mTimerId = ++mTimerCount << 8U;
  mLoop.RunAfter(aDelay,
                 [this, id = aAttempt.mRequest.mAttempt, timer = aAttempt.mTimerId] {
                   OnTimer(id, timer);
                 });
}

void simulated_worker::OnTimer(const std::string& aAttempt, uint64_t aTimer)
{
  std::lock_guard lock(mMutex);
  const auto found = mAttempts.find(aAttempt);
  if (found == mAttempts.end() || found->second.mTimerId != aTimer) {
    return;
  }
  if (found->second.mReport.mState == member_state::kPrepared) {
    SetState(found->second, member_state::kNeverRan, "the hold expired before release");
  } else {
    EndRun(found->second);
  }
}

void simulated_worker::EndRun(held_attempt& aAttempt)
{
  const auto script = ParseTaskScript(aAttempt.mRequest.mPayload);
  if (script.mFail || mFaults.mFailTasks) {
    SetState(aAttempt, member_state::kFailed, "the task exited with status 1");
    return;
  }
  if (aAttempt.mRequest.mFirstTask == 0) {
    aAttempt.mReport.mResult = script.mResult;
  }
  SetState(aAttempt, member_state::kCompleted, "");
}

result<call_ack> simulated_worker::Prepare(const prepare_request& aRequest)
{
  std::lock_guard lock(mMutex);
  if (IsFenced(aRequest.mEpoch)) {
    return FencedError(mId);
  }
  const auto found = mAttempts.find(aRequest.mAttempt);
  if (found != mAttempts.end() &&
      found->second.mReport.mState == member_state::kPrepared) {
    return call_ack{ mIncarnation, mSequence };
  }
  const bool ended =
    found != mAttempts.end() || mTombstones.count(aRequest.mAttempt) != 0;
  if (ended) {
    return Fail(
      error_code::kInvalid, "worker.prepare", mId, "the attempt has already ended");
  }
  if (mFaults.mRefusePrepare || !FitsIn(aRequest.mPerTask * aRequest.mTasks, Free())) {
    return Fail(
      error_code::kRefused, "worker.prepare", mId, "not enough free capacity");
  }
  auto& item = mAttempts[aRequest.mAttempt];
  item.mRequest = aRequest;
  item.mReport.mAttempt = aRequest.mAttempt;
  item.mReport.mJob = aRequest.mJob;
  item.mReport.mHoldsWholeGang = aRequest.mTasks == aRequest.mGangTasks;
  if (!aRequest.mCheckpoint.empty()) {
    item.mCheckpointedMs = std::strtoll(aRequest.mCheckpoint.c_str(), nullptr, 10);
  }
  SetState(item, member_state::kPrepared, "");
  ArmTimer(item, aRequest.mHoldDuration);
  return call_ack{ mIncarnation, mSequence };
}

result<call_ack> simulated_worker::Release(uint64_t aEpoch, const std::string& aAttempt)
{
  std::lock_guard lock(mMutex);
  if (IsFenced(aEpoch)) {
    return FencedError(mId);
  }
  const auto found = mAttempts.find(aAttempt);
  if (found == mAttempts.end() || IsEnded(found->second.mReport.mState)) {
    return Fail(error_code::kNotFound,
                "worker.release",
                mId,
                "the attempt is neither prepared nor running");
  }
  if (found->second.mReport.mState == member_state::kPrepared) {
    if (mFaults.mReleaseDelay.count() > 0) {
      mLoop.RunAfter(mFaults.mReleaseDelay, [this, aAttempt] {
        std::lock_guard inner(mMutex);
        const auto late = mAttempts.find(aAttempt);
        if (late != mAttempts.end() &&
            late->second.mReport.mState == member_state::kPrepared) {
          BeginRun(late->second);
        }
      });
      return call_ack{ mIncarnation, mSequence };
    }
    BeginRun(found->second);
  }
  return call_ack{ mIncarnation, mSequence };
}

void simulated_worker::BeginRun(held_attempt& aAttempt)
{
  SetState(aAttempt, member_state::kRunning, "");
  aAttempt.mReleased = mLoop.Now();
  const auto script = ParseTaskScript(aAttempt.mRequest.mPayload);
  const int64_t remainingMs =
    std::max<int64_t>(1, script.mRunMs - aAttempt.mCheckpointedMs);
  ArmTimer(aAttempt,
           mFaults.mFailTasks || script.mFail ? kFailDelay : duration(remainingMs));
}

void simulated_worker::StopNow(held_attempt& aAttempt, bool aCheckpoint)
{
  if (IsEnded(aAttempt.mReport.mState)) {
    return;
  }
  if (aAttempt.mReport.mState == member_state::kPrepared) {
    SetState(aAttempt, member_state::kNeverRan, "stopped before release");
    return;
  }
  if (aCheckpoint) {
    const auto ran = (mLoop.Now() - aAttempt.mReleased).count();
    aAttempt.mReport.mCheckpoint = std::to_string(aAttempt.mCheckpointedMs + ran);
  }
  SetState(aAttempt, member_state::kStopped, "stopped by request");
}

void simulated_worker::Stop(const stop_request& aRequest,
                            port_done<member_report> aDone)
{
  std::lock_guard lock(mMutex);
  if (IsFenced(aRequest.mEpoch)) {
    mLoop.Post(
      [aDone, answer = result<member_report>(FencedError(mId))] { aDone(answer); });
    return;
  }
  mTombstones[aRequest.mAttempt] = mLoop.Now() + kTombstoneLifetime;
  const auto found = mAttempts.find(aRequest.mAttempt);
  if (found == mAttempts.end()) {
    member_report unknown;
    unknown.mAttempt = aRequest.mAttempt;
    unknown.mState = member_state::kNeverRan;
    unknown.mKnown = false;
    mLoop.Post([aDone, unknown] { aDone(unknown); });
    return;
  }
  auto& item = found->second;
  if (IsEnded(item.mReport.mState)) {
    item.mStopRequested = true;
    mLoop.Post([aDone, report = item.mReport] { aDone(report); });
    return;
  }
  item.mStopRequested = true;
  item.mWaiters.push_back(std::move(aDone));
  if (item.mReport.mState == member_state::kPrepared || aRequest.mGrace.count() == 0) {
    StopNow(item, false);
    return;
  }
  const bool canCheckpoint = aRequest.mGrace >= kCheckpointTime;
  const auto delay = canCheckpoint ? kCheckpointTime : aRequest.mGrace;
  mLoop.RunAfter(delay, [this, attempt = aRequest.mAttempt, canCheckpoint] {
    std::lock_guard inner(mMutex);
    const auto late = mAttempts.find(attempt);
    if (late != mAttempts.end()) {
      StopNow(late->second, canCheckpoint);
    }
  });
}

void simulated_worker::CheckLease()
{
  if (mLoop.Now() < mLeaseUntil) {
    return;
  }
  for (auto& [id, item] : mAttempts) {
    if (item.mReport.mState == member_state::kRunning) {
      SetState(item, member_state::kStopped, "the lease expired");
    }
  }
}

result<renew_reply> simulated_worker::Renew(const renew_request& aRequest)
{
  std::lock_guard lock(mMutex);
  // Accepts older epochs, so that every entry VM can renew: a renewal starts no task
  // and stops only broken attempts.
  mEpoch = std::max(mEpoch, aRequest.mEpoch);
  const auto now = mLoop.Now();
  mLeaseUntil = now + aRequest.mLease;
  mLoop.RunAfter(aRequest.mLease, [this] {
    std::lock_guard inner(mMutex);
    CheckLease();
  });
  for (const auto& broken : aRequest.mBrokenAttempts) {
    const auto found = mAttempts.find(broken);
    if (found != mAttempts.end()) {
      StopNow(found->second, false);
    }
  }
  std::erase_if(mTombstones, [now](const auto& aItem) { return aItem.second < now; });
  std::erase_if(mAttempts, [this](const auto& aItem) {
    return IsEnded(aItem.second.mReport.mState) && aItem.second.mStopRequested &&
           mTombstones.count(aItem.first) == 0;
  });
  renew_reply reply{ mIncarnation, mSequence, aRequest.mSinceSequence == 0, {} };
  for (const auto& [id, item] : mAttempts) {
    if (item.mSequence > aRequest.mSinceSequence && !item.mStopRequested) {
      reply.mMembers.push_back(item.mReport);
    }
  }
  return reply;
}

void simulated_worker::Restart()
{
  std::lock_guard lock(mMutex);
  for (auto& [id, item] : mAttempts) {
    if (item.mReport.mState == member_state::kRunning) {
      SetState(item, member_state::kStopped, "the worker restarted");
    }
  }
  mAttempts.clear();
  mTombstones.clear();
  ++mIncarnation;
  mSequence = 0;
  mEpoch = 0;
}

void simulated_worker::SetFaults(const worker_faults& aFaults)
{
  std::lock_guard lock(mMutex);
  mFaults = aFaults;
}

} // namespace anvildoor
