#include "support/PlacementDay.h"

#include "planner/CapacityHeadroom.h"
#include "planner/ShortagePolicy.h"
#include "planner/TaskPlacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace anvildoor {

namespace {

constexpr const char* kPool = "pool";
constexpr size_t kWorkersPerRack = 20;
/** Time between two planning rounds. */
constexpr duration kRoundPeriod{ 50 };
/** Time from a stop until the capacity is free. */
constexpr duration kStopTime{ 200 };
/** How long work goes on after the last arrival. */
constexpr duration kFinishTime{ 60'000 };
constexpr double kMsPerSecond = 1'000.0;

/** The jobs of one priority. */
struct job_class
{
  int64_t mPriority = 0;
  double mArrivalsPerSecond = 0.0; ///< On five racks.
  double mMeanTasks = 1.0;
  uint32_t mMaxTasks = 1;
  int64_t mCpuMillis = 0;
  int64_t mMemoryMb = 0;
  std::vector<int64_t> mAccelerators; ///< Of a task, one chosen at random.
  double mMeanMs = 0.0;               ///< Run time of a task.
  double mStretch = 1.0;
  double mObjectiveMs = 0.0;
  bool mGang = false;
};

std::vector<job_class> Classes()
{
  return {
    { 0, 2.2, 5.3, 32, 3'700, 20'000, { 1, 2, 4, 8, 8 }, 2'500.0, 1.5, 300.0, true },
    { 1,
      0.87,
      13.0,
      40,
      13'000,
      38'000,
      { 1, 2, 4, 8, 8 },
      6'800.0,
      3.0,
      1'000.0,
      true },
    { 2, 1.1, 38.0, 230, 2'800, 15'000, { 1 }, 6'100.0, 3.0, 3'000.0, false },
  };
}

struct task
{
  duration mWork{ 0 };
  bool mPlaced = false;
  bool mStopping = false;
  bool mDone = false;
  size_t mWorker = 0;
  time_point mStartedAt{ 0 };
  time_point mEndsAt{ 0 };
};

struct job
{
  job_class mClass;
  step_spec mSpec;
  time_point mArrivedAt{ 0 };
  time_point mDeadline{ 0 };
  std::optional<time_point> mStartedAt;
  std::optional<time_point> mDoneAt;
  std::vector<task> mTasks;
  std::vector<std::string> mReserved;
};

class day_simulation
{
public:
  explicit day_simulation(const placement_day& aDay)
    : mDay(aDay)
    , mRandom(aDay.mSeed)
  {
    for (size_t number = 0; number < aDay.mRacks * kWorkersPerRack; ++number) {
      placement_worker worker;
      worker.mId = std::to_string(number);
      worker.mPool = kPool;
      worker.mRack = std::to_string(number / kWorkersPerRack);
      worker.mTotal = { 32'000, 131'072, 8 };
      mWorkers.push_back(worker);
    }
    for (const auto& kind : Classes()) {
      AddArrivals(kind);
    }
    std::sort(mJobs.begin(), mJobs.end(), [](const job& aLeft, const job& aRight) {
      return aLeft.mArrivedAt < aRight.mArrivedAt;
    });
  }

  placement_day_result Run()
  {
    while (mNow < time_point(0) + mDay.mLength + kFinishTime) {
      EndRuns();
      Plan();
      mNow += kRoundPeriod;
    }
    return Summarise();
  }

private:
  double Uniform() { return std::uniform_real_distribution<>(0.0, 1.0)(mRandom); }

  void AddArrivals(const job_class& aClass)
  {
    constexpr double kRacksOfRates = 5.0;
    const double perMs = aClass.mArrivalsPerSecond * mDay.mLoad *
                         (aClass.mPriority == 0 ? mDay.mUrgentLoad : 1.0) *
                         static_cast<double>(mDay.mRacks) / kRacksOfRates /
                         kMsPerSecond;
    double atMs = 0.0;
    while (true) {
      atMs += std::exponential_distribution<>(perMs)(mRandom);
      if (atMs > static_cast<double>(mDay.mLength.count())) {
        return;
      }
      mJobs.push_back(MakeJob(aClass, time_point(std::llround(atMs))));
    }
  }

  job MakeJob(const job_class& aClass, time_point aArrival)
  {
    job made;
    made.mClass = aClass;
    made.mArrivedAt = aArrival;
    const double tasks = aClass.mMeanTasks * std::exp(0.8 * Normal() - 0.32);
    made.mSpec.mCount = std::clamp<uint32_t>(
      static_cast<uint32_t>(std::lround(tasks)), 1, aClass.mMaxTasks);
    const auto accelerators =
      static_cast<size_t>(Uniform() * static_cast<double>(aClass.mAccelerators.size()));
    made.mSpec.mPerTask = { aClass.mCpuMillis,
                            aClass.mMemoryMb,
                            aClass.mAccelerators[accelerators] };
    made.mSpec.mGang = aClass.mGang;
    made.mSpec.mSameRack = aClass.mGang && Uniform() < 0.7;
    const double meanMs = aClass.mMeanMs * std::exp(0.3 * Normal() - 0.045);
    made.mSpec.mEstimate = duration(std::llround(meanMs));
    double longestMs = 0.0;
    for (uint32_t index = 0; index < made.mSpec.mCount; ++index) {
      const double ms = meanMs * (1.0 + 0.15 * (2.0 * Uniform() - 1.0));
      longestMs = std::max(longestMs, ms);
      task added;
      added.mWork = duration(std::llround(ms));
      made.mTasks.push_back(added);
    }
    made.mDeadline =
      aArrival +
      duration(std::llround(aClass.mStretch * longestMs + aClass.mObjectiveMs));
    return made;
  }

  double Normal() { return std::normal_distribution<>(0.0, 1.0)(mRandom); }

  void EndRuns()
  {
    for (auto& each : mJobs) {
      for (auto& one : each.mTasks) {
        if (one.mPlaced && one.mEndsAt <= mNow) {
          one.mPlaced = false;
          one.mDone = !one.mStopping;
          one.mStopping = false;
        }
      }
      const bool isDone = std::all_of(each.mTasks.begin(),
                                      each.mTasks.end(),
                                      [](const task& aTask) { return aTask.mDone; });
      if (isDone && !each.mDoneAt) {
        each.mDoneAt = mNow;
      }
    }
  }

  void Plan()
  {
    placement_input input;
    input.mWorkers = mWorkers;
    for (auto& worker : input.mWorkers) {
      worker.mFree = worker.mTotal;
    }
    std::vector<size_t> jobOfGroup;
    for (size_t number = 0; number < mJobs.size(); ++number) {
      auto& each = mJobs[number];
      if (each.mArrivedAt <= mNow && !each.mDoneAt) {
        AddRunning(each, input);
        AddGroup(number, input, jobOfGroup);
      }
    }
    if (mDay.mUsesHeadroom) {
      mHeadroom.SetAllowances(input, mNow);
    }
    std::vector<std::pair<size_t, size_t>> taskOfUnit;
    AddUnits(input, taskOfUnit);
    auto plan = PlaceTasks(input);
    if (mDay.mUsesShortagePolicy && !plan.mWaiting.empty() &&
        OrderForShortage(input.mGroups)) {
      std::transform(input.mGroups.begin(),
                     input.mGroups.end(),
                     jobOfGroup.begin(),
                     [](const auto& aGroup) { return std::stoul(aGroup.mJob); });
      plan = PlaceTasks(input);
    }
    Apply(input, plan, jobOfGroup, taskOfUnit);
  }

  void AddRunning(const job& aJob, placement_input& aInput) const
  {
    for (const auto& one : aJob.mTasks) {
      if (!one.mPlaced) {
        continue;
      }
      auto& worker = aInput.mWorkers[one.mWorker];
      Add(worker.mFree, aJob.mSpec.mPerTask, -1);
      worker.mLoadByPriority[aJob.mClass.mPriority] +=
        DominantShare(aJob.mSpec.mPerTask, worker.mTotal);
      if (one.mStopping || EndsBeforeStop(aJob, one)) {
        Add(worker.mReleasedByStops, aJob.mSpec.mPerTask);
      }
    }
  }

  /** Adds the waiting tasks of a job; jobs are sorted by arrival, groups by priority.
   */
  void AddGroup(size_t aJob,
                placement_input& aInput,
                std::vector<size_t>& aJobOfGroup) const
  {
    const auto& each = mJobs[aJob];
    placement_group group;
    group.mJob = std::to_string(aJob);
    group.mPool = kPool;
    group.mSpec = each.mSpec;
    group.mPriority = each.mClass.mPriority;
    group.mMayPreempt = group.mPriority == 0;
    group.mReserved = each.mReserved;
    bool isAnyPlaced = false;
    for (uint32_t index = 0; index < each.mTasks.size(); ++index) {
      isAnyPlaced = isAnyPlaced || each.mTasks[index].mPlaced;
      if (!each.mTasks[index].mPlaced && !each.mTasks[index].mDone) {
        group.mIndices.push_back(index);
      }
    }
    if (group.mIndices.empty() || (group.mSpec.mGang && isAnyPlaced)) {
      return;
    }
    if (mDay.mUsesShortagePolicy) {
      DescribeNeed(each, group);
    }
    const auto at = std::upper_bound(aInput.mGroups.begin(),
                                     aInput.mGroups.end(),
                                     group.mPriority,
                                     [](int64_t aPriority, const auto& aOther) {
                                       return aPriority < aOther.mPriority;
                                     });
    aJobOfGroup.insert(aJobOfGroup.begin() + (at - aInput.mGroups.begin()), aJob);
    aInput.mGroups.insert(at, group);
  }

  /** Adds what callers of a group lose while it waits. */
  void DescribeNeed(const job& aJob, placement_group& aGroup) const
  {
    const auto estimate = aJob.mSpec.mEstimate;
    aGroup.mSlack = aJob.mDeadline - mNow - estimate;
    if (aGroup.mSlack < duration::zero()) {
      aGroup.mForecast = completion_forecast::kLate;
      aGroup.mSlack += 2 * (aJob.mDeadline - aJob.mArrivedAt);
    } else {
      aGroup.mPatience = PatienceFor(aGroup.mSlack);
    }
    aGroup.mCoreSeconds = static_cast<double>(aGroup.mIndices.size()) *
                          CoresOf(aJob.mSpec.mPerTask) *
                          static_cast<double>(estimate.count()) / kMsPerSecond;
  }

  /** Adds what callers of a run lose by its stop. */
  void DescribeStop(const job& aJob, const task& aTask, preemption_unit& aUnit) const
  {
    const auto cores = CoresOf(aJob.mSpec.mPerTask);
    const auto estimate = aJob.mSpec.mEstimate;
    aUnit.mLateCoreSeconds += WorkMadeLateBy(
      { .mSlackOfRestart = aJob.mDeadline - mNow - estimate,
        .mElapsed = mNow - aTask.mStartedAt,
        .mCoreSeconds = static_cast<double>(estimate.count()) / kMsPerSecond * cores });
    const auto left = aTask.mEndsAt - mNow;
    const bool isFirst = aUnit.mResourcesByWorker.size() == 1;
    aUnit.mEndsIn = isFirst ? left : std::max(aUnit.mEndsIn, left);
  }

  void AddUnits(placement_input& aInput,
                std::vector<std::pair<size_t, size_t>>& aTaskOfUnit) const
  {
    for (size_t number = 0; number < mJobs.size(); ++number) {
      const auto& each = mJobs[number];
      for (size_t index = 0; index < each.mTasks.size(); ++index) {
        const auto& one = each.mTasks[index];
        if (!one.mPlaced || one.mStopping || EndsBeforeStop(each, one)) {
          continue;
        }
        const bool isSameGang = each.mSpec.mGang && !aTaskOfUnit.empty() &&
                                aTaskOfUnit.back().first == number;
        if (!isSameGang) {
          preemption_unit unit;
          unit.mPriority = each.mClass.mPriority;
          aInput.mPreemptionUnits.push_back(unit);
          aTaskOfUnit.emplace_back(number, index);
        }
        auto& unit = aInput.mPreemptionUnits.back();
        unit.mLostCoreSeconds += LostBy(each, one);
        unit.mResourcesByWorker.emplace_back(one.mWorker, each.mSpec.mPerTask);
        if (mDay.mUsesShortagePolicy) {
          DescribeStop(each, one, unit);
        }
      }
    }
  }

  bool EndsBeforeStop(const job& aJob, const task& aTask) const
  {
    return !aJob.mSpec.mGang && aTask.mEndsAt - mNow <= kStopTime;
  }

  double LostBy(const job& aJob, const task& aTask) const
  {
    return static_cast<double>((mNow - aTask.mStartedAt).count()) / kMsPerSecond *
           CoresOf(aJob.mSpec.mPerTask);
  }

  void Apply(const placement_input& aInput,
             const placement_plan& aPlan,
             const std::vector<size_t>& aJobOfGroup,
             const std::vector<std::pair<size_t, size_t>>& aTaskOfUnit)
  {
    for (auto& each : mJobs) {
      each.mReserved.clear();
    }
    for (const auto& [group, worker] : aPlan.mReserved) {
      mJobs[aJobOfGroup[group]].mReserved.push_back(aInput.mWorkers[worker].mId);
    }
    for (const auto& start : aPlan.mStarts) {
      auto& each = mJobs[aJobOfGroup[start.mGroup]];
      auto& one = each.mTasks[start.mIndex];
      one.mPlaced = true;
      one.mWorker = start.mWorker;
      one.mStartedAt = mNow;
      one.mEndsAt = mNow + one.mWork;
      each.mStartedAt = each.mStartedAt.value_or(mNow);
    }
    for (const auto unit : aPlan.mUnitsToStop) {
      const auto [number, index] = aTaskOfUnit[unit];
      auto& each = mJobs[number];
      for (size_t member = 0; member < each.mTasks.size(); ++member) {
        auto& one = each.mTasks[member];
        if (one.mPlaced && (each.mSpec.mGang || member == index)) {
          one.mStopping = true;
          one.mEndsAt = mNow + kStopTime;
          mLostCoreSeconds += LostBy(each, one);
          ++mPreemptedRuns;
        }
      }
    }
  }

  placement_day_result Summarise() const
  {
    placement_day_result result;
    std::map<int64_t, std::vector<double>> waits;
    std::map<int64_t, std::vector<std::pair<double, bool>>> bySize;
    for (const auto& each : mJobs) {
      auto& callers = result.mClasses[each.mClass.mPriority];
      ++callers.mJobs;
      callers.mDone += each.mDoneAt ? 1 : 0;
      callers.mOnTime += each.mDoneAt && *each.mDoneAt <= each.mDeadline ? 1 : 0;
      bySize[each.mClass.mPriority].emplace_back(
        CoresOf(each.mSpec.mPerTask) * static_cast<double>(each.mTasks.size()) *
          static_cast<double>(each.mSpec.mEstimate.count()),
        each.mDoneAt && *each.mDoneAt <= each.mDeadline);
      const auto wait = each.mStartedAt.value_or(mNow) - each.mArrivedAt;
      waits[each.mClass.mPriority].push_back(static_cast<double>(wait.count()));
    }
    for (auto& [priority, values] : waits) {
      constexpr size_t kPercentile = 95;
      std::sort(values.begin(), values.end());
      result.mClasses[priority].mStartWaitP95Ms =
        values[(values.size() - 1) * kPercentile / 100];
    }
    for (auto& [priority, jobs] : bySize) {
      auto& callers = result.mClasses[priority];
      callers.mLargeJobs = (jobs.size() + 9) / 10;
      std::sort(jobs.rbegin(), jobs.rend());
      callers.mLargeOnTime = static_cast<size_t>(
        std::count_if(jobs.begin(),
                      jobs.begin() + static_cast<std::ptrdiff_t>(callers.mLargeJobs),
                      [](const auto& aJob) { return aJob.second; }));
    }
    double cores = 0.0;
    for (const auto& worker : mWorkers) {
      cores += CoresOf(worker.mTotal);
    }
    result.mPreemptedRuns = mPreemptedRuns;
    result.mLostShare = mLostCoreSeconds * kMsPerSecond /
                        (cores * static_cast<double>(mDay.mLength.count()));
    return result;
  }

  placement_day mDay;
  std::mt19937 mRandom;
  std::vector<placement_worker> mWorkers;
  std::vector<job> mJobs; ///< By arrival.
  capacity_headroom mHeadroom;
  time_point mNow{ 0 };
  double mLostCoreSeconds = 0.0;
  size_t mPreemptedRuns = 0;
};

} // namespace

placement_day_result PlayPlacementDay(const placement_day& aDay)
{
  return day_simulation(aDay).Run();
}

} // namespace anvildoor
