#include "planner/Quarantine.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr size_t kFailedJobsPerWorker = 3;
constexpr size_t kFailedWorkersPerJob = 3;
constexpr duration kFirstQuarantine = std::chrono::minutes(5);
constexpr int kMaxQuarantineDoublings = 5;
constexpr size_t kPercent = 100;

} // namespace

quarantine::quarantine(size_t aWorkers, int64_t aSharePercent)
{
  SetBounds(aWorkers, aSharePercent);
}

void quarantine::SetBounds(size_t aWorkers, int64_t aSharePercent)
{
  const size_t share = aWorkers * static_cast<size_t>(aSharePercent) / kPercent;
  mLimit = aSharePercent == 0 ? 0 : std::max<size_t>(1, share);
}

bool quarantine::IsBelowLimit(time_point aNow) const
{
  return Quarantined(aNow).size() < mLimit;
}

void quarantine::StartQuarantine(const std::string& aWorker, time_point aNow)
{
  auto& evidence = mWorkers[aWorker];
  evidence.mQuarantinedUntil =
    aNow + kFirstQuarantine *
             (1 << std::min(evidence.mQuarantineCount, kMaxQuarantineDoublings));
  ++evidence.mQuarantineCount;
  for (const auto& job : evidence.mJobs) {
    const auto found = mJobs.find(job);
    if (found != mJobs.end()) {
      found->second.erase(aWorker);
    }
  }
  evidence.mJobs.clear();
}

failure_action quarantine::OnFailure(const std::string& aJob,
                                     const std::string& aWorker,
                                     time_point aNow)
{
  if (!IsUsable(aWorker, aNow)) {
    return failure_action::kRetry; // Failures on quarantined workers do not count.
  }
  auto& evidence = mWorkers[aWorker];
  evidence.mJobs.insert(aJob);
  mJobs[aJob].insert(aWorker);
  // After a quarantine one failure suffices, unless the job has failed elsewhere too.
  const bool probeFailed = evidence.mQuarantineCount > 0 && mJobs[aJob].size() == 1;
  const size_t needed = probeFailed ? 1 : kFailedJobsPerWorker;
  if (evidence.mJobs.size() >= needed && IsBelowLimit(aNow)) {
    StartQuarantine(aWorker, aNow);
    return failure_action::kRetry;
  }
  if (mJobs[aJob].size() < kFailedWorkersPerJob) {
    return failure_action::kRetry;
  }
  for (const auto& worker : mJobs[aJob]) {
    mWorkers[worker].mJobs.erase(aJob);
  }
  return failure_action::kEndJob;
}

void quarantine::OnSuccess(const std::string& aWorker)
{
  mWorkers.erase(aWorker);
}

void quarantine::ForgetJob(const std::string& aJob)
{
  mJobs.erase(aJob);
}

bool quarantine::IsUsable(const std::string& aWorker, time_point aNow) const
{
  const auto found = mWorkers.find(aWorker);
  return found == mWorkers.end() || found->second.mQuarantinedUntil <= aNow;
}

std::vector<std::string> quarantine::Quarantined(time_point aNow) const
{
  std::vector<std::string> workers;
  for (const auto& [worker, evidence] : mWorkers) {
    if (evidence.mQuarantinedUntil > aNow) {
      workers.push_back(worker);
    }
  }
  return workers;
}

std::set<std::string> quarantine::FailedOn(const std::string& aJob) const
{
  const auto found = mJobs.find(aJob);
  return found == mJobs.end() ? std::set<std::string>() : found->second;
}

} // namespace anvildoor
