#include "gang/WorkerSessions.h"

#include "base/Hash.h"

namespace anvildoor {

namespace {

constexpr duration kTickPeriod{ 250 };
constexpr duration kBatchDelay{ 20 };
constexpr duration kMaxTickGap{ 1'500 };

bool IsActive(member_state aState)
{
  return aState == member_state::kPrepared || aState == member_state::kRunning;
}

/** Returns whether the rest of the gang must stop because of this member's state. */
bool BreaksGang(const member_report& aReport)
{
  return !aReport.mHoldsWholeGang && (aReport.mState == member_state::kFailed ||
                                      aReport.mState == member_state::kStopped ||
                                      aReport.mState == member_state::kNeverRan);
}

} // namespace

worker_sessions::worker_sessions(event_loop& aLoop,
                                 worker_port& aPort,
                                 broken_attempts& aBroken,
                                 event_log& aLog,
                                 const session_policy& aPolicy)
  : mLoop(aLoop)
  , mPort(aPort)
  , mBroken(aBroken)
  , mLog(aLog)
  , mPolicy(aPolicy)
{
}

worker_sessions::shard& worker_sessions::ShardOf(const std::string& aWorker)
{
  return mShards[Hash64(aWorker) % kShardCount];
}

uint64_t worker_sessions::Epoch() const
{
  std::lock_guard lock(mMutex);
  return mEpoch;
}

void worker_sessions::Start(const std::string& aVm, status_sender aStatusSender)
{
  mVm = aVm;
  mStatusSender = std::move(aStatusSender);
  mLastTick = mLoop.Now();
  RunEvery(mLoop, kTickPeriod, [this] { Tick(); });
}

void worker_sessions::AssignWorkers(const std::set<std::string>& aWorkers)
{
  const auto now = mLoop.Now();
  for (auto& workerShard : mShards) {
    std::lock_guard lock(workerShard.mMutex);
    std::erase_if(workerShard.mSessions, [&aWorkers](const auto& aItem) {
      return aWorkers.count(aItem.first) == 0;
    });
  }
  for (const auto& worker : aWorkers) {
    auto& workerShard = ShardOf(worker);
    std::lock_guard lock(workerShard.mMutex);
    session fresh;
    fresh.mWorker = worker;
    fresh.mLastReply = now;
    // Spreads the first renewals so that they are not sent in one burst.
    fresh.mNextRenewal =
      now + duration(Hash64(worker) % mPolicy.mRenewPeriod.count() / 4);
    workerShard.mSessions.emplace(worker, std::move(fresh));
  }
}

void worker_sessions::SetEpoch(uint64_t aEpoch)
{
  {
    std::lock_guard lock(mMutex);
    if (aEpoch <= mEpoch) {
      return;
    }
    mEpoch = aEpoch;
    mPendingStatuses.clear();
  }
  for (auto& workerShard : mShards) {
    std::lock_guard lock(workerShard.mMutex);
    for (auto& [worker, item] : workerShard.mSessions) {
      item.mNextRenewal = mLoop.Now();
    }
  }
  mLoop.Post([this] { Tick(); });
}

size_t worker_sessions::Count() const
{
  size_t count = 0;
  for (const auto& workerShard : mShards) {
    std::lock_guard lock(workerShard.mMutex);
    count += workerShard.mSessions.size();
  }
  return count;
}

void worker_sessions::Tick()
{
  struct due_renewal
  {
    std::string mWorker;
    uint64_t mSince = 0;
  };
  const auto now = mLoop.Now();
  const uint64_t epoch = Epoch();
  const bool wasSuspended = mLastTick.exchange(now) + kMaxTickGap < now;
  std::vector<due_renewal> due;
  std::vector<worker_status> lost;
  for (auto& workerShard : mShards) {
    std::lock_guard lock(workerShard.mMutex);
    for (auto& [worker, item] : workerShard.mSessions) {
      if (wasSuspended) {
        // This process was suspended and sent no renewals, so the workers cannot be
        // considered lost.
        item.mLastReply = now;
      }
      const bool isUnreachable =
        now - item.mLastReply >= mPolicy.mLease + mPolicy.mLossMargin;
      if (isUnreachable && !item.mLost) {
        MarkLost(item);
      }
      if (item.mLost && (!item.mLossReported || item.mReportedEpoch != epoch)) {
        lost.push_back({ worker, true, {} });
      }
      if (!item.mCallInFlight && item.mNextRenewal <= now) {
        item.mCallInFlight = true;
        item.mNextRenewal = now + mPolicy.mRenewPeriod;
        due.push_back(
          { worker, item.mReportedEpoch == epoch ? item.mReportedSequence : 0 });
      }
    }
  }
  for (const auto& status : lost) {
    QueueStatus(epoch, status);
  }
  for (const auto& item : due) {
    Renew(item.mWorker, epoch, item.mSince);
  }
}

void worker_sessions::MarkLost(session& aSession)
{
  aSession.mLost = true;
  aSession.mLossReported = false;
  for (const auto& [attempt, holdsWholeGang] : aSession.mAttempts) {
    if (!holdsWholeGang) {
      mBroken.Add(attempt);
    }
  }
  aSession.mAttempts.clear();
  mLog.Write(log_event("worker_lost").Add("vm", mVm).Add("worker", aSession.mWorker));
}

void worker_sessions::Renew(const std::string& aWorker,
                            uint64_t aEpoch,
                            uint64_t aSince)
{
  const renew_request request{ aEpoch, aSince, mPolicy.mLease, mBroken.List() };
  mPort.Renew(aWorker, request, [this, aWorker, aEpoch](result<renew_reply> aAnswer) {
    OnRenewed(aWorker, aEpoch, aAnswer);
  });
}

void worker_sessions::OnRenewed(const std::string& aWorker,
                                uint64_t aEpoch,
                                const result<renew_reply>& aAnswer)
{
  bool shouldReport = false;
  {
    auto& workerShard = ShardOf(aWorker);
    std::lock_guard lock(workerShard.mMutex);
    const auto found = workerShard.mSessions.find(aWorker);
    if (found == workerShard.mSessions.end()) {
      return;
    }
    auto& item = found->second;
    item.mCallInFlight = false;
    if (!aAnswer) {
      return;
    }
    item.mLastReply = mLoop.Now();
    const bool restarted =
      item.mIncarnation != 0 && item.mIncarnation != aAnswer->mIncarnation;
    if (restarted) {
      // A restart resets the sequence numbers, so request a full report.
      item.mReportedSequence = 0;
      item.mReportedEpoch = 0;
      item.mNextRenewal = mLoop.Now();
    }
    ApplyReply(item, *aAnswer);
    const bool needsFullReport = item.mReportedEpoch != aEpoch || item.mLost;
    shouldReport = (needsFullReport && aAnswer->mIsFull) ||
                   (!needsFullReport && !aAnswer->mMembers.empty());
    if (item.mLost && !aAnswer->mIsFull) {
      item.mReportedSequence = 0;
      item.mReportedEpoch = 0;
      item.mNextRenewal = mLoop.Now();
    } else {
      item.mLost = false;
    }
  }
  if (shouldReport) {
    QueueStatus(aEpoch, { aWorker, false, *aAnswer });
  }
}

void worker_sessions::ApplyReply(session& aSession, const renew_reply& aReply)
{
  aSession.mIncarnation = aReply.mIncarnation;
  if (aReply.mIsFull) {
    aSession.mAttempts.clear();
  }
  for (const auto& member : aReply.mMembers) {
    if (IsActive(member.mState)) {
      aSession.mAttempts[member.mAttempt] = member.mHoldsWholeGang;
      continue;
    }
    aSession.mAttempts.erase(member.mAttempt);
    if (BreaksGang(member)) {
      mBroken.Add(member.mAttempt);
    }
  }
}

void worker_sessions::QueueStatus(uint64_t aEpoch, const worker_status& aStatus)
{
  bool shouldSend = false;
  {
    std::lock_guard lock(mMutex);
    if (aEpoch != mEpoch || aEpoch == 0) {
      return;
    }
    mPendingStatuses.push_back(aStatus);
    shouldSend = !mReportScheduled;
    mReportScheduled = true;
  }
  if (shouldSend) {
    // Changes that arrive within this delay share one message.
    mLoop.RunAfter(kBatchDelay, [this] { SendStatuses(); });
  }
}

void worker_sessions::SendStatuses()
{
  worker_status_report statuses;
  {
    std::lock_guard lock(mMutex);
    mReportScheduled = false;
    statuses = { mVm, mEpoch, std::move(mPendingStatuses) };
    mPendingStatuses.clear();
  }
  if (statuses.mStatuses.empty()) {
    return;
  }
  mStatusSender(statuses,
                [this, statuses](bool aAccepted) { OnReported(statuses, aAccepted); });
}

void worker_sessions::OnReported(const worker_status_report& aStatuses, bool aAccepted)
{
  if (!aAccepted || aStatuses.mEpoch != Epoch()) {
    return; // The next renewal returns the same changes again.
  }
  for (const auto& status : aStatuses.mStatuses) {
    auto& workerShard = ShardOf(status.mWorker);
    std::lock_guard lock(workerShard.mMutex);
    const auto found = workerShard.mSessions.find(status.mWorker);
    if (found == workerShard.mSessions.end()) {
      continue;
    }
    auto& item = found->second;
    if (status.mLost) {
      item.mLossReported = true;
      item.mReportedEpoch = aStatuses.mEpoch;
    } else if (item.mIncarnation == status.mReply.mIncarnation) {
      item.mReportedSequence = status.mReply.mSequence;
      item.mReportedEpoch = aStatuses.mEpoch;
    }
  }
}

} // namespace anvildoor
