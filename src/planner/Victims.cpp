#include "planner/Victims.h"

#include <algorithm>
#include <set>

namespace anvildoor {

namespace {

constexpr int64_t kCheckpointCostMs = 1'000;
constexpr int64_t kInteractiveCostFactor = 4;
constexpr int64_t kUrgentCostFactor = 16;

int64_t ClassCostFactor(work_class aClass)
{
  switch (aClass) {
    case work_class::kUrgent:
      return kUrgentCostFactor;
    case work_class::kInteractive:
      return kInteractiveCostFactor;
    case work_class::kBatch:
      return 1;
  }
  return 1;
}

/** Selects victims worker by worker. */
class victim_picker
{
public:
  explicit victim_picker(const victim_search& aSearch)
    : mSearch(aSearch)
    , mUsed(aSearch.mCommitted)
  {
  }

  bool FreeCapacity(const placed_tasks& aPart, const gang_shape& aShape)
  {
    const size_t worker = mSearch.mFleet.Find(aPart.mWorker);
    if (worker >= mSearch.mFleet.Size()) {
      return false;
    }
    const auto need = aShape.mPerTask * aPart.mTasks;
    while (!FitsIn(need, mSearch.mFleet.At(worker).mCapacity - mUsed.At(worker))) {
      const auto* victim = CheapestVictim(worker);
      if (victim == nullptr) {
        return false;
      }
      AddVictim(*victim);
    }
    return true;
  }

  victim_choice Choice() const { return mChoice; }

private:
  const running_gang* CheapestVictim(size_t aWorker) const
  {
    const running_gang* best = nullptr;
    for (const size_t index : mSearch.mByWorker[aWorker]) {
      const auto& gang = mSearch.mRunning[index];
      if (!gang.IsReclaimable() || mVictimJobs.count(gang.mJob) != 0 ||
          !mSearch.mMayStop(gang)) {
        continue;
      }
      if (best == nullptr ||
          StopCost(gang, mSearch.mNow) < StopCost(*best, mSearch.mNow)) {
        best = &gang;
      }
    }
    return best;
  }

  void AddVictim(const running_gang& aVictim)
  {
    mVictimJobs.insert(aVictim.mJob);
    mUsed.SubtractGang(mSearch.mFleet, aVictim.mShape, aVictim.mPlacement);
    mChoice.mJobs.push_back(aVictim.mJob);
    mChoice.mCost += StopCost(aVictim, mSearch.mNow);
  }

  const victim_search& mSearch;
  worker_amounts mUsed;
  std::set<std::string> mVictimJobs;
  victim_choice mChoice;
};

} // namespace

gang_index IndexGangs(const fleet_view& aFleet,
                      const std::vector<running_gang>& aRunning)
{
  gang_index index(aFleet.Size());
  for (size_t gang = 0; gang < aRunning.size(); ++gang) {
    for (const auto& part : aRunning[gang].mPlacement) {
      const size_t worker = aFleet.Find(part.mWorker);
      if (worker < aFleet.Size()) {
        index[worker].push_back(gang);
      }
    }
  }
  return index;
}

int64_t StopCost(const running_gang& aGang, time_point aNow)
{
  const int64_t elapsed = std::max<int64_t>(0, (aNow - aGang.mStarted).count());
  const int64_t lost = aGang.mCheckpointable ? kCheckpointCostMs : elapsed;
  const int64_t accelerators = std::max<int64_t>(1, aGang.mShape.Accelerators());
  return (lost + 1) * accelerators * ClassCostFactor(aGang.mClass);
}

std::optional<victim_choice> ChooseVictims(const victim_search& aSearch,
                                           const gang_shape& aShape,
                                           const placement& aPlacement)
{
  victim_picker picker(aSearch);
  for (const auto& part : aPlacement) {
    if (!picker.FreeCapacity(part, aShape)) {
      return std::nullopt;
    }
  }
  return picker.Choice();
}

} // namespace anvildoor
