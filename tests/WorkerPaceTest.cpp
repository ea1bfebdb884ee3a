#include "planner/TaskPlacement.h"
#include "scheduler/StoreKeys.h"
#include "scheduler/WorkerPaces.h"
#include "support/FakeInstallation.h"

#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <numeric>
#include <random>

using namespace anvildoor;

namespace {

constexpr size_t kWorkers = 60;
constexpr uint32_t kGangSize = 8;

/** Workers of given paces whose runs are observed by a model. */
class observed_fleet
{
public:
  observed_fleet(const std::vector<double>& aPaces, uint32_t aSeed)
    : mPaces(aPaces)
    , mRandom(aSeed)
  {
  }

  /** Runs one step on as many workers, drawn at random. Work differs by the job. */
  void Run(uint32_t aTasks, bool aIsGang)
  {
    std::vector<size_t> workers(mPaces.size());
    std::iota(workers.begin(), workers.end(), size_t(0));
    std::shuffle(workers.begin(), workers.end(), mRandom);
    workers.resize(aTasks);
    RunOn(workers, aIsGang);
  }

  void RunOn(const std::vector<size_t>& aWorkers, bool aIsGang)
  {
    const auto job = "job" + std::to_string(mJobs++);
    const auto jobWork = Work();
    for (uint32_t index = 0; index < aWorkers.size(); ++index) {
      const auto work = aIsGang ? jobWork : jobWork * Work();
      const auto exact = mPaces[aWorkers[index]] / work;
      mModel.Observe({ { job, 0, 0, index },
                       1,
                       aIsGang,
                       static_cast<uint32_t>(aWorkers.size()),
                       IdOf(aWorkers[index]),
                       exact * std::normal_distribution(1.0, 0.03)(mRandom) });
    }
    mMoves += mModel.Update().size();
    mModel.ForgetJob(job);
  }

  /** Returns the share of the workers whose class is right. */
  double ShareRight() const
  {
    size_t right = 0;
    for (size_t worker = 0; worker < mPaces.size(); ++worker) {
      const auto expected = mPaces[worker] < 0.8   ? pace_class::kSlow
                            : mPaces[worker] > 1.2 ? pace_class::kQuick
                                                   : pace_class::kUsual;
      right += mModel.ClassOf(IdOf(worker)) == expected ? 1 : 0;
    }
    return static_cast<double>(right) / static_cast<double>(mPaces.size());
  }

  static std::string IdOf(size_t aWorker) { return "w" + std::to_string(aWorker); }

  std::vector<double> mPaces;
  worker_pace_model mModel;
  size_t mMoves = 0; ///< Changes of classes.

private:
  /** Uneven work; 3 % of it takes seven times as long. */
  double Work()
  {
    const auto tail = std::bernoulli_distribution(0.03)(mRandom) ? 7.0 : 1.0;
    return tail * std::lognormal_distribution(0.0, 0.5)(mRandom);
  }

  std::mt19937 mRandom;
  int mJobs = 0;
};

std::vector<double> ThreePaces()
{
  std::vector<double> paces;
  for (size_t worker = 0; worker < kWorkers; ++worker) {
    paces.push_back(std::array{ 0.6, 1.0, 1.6 }[worker % 3]);
  }
  return paces;
}

/** Workers with room for one task each, of the paces of a fleet. */
placement_input InputOf(const std::vector<double>& aPaces)
{
  placement_input input;
  for (size_t number = 0; number < aPaces.size(); ++number) {
    placement_worker worker;
    worker.mId = observed_fleet::IdOf(number);
    worker.mPool = "pool";
    worker.mRack = "r";
    worker.mTotal = { 4'000, 1'000, 1 };
    worker.mFree = worker.mTotal;
    worker.mPace = aPaces[number] < 0.8   ? pace_class::kSlow
                   : aPaces[number] > 1.2 ? pace_class::kQuick
                                          : pace_class::kUsual;
    input.mWorkers.push_back(worker);
  }
  return input;
}

placement_group UrgentGroup(uint32_t aTasks, bool aIsGang)
{
  placement_group group;
  group.mJob = "urgent";
  group.mPool = "pool";
  group.mSpec.mCount = aTasks;
  group.mSpec.mGang = aIsGang;
  group.mSpec.mPerTask = { 4'000, 1'000, 1 };
  group.mSpec.mEstimate = duration(10'000);
  group.mIndices.resize(aTasks);
  std::iota(group.mIndices.begin(), group.mIndices.end(), 0U);
  group.mMinPace = pace_class::kUsual;
  group.mMayPreempt = true;
  group.mMayWaitForPace = true;
  return group;
}

} // namespace

TEST_CASE("workers of three paces are told apart, equal ones are not", "[pace]")
{
  struct row
  {
    const char* mName;
    bool mIsEven;
    int mGangs;
    int mWideSteps; // Of 30 single tasks each.
    double mMinRight;
  };
  const auto [name, isEven, gangs, wideSteps, minRight] =
    GENERATE(row{ "gangs", false, 40, 0, 0.9 },
             row{ "single tasks", false, 0, 80, 0.8 },
             row{ "both", false, 40, 40, 0.9 },
             row{ "equal workers, gangs", true, 200, 0, 1.0 },
             row{ "equal workers, single tasks", true, 0, 200, 1.0 });
  const auto seed = GENERATE(1U, 2U, 3U);
  CAPTURE(name, seed);
  observed_fleet fleet(isEven ? std::vector<double>(kWorkers, 1.0) : ThreePaces(),
                       seed);
  for (int round = 0; round < std::max(gangs, wideSteps); ++round) {
    if (round < wideSteps) {
      fleet.Run(30, false);
    }
    if (round < gangs) {
      fleet.Run(kGangSize, true);
    }
  }
  CHECK(fleet.ShareRight() >= minRight);
  CHECK((!isEven || fleet.mMoves == 0));
  CHECK(fleet.mModel.IsUneven() == !isEven);
}

TEST_CASE("a worker that changes its pace is followed", "[pace]")
{
  const auto isNewLife = GENERATE(false, true);
  const auto pace = GENERATE(0.5, 1.0, 1.6);
  CAPTURE(isNewLife, pace);
  observed_fleet fleet(ThreePaces(), 7);
  for (int gang = 0; gang < 100; ++gang) {
    fleet.Run(kGangSize, true);
  }
  REQUIRE(fleet.ShareRight() == 1.0);
  fleet.mPaces[0] = pace; // It was slow.
  if (isNewLife) {
    fleet.mModel.OnNewLife("w0");
  }
  CHECK(fleet.mModel.ClassOf("w0") == pace_class::kSlow);
  fleet.RunOn({ 0, 1, 2, 3, 4, 5, 6, 7 }, true);
  fleet.RunOn({ 0, 8, 9, 10, 11, 12, 13, 14 }, true);
  CHECK(fleet.ShareRight() == 1.0);
}

TEST_CASE("odd samples move no class of others and stay within bounds", "[pace]")
{
  const auto rate = GENERATE(0.0,
                             -1.0,
                             1e-9, // Percent per second: of years.
                             1e9,
                             std::numeric_limits<double>::quiet_NaN(),
                             std::numeric_limits<double>::infinity());
  CAPTURE(rate);
  observed_fleet fleet(ThreePaces(), 7);
  for (int gang = 0; gang < 100; ++gang) {
    fleet.Run(kGangSize, true);
  }
  REQUIRE(fleet.ShareRight() == 1.0);
  for (uint32_t index = 0; index < kGangSize; ++index) {
    fleet.mModel.Observe({ { "odd", 0, 0, index },
                           1,
                           true,
                           kGangSize,
                           observed_fleet::IdOf(index),
                           index == 0 ? rate : fleet.mPaces[index] });
  }
  fleet.mModel.Update();
  CHECK(fleet.mModel.PaceOf("w0") >= 0.124);
  CHECK(fleet.mModel.PaceOf("w0") <= 8.01);
  // One gang with a wrong rate may shift its members; the next ones set them right.
  for (int gang = 0; gang < 60; ++gang) {
    fleet.Run(kGangSize, true);
  }
  CHECK(fleet.ShareRight() == 1.0);
}

TEST_CASE("members that were measured count though others ended too early", "[pace]")
{
  const auto measured = GENERATE(1U, 2U, 7U);
  CAPTURE(measured);
  worker_pace_model model;
  for (uint32_t gang = 0; gang < 6; ++gang) {
    const auto job = "job" + std::to_string(gang);
    for (uint32_t index = 0; index < measured; ++index) {
      const auto id = observed_fleet::IdOf(index);
      model.Observe({ { job, 0, 0, index }, 1, true, 8, id, index == 0 ? 1.0 : 3.0 });
    }
    model.ForgetJob(job);
  }
  model.Update();
  CHECK((model.ClassOf("w0") == pace_class::kSlow) == (measured > 1));
}

TEST_CASE("the record of the paces is bounded and comes back as it was", "[pace]")
{
  const auto workers = GENERATE(0, 10, 2'900, 29'000);
  CAPTURE(workers);
  pace_record record;
  for (int worker = 0; worker < workers; ++worker) {
    record["pool"]["worker-" + std::to_string(worker)] = { -0.5, 0.02, 0.001 };
  }
  const auto text = EncodePaces(record);
  CHECK(text.size() <= kMaxPaceRecordBytes);
  const auto decoded = DecodePaces(text);
  REQUIRE(decoded);
  if (workers <= 2'900) {
    CHECK(*decoded == record);
  } else {
    CHECK(decoded->at("pool").size() > 2'900);
  }
}

TEST_CASE("a record that isn't one of paces is unreadable", "[pace]")
{
  const auto* text = GENERATE("",
                              "[]",
                              "{\"pool\":1}",
                              "{\"pool\":{\"w\":[1,2]}}",
                              "{\"pool\":{\"w\":[0,0,0]}}",
                              "{\"pool\":{\"w\":[0.5,5,5]}}",
                              "{\"pool\":{\"w\":[1e999,5,5]}}",
                              "{\"pool\":{\"w\":[99999999,5,5]}}",
                              "{\"pool\":{\"w\":[null,5,5]}}");
  CAPTURE(text);
  CHECK_FALSE(DecodePaces(text));
}

TEST_CASE("urgent gangs get workers that end them in time", "[pace]")
{
  // Every so many workers is taken already, in an order that ignores the paces.
  const auto [takenOf, of] =
    GENERATE(std::pair(0U, 2U), std::pair(1U, 2U), std::pair(3U, 4U));
  CAPTURE(takenOf, of);
  std::mt19937 random(1);
  int onTime = 0;
  int onTimeWithout = 0;
  constexpr int kTrials = 100;
  for (int trial = 0; trial < kTrials; ++trial) {
    auto paces = ThreePaces();
    std::shuffle(paces.begin(), paces.end(), random);
    auto input = InputOf(paces);
    for (size_t worker = 0; worker < paces.size(); ++worker) {
      if (worker % of < takenOf) {
        input.mWorkers[worker].mFree = {};
      }
    }
    input.mGroups.push_back(UrgentGroup(kGangSize, true));
    const auto isOnTime = [&paces](const placement_plan& aPlan) {
      return aPlan.mStarts.size() == kGangSize &&
             std::all_of(
               aPlan.mStarts.begin(),
               aPlan.mStarts.end(),
               [&](const task_start& aStart) { return paces[aStart.mWorker] >= 0.8; });
    };
    onTime += isOnTime(PlaceTasks(input)) ? 1 : 0;
    for (auto& worker : input.mWorkers) {
      worker.mPace = pace_class::kUsual;
    }
    onTimeWithout += isOnTime(PlaceTasks(input)) ? 1 : 0;
  }
  CHECK(onTimeWithout <= kTrials / 5);
  CHECK(onTime >= kTrials * 8 / 10);
}

TEST_CASE("a group waits for its pace only while room is being made for it", "[pace]")
{
  struct row
  {
    const char* mName;
    bool mIsGang;
    bool mMayWait;
    double mLostWork; // Of the runs on the usual workers; negative: none may stop.
    size_t mReleased; // Usual workers that become free soon.
    size_t mStarted;  // On slow workers.
    size_t mStopped;
  };
  const auto [name, isGang, mayWait, lostWork, released, started, stopped] =
    GENERATE(row{ "cheap to preempt", true, true, 0.1, 0, 0, 4 },
             row{ "must not wait", true, false, 0.1, 0, 4, 0 },
             row{ "costs too much", true, true, 1e6, 0, 4, 0 },
             row{ "nothing to preempt", true, true, -1.0, 0, 4, 0 },
             row{ "all are about to end", true, true, -1.0, 4, 0, 0 },
             row{ "too few are about to end", true, true, -1.0, 3, 4, 0 },
             row{ "single tasks", false, true, -1.0, 3, 1, 0 },
             row{ "single tasks, must not wait", false, false, -1.0, 3, 4, 0 });
  CAPTURE(name);
  constexpr size_t kSlow = 4;
  auto input = InputOf({ 0.6, 0.6, 0.6, 0.6, 1.0, 1.0, 1.0, 1.0 });
  for (size_t worker = kSlow; worker < input.mWorkers.size(); ++worker) {
    input.mWorkers[worker].mFree = {};
    if (worker < kSlow + released) {
      input.mWorkers[worker].mReleasedByStops = input.mWorkers[worker].mTotal;
    } else if (lostWork >= 0.0) {
      preemption_unit unit;
      unit.mTask.mJob = "other" + std::to_string(worker);
      unit.mPriority = 2;
      unit.mLostCoreSeconds = lostWork;
      unit.mResourcesByWorker.emplace_back(worker, input.mWorkers[worker].mTotal);
      input.mPreemptionUnits.push_back(unit);
    }
  }
  input.mGroups.push_back(UrgentGroup(4, isGang));
  input.mGroups[0].mMayWaitForPace = mayWait;
  const auto plan = PlaceTasks(input);
  CHECK(plan.mStarts.size() == started);
  CHECK(plan.mUnitsToStop.size() == stopped);
  CHECK(plan.mReserved.size() == 4 - started);
  CHECK(plan.mWaitingForPace.empty() == (started == 4));
  CHECK(plan.mWaiting.empty() == (started == 4));
  for (const auto& start : plan.mStarts) {
    CHECK(start.mWorker < kSlow);
  }
}

TEST_CASE("work that needs no pace leaves the quick workers to others", "[pace]")
{
  const auto isGang = GENERATE(false, true);
  auto input = InputOf({ 1.6, 1.0, 0.6, 1.6, 1.0, 0.6 });
  auto group = UrgentGroup(2, isGang);
  group.mMinPace = pace_class::kSlow;
  input.mGroups.push_back(group);
  for (const auto& start : PlaceTasks(input).mStarts) {
    CHECK(input.mWorkers[start.mWorker].mPace == pace_class::kSlow);
  }
}

namespace {

/** An installation of eight workers, of which two are slow, and gangs on them all. */
struct uneven_site
{
  uneven_site()
  {
    mSite.mFaults.mSlowdownFactors = { { "w1", 2 }, { "w5", 2 } };
    mSite.mBehaviourByPayload["long"].mDuration = duration(5'000);
    mSite.mLoop.RunFor(duration(2'000));
  }

  /** Runs a gang with one task a worker and returns the workers that it used. */
  std::set<std::string> RunGang(const std::string& aId,
                                uint32_t aTasks,
                                int64_t aPriority)
  {
    auto job = fake_installation::MakeJob(aId, aTasks, true, aPriority);
    job.mStretch = 1.5;
    job.mAcceptedAtMs = mSite.mLoop.Now().count();
    job.mSpec.mPayload = "long";
    job.mSpec.mSteps[0].mMaxPerWorker = 1;
    job.mSpec.mSteps[0].mEstimate = duration(5'000);
    const auto vm = mSite.IsUp("vm1") ? "vm1" : "vm2";
    CHECK(mSite.Submit(vm, job) == job_answer::kAccepted);
    CHECK(mSite.ReachesState(vm, aId, "done", duration(30'000)));
    std::set<std::string> workers;
    for (const auto& trace : mSite.mTraces) {
      if (trace.mTask.mJob == aId) {
        workers.insert(trace.mWorker);
      }
    }
    return workers;
  }

  fake_installation mSite{ 3, 8, 4 };
};

} // namespace

TEST_CASE("the scheduler learns paces, keeps them over takeovers, uses them", "[pace]")
{
  enum class trouble
  {
    kNone,
    kTakeover,
    kUnreadable,
    kReadRefused
  };
  const auto kind = GENERATE(
    trouble::kNone, trouble::kTakeover, trouble::kUnreadable, trouble::kReadRefused);
  CAPTURE(static_cast<int>(kind));
  uneven_site uneven;
  auto& site = uneven.mSite;
  CHECK(uneven.RunGang("00000000000000a1", 8, 1).size() == 8);
  site.mLoop.RunFor(duration(12'000));
  CHECK(site.mLog.CountLines("event=worker_pace ") == 2);
  REQUIRE(site.mStore.Peek(store_keys::kPaces));
  if (kind != trouble::kNone) {
    if (kind == trouble::kUnreadable) {
      site.mStore.Put(store_keys::kPaces, "no paces");
    } else if (kind == trouble::kReadRefused) {
      store_fault refused;
      refused.mCalls = { store_call::kGet };
      refused.mPrefix = store_keys::kPaces;
      refused.mCallsLeft = 2;
      site.mFaults.mStoreFaults.push_back(refused);
    }
    site.Kill(site.SchedulerVm());
    site.mLoop.RunFor(duration(20'000));
  }
  const auto used = uneven.RunGang("00000000000000a2", 4, 0);
  CHECK(used.size() == 4);
  const bool avoidsSlow = used.count("w1") + used.count("w5") == 0;
  CHECK(avoidsSlow == (kind != trouble::kUnreadable));
  CHECK(site.mLog.CountLines("event=worker_paces_unreadable") ==
        (kind == trouble::kUnreadable ? 1 : 0));
  CHECK(site.mLog.CountLines("event=worker_paces_unread ") ==
        (kind == trouble::kReadRefused ? 1 : 0));
}
