#include "support/Samples.h"

#include "base/Hash.h"
#include "base/Sha256.h"

namespace anvildoor {

namespace {

constexpr int kWorkersPerRack = 8;
constexpr int kTasksPerGang = 42;
constexpr int kTasksPerWorker = 25;
constexpr int kWorkspacesPerGuarantee = 10;

std::string Numbered(const std::string& aPrefix, int aNumber)
{
  return aPrefix + std::to_string(1'000 + aNumber);
}

} // namespace

fleet_view SampleFleet(int aWorkers)
{
  std::vector<worker_view> workers;
  for (int i = 0; i < aWorkers; ++i) {
    const auto rack = Numbered("rack-", i / kWorkersPerRack);
    const int64_t accelerators = i % 2 == 0 ? 3 : 0;
    workers.push_back(
      { rack + Numbered("-worker-", i), rack, { accelerators, 64, 262'144 }, true });
  }
  return fleet_view(std::move(workers));
}

fleet_config SampleConfig(int aWorkspaces)
{
  fleet_config config;
  config.mVersion = 1;
  for (int i = 0; i < aWorkspaces; ++i) {
    workspace_config workspace;
    workspace.mName = Numbered("workspace-", i);
    workspace.mTokenSha256 = Sha256Hex(workspace.mName);
    if (i % kWorkspacesPerGuarantee == 0) {
      workspace.mGuarantees = { { 1, { 4, { 1, 2, 1'024 }, adjacency::kRack } } };
    }
    config.mWorkspaces[workspace.mName] = workspace;
  }
  return config;
}

std::vector<running_gang> SampleRunning(const fleet_view& aFleet)
{
  std::vector<running_gang> gangs;
  const auto tasks = static_cast<int>(aFleet.Size()) * kTasksPerWorker;
  size_t worker = 0;
  for (int i = 0; i < tasks / kTasksPerGang; ++i) {
    running_gang gang;
    gang.mJob = Numbered("job-", i);
    gang.mWorkspace = Numbered("workspace-", i % 250);
    gang.mShape = { kTasksPerGang, { 0, 2, 512 }, adjacency::kAny };
    for (int part = 0; part < kTasksPerGang / 2; ++part) {
      gang.mPlacement.push_back({ aFleet.At(worker++ % aFleet.Size()).mId, 2 });
    }
    gang.mCheckpointable = true;
    gang.mExpectedRunTime = std::chrono::hours(8);
    gangs.push_back(std::move(gang));
  }
  return gangs;
}

std::vector<waiting_job> SampleWaiting(int aJobs)
{
  std::vector<waiting_job> jobs;
  for (int i = 0; i < aJobs; ++i) {
    waiting_job job;
    job.mId = Numbered("waiting-", i);
    job.mWorkspace = Numbered("workspace-", i % 250);
    job.mClass = static_cast<work_class>(i % 3);
    const int64_t tasks = int64_t{ 1 } << static_cast<unsigned>(i % 7);
    job.mShape = { tasks,
                   { i % 2, 2, 512 },
                   i % 4 == 0 ? adjacency::kRack : adjacency::kAny };
    job.mExpectedRunTime = std::chrono::hours(1);
    jobs.push_back(std::move(job));
  }
  return jobs;
}

job_record SampleRecord(int aNumber)
{
  job_record record;
  record.mId = "j-" + HexDigest(std::to_string(aNumber)).substr(0, 24);
  record.mSpec.mWorkspace = Numbered("workspace-", aNumber % 250);
  record.mSpec.mShape = { kTasksPerGang, { 0, 2, 512 }, adjacency::kAny };
  record.mSpec.mPayload = std::string(200, 'p');
  record.mState = job_state::kStarting;
  record.mAttempt = record.mId + "#17.4711";
  record.mCommittedAttempts = 1;
  for (int part = 0; part < kTasksPerGang / 2; ++part) {
    record.mPlacement.push_back({ Numbered("rack-1001-worker-", part), 2 });
  }
  return record;
}

renew_reply SampleReply(int aAttempts)
{
  renew_reply reply{ 1'700'000'000'000, 99'999, aAttempts > 1, {} };
  for (int i = 0; i < aAttempts; ++i) {
    member_report report;
    report.mJob = SampleRecord(i).mId;
    report.mAttempt = report.mJob + "#17.4711";
    report.mState = member_state::kRunning;
    report.mHoldsWholeGang = false;
    reply.mMembers.push_back(report);
  }
  return reply;
}

} // namespace anvildoor
