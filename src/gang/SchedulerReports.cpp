#include "gang/Scheduler.h"

namespace anvildoor {

result<call_ack> scheduler::OnStatuses(const worker_status_report& aStatuses)
{
  std::lock_guard lock(mMutex);
  if (aStatuses.mEpoch != mEpoch || !mLeading) {
    return Fail(error_code::kFenced,
                "report",
                mContext.mDataCentre,
                "this VM is not the active scheduler of the given epoch");
  }
  for (const auto& status : aStatuses.mStatuses) {
    ApplyStatus(status);
  }
  RequestPlan();
  return call_ack{};
}

void scheduler::ApplyStatus(const worker_status& aStatus)
{
  auto& entry = mWorkers[aStatus.mWorker];
  if (aStatus.mLost) {
    entry.mLost = true;
    mContext.mLog.Write(log_event("worker_down").Add("worker", aStatus.mWorker));
    std::vector<std::string> jobs;
    for (const auto& [id, job] : mJobs) {
      if (job.mRun) {
        jobs.push_back(id);
      }
    }
    for (const auto& id : jobs) {
      auto& job = mJobs[id];
      if (job.mRun) {
        Perform(job, job.mRun->OnWorkerLost(aStatus.mWorker, mContext.mLoop.Now()));
      }
    }
    return;
  }
  const auto& reply = aStatus.mReply;
  const bool isOutdated = std::pair(reply.mIncarnation, reply.mSequence) <
                          std::pair(entry.mIncarnation, entry.mSequence);
  if (isOutdated) {
    return;
  }
  entry.mIncarnation = reply.mIncarnation;
  entry.mSequence = reply.mSequence;
  if (reply.mIsFull) {
    entry.mReported = true;
    entry.mLost = false;
  }
  ApplyMemberReports(aStatus);
}

void scheduler::ApplyMemberReports(const worker_status& aStatus)
{
  const auto now = mContext.mLoop.Now();
  std::set<std::string> listed;
  for (const auto& member : aStatus.mReply.mMembers) {
    listed.insert(member.mAttempt);
    const auto job = mJobOfAttempt.find(member.mAttempt);
    if (job == mJobOfAttempt.end()) {
      const auto record = mJobs.find(member.mJob);
      const bool ending = record != mJobs.end() && record->second.mRecordingEnd;
      if (!ending) {
        StopUntrackedAttempt(aStatus.mWorker, member.mAttempt);
      }
      continue;
    }
    auto& entry = mJobs[job->second];
    Perform(entry, entry.mRun->OnReport(aStatus.mWorker, member, now));
  }
  if (!aStatus.mReply.mIsFull) {
    return;
  }
  std::vector<std::pair<std::string, std::string>> missing;
  for (const auto& [attempt, job] : mJobOfAttempt) {
    if (listed.count(attempt) == 0) {
      missing.emplace_back(attempt, job);
    }
  }
  for (const auto& [attempt, job] : missing) {
    auto& entry = mJobs[job];
    if (entry.mRun && entry.mRun->Attempt() == attempt) {
      Perform(entry, entry.mRun->OnMissing(aStatus.mWorker, aStatus.mReply, now));
    }
  }
}

} // namespace anvildoor
