#include "base/VirtualLoop.h"
#include "config/ConfigController.h"
#include "gang/BrokenAttempts.h"
#include "gang/JobJournal.h"
#include "gang/WorkerSessions.h"
#include "planner/Planner.h"
#include "routing/AdmissionFilter.h"
#include "routing/ClaimFilter.h"
#include "routing/DeadlineFilter.h"
#include "routing/DispatchFilter.h"
#include "rpc/Convert.h"
#include "store/MemoryStore.h"
#include "support/CountedNew.h"
#include "support/Samples.h"

#include <benchmark/benchmark.h>

using namespace anvildoor;

namespace {

class null_event_log : public event_log
{
protected:
  void OnWrite(const std::string&) override {}
};

/** Counts heap allocations during its lifetime and reports them per iteration. */
class allocation_counter
{
public:
  explicit allocation_counter(benchmark::State& aState)
    : mState(aState)
    , mAllocationsBefore(CountAllocations())
  {
  }
  allocation_counter(const allocation_counter&) = delete;
  allocation_counter& operator=(const allocation_counter&) = delete;

  ~allocation_counter()
  {
    mState.counters["allocations"] =
      benchmark::Counter(static_cast<double>(CountAllocations() - mAllocationsBefore),
                         benchmark::Counter::kAvgIterations);
  }

private:
  benchmark::State& mState;
  uint64_t mAllocationsBefore;
};

void SetAverage(benchmark::State& aState, const char* aName, double aTotal)
{
  aState.counters[aName] =
    benchmark::Counter(aTotal, benchmark::Counter::kAvgIterations);
}

/** One decision for a full fleet of range(0) workers and range(1) waiting jobs. */
void PlannerDecision(benchmark::State& aState)
{
  const auto fleet = SampleFleet(static_cast<int>(aState.range(0)));
  const auto config = SampleConfig(250);
  const planner_input input{ fleet,
                             config,
                             "alpha",
                             SampleRunning(fleet),
                             SampleWaiting(static_cast<int>(aState.range(1))),
                             std::chrono::hours(1) };
  planner policy;
  policy.Decide(input);
  const allocation_counter counter(aState);
  for (auto unused : aState) {
    benchmark::DoNotOptimize(policy.Decide(input));
  }
}

/** Completes every call successfully after 1 ms. */
class ready_upstreams : public upstream_port
{
public:
  explicit ready_upstreams(event_loop& aLoop)
    : mLoop(aLoop)
  {
  }

protected:
  void OnExecute(const std::string&, const upstream_call&, done aDone) override
  {
    mLoop.RunAfter(duration(1), [aDone] {
      aDone(upstream_reply{ 200, "done", false });
    });
  }

private:
  event_loop& mLoop;
};

/**
 * One request through the complete filter chain, with range(0) workspaces. The request
 * is idempotent if range(1) is not 0.
 */
void RequestThroughChain(benchmark::State& aState)
{
  virtual_loop loop(std::chrono::hours(1));
  memory_store store(loop);
  null_event_log log;
  metrics requestMetrics;
  config_controller config(loop, store, log, {});
  auto sample = SampleConfig(static_cast<int>(aState.range(0)));
  sample.mDefaults.mRequestsPerSecond = 100'000;
  config.Adopt(sample);
  upstream_pool pool(loop, log, 1);
  vm_record upstream;
  upstream.mId = "u1";
  upstream.mSlots = 64;
  upstream.mConnections = 64;
  pool.Update({ upstream }, "e1", { "e1" });
  ready_upstreams upstreams(loop);
  claim_table claims(loop, store, "bench");
  std::vector<std::unique_ptr<request_filter>> filters;
  filters.push_back(std::make_unique<deadline_filter>(loop));
  filters.push_back(
    std::make_unique<admission_filter>(loop, config, requestMetrics, [] { return 1; }));
  filters.push_back(std::make_unique<claim_filter>(
    loop, claims, [](const std::string&) { return false; }));
  filters.push_back(
    std::make_unique<dispatch_filter>(loop, pool, upstreams, log, requestMetrics));
  filter_chain chain(std::move(filters));
  int number = 0;
  const auto steps = loop.ExecutedTasks();
  const auto counts = store.Counts();
  {
    const allocation_counter counter(aState);
    for (auto unused : aState) {
      request_spec spec;
      spec.mWorkspace =
        "workspace-" +
        std::to_string(1'000 + number % static_cast<int>(aState.range(0)));
      spec.mIdempotent = aState.range(1) != 0;
      spec.mKey = std::to_string(number++);
      spec.mTimeout = duration(50);
      bool answered = false;
      chain.Handle(std::make_shared<active_request>("r", spec, loop.Now()),
                   [&answered](const request_answer& aAnswer) {
                     answered = aAnswer.mOutcome == request_outcome::kCompleted;
                   });
      loop.RunFor(duration(60));
      if (!answered) {
        aState.SkipWithError("a request was not completed");
      }
    }
  }
  const auto after = store.Counts();
  SetAverage(aState, "steps", static_cast<double>(loop.ExecutedTasks() - steps));
  SetAverage(
    aState,
    "store_calls",
    static_cast<double>(after.mReads + after.mWrites - counts.mReads - counts.mWrites));
}

/** Writes the four records of one job to a journal that holds range(0) jobs. */
void JournalJob(benchmark::State& aState)
{
  virtual_loop loop(std::chrono::hours(1));
  memory_store store(loop);
  null_event_log log;
  job_journal journal(loop, store, log, "dc/alpha");
  journal.TakeOver(1, [](const auto&) {});
  loop.RunFor(duration(1'000));
  int number = 0;
  for (; number < aState.range(0); ++number) {
    journal.Record(SampleRecord(number), [](const status&) {});
  }
  loop.RunFor(duration(1'000));
  const auto counts = store.Counts();
  {
    const allocation_counter counter(aState);
    for (auto unused : aState) {
      auto record = SampleRecord(static_cast<int>(aState.range(0)) / 2);
      for (const auto state : { job_state::kQueued,
                                job_state::kStarting,
                                job_state::kRunning,
                                job_state::kCompleted }) {
        record.mState = state;
        journal.Record(record, [](const status&) {});
        loop.RunFor(duration(20));
      }
    }
  }
  const auto after = store.Counts();
  SetAverage(
    aState, "store_calls", static_cast<double>(after.mWrites - counts.mWrites));
  SetAverage(
    aState, "bytes", static_cast<double>(after.mBytesWritten - counts.mBytesWritten));
}

/**
 * One change to a configuration of range(0) workspaces: applied, encoded as a patch and
 * applied again by a peer.
 */
void ConfigSpread(benchmark::State& aState)
{
  const auto before = SampleConfig(static_cast<int>(aState.range(0)));
  const config_change change{ "change", config_kind::kDefaults,
                              "",       R"({"job_attempts":7})",
                              false,    {} };
  size_t patchBytes = 0;
  const auto wholeBytes = ToJsonText(before).size();
  const allocation_counter counter(aState);
  for (auto unused : aState) {
    const auto after = ApplyChange(before, change);
    const auto patch = PatchBetween(before, *after);
    patchBytes = patch.size();
    benchmark::DoNotOptimize(ApplyPatch(before, patch));
  }
  aState.counters["patch_bytes"] = static_cast<double>(patchBytes);
  aState.counters["whole_bytes"] = static_cast<double>(wholeBytes);
}

/**
 * Encodes a session renewal of a worker with range(0) attempts, with an empty reply and
 * with a full one. Reports both sizes on the wire.
 */
void SessionRenewal(benchmark::State& aState)
{
  const renew_request request{ 17, 99'998, duration(6'000), {} };
  const auto fullReply = SampleReply(static_cast<int>(aState.range(0)));
  auto emptyReply = fullReply;
  emptyReply.mMembers.clear();
  emptyReply.mIsFull = false;
  size_t emptyReplyBytes = 0;
  size_t fullReplyBytes = 0;
  const allocation_counter counter(aState);
  for (auto unused : aState) {
    const auto encodedRequest =
      ToMessage("rack-1001-worker-1001", request).SerializeAsString();
    const auto answered = ToMessage(emptyReply).SerializeAsString();
    const auto encodedFullReply = ToMessage(fullReply).SerializeAsString();
    emptyReplyBytes = encodedRequest.size() + answered.size();
    fullReplyBytes = encodedRequest.size() + encodedFullReply.size();
    benchmark::DoNotOptimize(encodedFullReply.data());
  }
  aState.counters["quiet_bytes"] = static_cast<double>(emptyReplyBytes);
  aState.counters["full_bytes"] = static_cast<double>(fullReplyBytes);
}

} // namespace

// The sizes cover a present-day data centre, about a twelfth and an eleventh of the
// target size, and the full target size.
BENCHMARK(PlannerDecision)
  ->Args({ 16, 10 })
  ->Args({ 66, 50 })
  ->Args({ 264, 50 })
  ->Args({ 264, 500 })
  ->Args({ 1'056, 500 })
  ->Args({ 2'900, 500 })
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(RequestThroughChain)
  ->Args({ 4, 1 })
  ->Args({ 250, 1 })
  ->Args({ 4, 0 })
  ->Args({ 250, 0 })
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(JournalJob)
  ->Arg(50)
  ->Arg(240)
  ->Arg(480)
  ->Arg(5'200)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(ConfigSpread)
  ->Arg(4)
  ->Arg(50)
  ->Arg(250)
  ->Arg(1'000)
  ->Unit(benchmark::kMicrosecond);
BENCHMARK(SessionRenewal)->Arg(1)->Arg(25)->Arg(64)->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
