#pragma once

#include "planner/Resources.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvildoor {

/** A snapshot of one worker for the planner. */
struct worker_view
{
  std::string mId;
  std::string mRack;
  resources mCapacity;
  bool mUsable = true; ///< Reachable, not leaving, not quarantined.

  auto operator<=>(const worker_view&) const = default;
};

/** The workers of one data centre, grouped by rack. Immutable; safe to share. */
class fleet_view
{
public:
  fleet_view() = default;

  /** Orders aWorkers by rack and id; ids must be unique. */
  explicit fleet_view(std::vector<worker_view> aWorkers);

  const std::vector<worker_view>& Workers() const { return mWorkers; }
  const worker_view& At(size_t aIndex) const { return mWorkers[aIndex]; }
  size_t Size() const { return mWorkers.size(); }

  /** Returns the worker indices of each rack, sorted by rack name. */
  const std::vector<std::vector<size_t>>& Racks() const { return mRacks; }

  /** Returns the rack number of a worker. */
  size_t RackOf(size_t aIndex) const { return mRackOf[aIndex]; }

  /** Returns the index of a worker, or Size() if it is unknown. */
  size_t Find(const std::string& aId) const;

private:
  std::vector<worker_view> mWorkers;
  std::vector<std::vector<size_t>> mRacks;
  std::vector<size_t> mRackOf;
  std::map<std::string, size_t> mIndex;
};

/** The number of tasks of a gang on one worker. */
struct placed_tasks
{
  std::string mWorker;
  int64_t mTasks = 0;

  auto operator<=>(const placed_tasks&) const = default;
};

/** The distribution of a gang's tasks; one element per worker. */
using placement = std::vector<placed_tasks>;

/**
 * Resource amounts per worker index, used during one decision. Not thread-safe.
 */
class worker_amounts
{
public:
  explicit worker_amounts(size_t aWorkers)
    : mAmounts(aWorkers)
  {
  }

  const resources& At(size_t aIndex) const { return mAmounts[aIndex]; }
  void Set(size_t aIndex, const resources& aValue) { mAmounts[aIndex] = aValue; }
  void Add(size_t aIndex, const resources& aValue);
  void Subtract(size_t aIndex, const resources& aValue);

  /** Adds the tasks of a gang; workers that the fleet does not list are skipped. */
  void AddGang(const fleet_view& aFleet,
               const gang_shape& aShape,
               const placement& aPlacement);
  void SubtractGang(const fleet_view& aFleet,
                    const gang_shape& aShape,
                    const placement& aPlacement);

private:
  std::vector<resources> mAmounts;
};

} // namespace anvildoor
