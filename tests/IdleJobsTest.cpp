#include "scheduler/IdleJobs.h"
#include "support/FakeInstallation.h"
#include "support/LogLines.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

const std::string kJob = "00000000000000a1";

/** Begins a job of one task that runs for 20 s, or that no worker has room for. */
void Begin(fake_installation& aSite, bool aFits)
{
  aSite.mBehaviourByPayload["long"] = { duration(20'000), false };
  auto job = fake_installation::MakeJob(kJob, 1);
  job.mSpec.mPayload = "long";
  if (!aFits) {
    job.mSpec.mSteps.front().mPerTask.mAccelerators = 1'000;
  }
  REQUIRE(aSite.Submit("vm0", job) == job_answer::kAccepted);
  aSite.mLoop.RunFor(duration(1'000));
}

void PlayCalm(fake_installation& aSite)
{
  Begin(aSite, true);
}

void PlayNoRoom(fake_installation& aSite)
{
  Begin(aSite, false);
}

/** The worker is gone and its entry is not removed. */
void PlaySilentWorker(fake_installation& aSite)
{
  Begin(aSite, true);
  aSite.mFaults.mUnreachableWorkers.insert(aSite.mTraces.front().mWorker);
}

/** The worker and its entry are gone as the scheduler changes. */
void PlayTakeover(fake_installation& aSite)
{
  Begin(aSite, true);
  const auto worker = aSite.mTraces.front().mWorker;
  aSite.mFaults.mUnreachableWorkers.insert(worker);
  aSite.mStore.Remove("workers/" + worker);
  aSite.Kill(aSite.SchedulerVm());
}

struct idle_row
{
  const char* mName;
  void (*mPlay)(fake_installation&);
  const char* mCause; ///< Empty: no line is written.
  int64_t mRuns = 0;
};

} // namespace

TEST_CASE("the log tells why a job has nothing running", "[idle]")
{
  const auto row = GENERATE(values<idle_row>({
    { "calm", PlayCalm, "" },
    { "no room", PlayNoRoom, "not_placed", 0 },
    { "silent worker", PlaySilentWorker, "silent_worker", 1 },
    { "takeover", PlayTakeover, "silent_worker", 1 },
  }));
  CAPTURE(row.mName);
  fake_installation site(3, 2);
  row.mPlay(site);
  site.mLoop.RunFor(duration(4'000));
  const auto line = FindLine(site, "jobs_idle");
  if (*row.mCause == '\0') {
    CHECK(line.empty());
    return;
  }
  REQUIRE_FALSE(line.empty());
  CHECK(Field(line, "cause") == row.mCause);
  CHECK(Field(line, "causes") == row.mCause + std::string(":1"));
  CHECK(Field(line, "job") == kJob);
  CHECK(Number(line, "runs") == row.mRuns);
  CHECK((Number(line, "lease_remaining_ms") > 0) ==
        (row.mCause == std::string("silent_worker")));
}

TEST_CASE("a takeover tells for how long it holds tasks of workers in no list",
          "[idle]")
{
  const auto isListed = GENERATE(true, false);
  CAPTURE(isListed);
  fake_installation site(3, 2);
  Begin(site, true);
  if (!isListed) {
    site.mStore.Remove("workers/" + site.mTraces.front().mWorker);
  }
  const auto former = site.SchedulerVm();
  site.Kill(former);
  site.mLoop.RunFor(duration(4'000));
  const auto fence = site.Node(site.SchedulerVm()).Election().Current().mFence;
  const auto line = FindLine(site, "takeover", "fence=" + std::to_string(fence));
  CHECK(Number(line, "unlisted_runs") == (isListed ? 0 : 1));
  CHECK((Number(line, "lease_wait_ms") > 0) != isListed);
}
