#include "config/FleetConfig.h"
#include "gang/GangRun.h"
#include "gang/JobJournal.h"
#include "rpc/Convert.h"
#include "support/FakeSite.h"
#include "support/Samples.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

// The bounds follow from the target scale: 264 workers, 8 entry VMs and 473 jobs per
// day in each data centre, 250 workspaces, 15 KB/s per VM, and configuration changes in
// force within 4 s.

namespace {

constexpr double kVmBytesPerSecond = 15'000;
constexpr double kInForceSeconds = 4;
constexpr double kWorkersPerVm = 33;
constexpr double kRenewSeconds = 1.5;
constexpr double kJobsPerDay = 473;
constexpr double kSecondsPerDay = 86'400;
constexpr size_t kHeaderBytes = 200; ///< HTTP/2, TCP and IP headers of one exchange.

} // namespace

TEST_CASE("renewals without changes stay within the traffic limit of a VM")
{
  const renew_request request{ 17, 99'998, duration(6'000), {} };
  auto idle = SampleReply(25);
  idle.mMembers.clear();
  const auto bytes = ToMessage("rack-1001-worker-1001", request).ByteSizeLong() +
                     ToMessage(idle).ByteSizeLong() + kHeaderBytes;
  CHECK(static_cast<double>(bytes) * kWorkersPerVm / kRenewSeconds <=
        kVmBytesPerSecond);
}

TEST_CASE("full reports after a takeover use at most 4 s of the traffic limit of a VM")
{
  const auto bytes = ToMessage(SampleReply(25)).ByteSizeLong();
  CHECK(static_cast<double>(bytes) * kWorkersPerVm <=
        kVmBytesPerSecond * kInForceSeconds);
}

TEST_CASE("heartbeats of 8 VMs use at most a quarter of the traffic limit of a VM")
{
  peer_state state;
  state.mVm = "reykjavik-entry-1";
  state.mIncarnation = 1'700'000'000'000;
  state.mDataCentre = "reykjavik";
  state.mAddress = "10.100.100.100:7302";
  state.mConfigVersion = 1'000'000;
  state.mSchedulerEpoch = 10'000;
  state.mSchedulerVm = "reykjavik-entry-2";
  constexpr double kMessagesPerSecond = 14; // One exchange per second with 7 peers.
  const auto bytes = ToMessage(state).ByteSizeLong() + kHeaderBytes / 2;
  CHECK(static_cast<double>(bytes) * kMessagesPerSecond <= kVmBytesPerSecond / 4);
}

TEST_CASE("a configuration change reaches its watcher and 7 peers within 4 s")
{
  const auto before = SampleConfig(250);
  const config_change change{ "0123456789abcdef0123456789abcdef",
                              config_kind::kDefaults,
                              "",
                              R"({"job_attempts":7})",
                              false,
                              {} };
  const auto after = ApplyChange(before, change);
  REQUIRE(after);
  const auto bytes = ToJsonText(*after).size() +
                     7 * (PatchBetween(before, *after).size() + kHeaderBytes);
  CHECK(static_cast<double>(bytes) <= kVmBytesPerSecond * kInForceSeconds);
  CHECK(ApplyPatch(before, PatchBetween(before, *after)) == *after);
}

TEST_CASE("journal writes for one day's jobs use at most a tenth of the traffic limit")
{
  virtual_loop loop(std::chrono::hours(1));
  memory_store store(loop);
  recorded_log log(loop);
  job_journal journal(loop, store, log, "dc/alpha");
  journal.TakeOver(1, [](const auto&) {});
  loop.RunFor(duration(1'000));
  for (int i = 0; i < static_cast<int>(kJobsPerDay); ++i) {
    journal.Record(SampleRecord(i), [](const status&) {});
  }
  loop.RunFor(duration(1'000));
  const auto before = store.Counts();
  constexpr int kWritesPerJob = 3; // Accepted, committed, ended.
  for (int i = 0; i < kWritesPerJob; ++i) {
    journal.Record(SampleRecord(7), [](const status&) {});
    loop.RunFor(duration(100));
  }
  const auto after = store.Counts();
  CHECK(after.mWrites - before.mWrites == kWritesPerJob);
  const auto bytes = static_cast<double>(after.mBytesWritten - before.mBytesWritten);
  CHECK(bytes * kJobsPerDay / kSecondsPerDay <= kVmBytesPerSecond / 10);
}

TEST_CASE("a gang of 64 starts with two calls per worker and one commit")
{
  placement parts;
  for (int i = 0; i < 64; ++i) {
    parts.push_back({ "w" + std::to_string(i), 1 });
  }
  const time_point now{ 1'000 };
  auto run = gang_run::Make("a", parts, gang_limits{}, now);
  size_t calls = run.Begin().size();
  size_t commits = 0;
  gang_run::actions due;
  for (const auto& part : parts) {
    due = run.OnPrepared(part.mWorker, call_ack{ 1, 1 }, now);
    commits += due.empty() ? 0 : 1;
  }
  REQUIRE(due.size() == 1);
  calls += run.OnCommitted(now).size();
  for (const auto& part : parts) {
    calls += run.OnReleased(part.mWorker, call_ack{ 1, 2 }, now).size();
  }
  CHECK(calls == 2 * parts.size());
  CHECK(commits == 1);
  CHECK(run.AllRunningOrCompleted());
}

TEST_CASE("store calls per job and per request stay within their bounds")
{
  struct store_call_case
  {
    const char* mName;
    const char* mTarget;
    const char* mBody;
    uint64_t mMaxCalls;
  };
  // A job makes one call to claim its key and one each for the records accepted,
  // committed and ended.
  const auto item = GENERATE(
    store_call_case{ "job",
                     "/v1/jobs",
                     R"({"workspace":"gyms","tasks":16,"accelerators_per_task":1,
             "payload":"{\"run_ms\":500}"})",
                     4 },
    store_call_case{
      "request", "/v1/requests", R"({"workspace":"gyms","payload":"p"})", 0 },
    store_call_case{ "booking",
                     "/v1/requests",
                     R"({"workspace":"gyms","payload":"p","idempotent":false})",
                     2 });
  INFO(item.mName);
  fake_site site;
  site.StartAll();
  REQUIRE(site.WaitForScheduler());
  REQUIRE(site.PutWorkspace("alpha-e1", "gyms").mStatus == 200);
  // The first booking of each hour acquires the store lease that later bookings share.
  site.Call("alpha-e2",
            WorkspaceCall("gyms",
                          "POST",
                          "/v1/requests",
                          R"({"workspace":"gyms","payload":"p","idempotent":false})",
                          "first"));
  site.Loop().RunFor(duration(1'000));
  const auto totalCalls = [&site] {
    return site.Store().Counts().mReads + site.Store().Counts().mWrites;
  };
  const auto callsDuring = [&](bool aMakeCall) {
    const auto before = totalCalls();
    if (aMakeCall) {
      site.Call("alpha-e2",
                WorkspaceCall("gyms", "POST", item.mTarget, item.mBody, "k"));
    }
    site.Loop().RunFor(duration(6'000));
    return totalCalls() - before;
  };
  const auto idle = callsDuring(false); // Renewals of the scheduler's lease.
  CHECK(callsDuring(true) <= idle + 1 + item.mMaxCalls);
}
