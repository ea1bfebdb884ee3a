#pragma once

#include "planner/SlotSearch.h"

#include <optional>
#include <vector>

namespace anvildoor {

/** Units to stop, and the workers on which a group then fits. */
struct preemption
{
  std::vector<size_t> mUnits; ///< Indices of the units in the input.
  double mCost = 0.0; ///< What callers lose, in core-seconds; the least is chosen.
  /** The part of it that is work to be done again, which the group has to be worth. */
  double mWorkCost = 0.0;
  search_scope mScope;

  auto operator<=>(const preemption&) const = default;
};

/**
 * Returns whether a group that may preempt outranks a unit, by priority or guarantee.
 * Pure; thread-safe.
 */
bool Outranks(const placement_group& aGroup, const preemption_unit& aUnit);

/**
 * Chooses the runs that are stopped to make room for a group that may preempt, or that
 * may clear a rack. Keeps which units one round stops. Not thread-safe.
 */
class preemption_search
{
public:
  /** Both references must outlive the search. */
  preemption_search(const placement_input& aInput, const slot_search& aSlots);

  /**
   * Returns the cheapest preemption on workers of aMinPace or quicker ones, or nothing
   * if it would cost too much. A guaranteed group may preempt at any cost, unless it
   * has another choice (aHasAlternative).
   */
  std::optional<preemption> Cheapest(const placement_group& aGroup,
                                     const std::vector<uint32_t>& aMissing,
                                     pace_class aMinPace,
                                     bool aHasAlternative) const;

  /** Returns whether a group waits for a unit to end rather than have it stopped. */
  bool IsAwaited(size_t aUnit, const placement_group& aGroup) const
  {
    return mInput.mPreemptionUnits[aUnit].mEndsIn <= aGroup.mPatience;
  }

  /** Notes that a unit is stopped, so that no other group counts on its resources. */
  void MarkStopped(size_t aUnit) { mStopped[aUnit] = true; }

private:
  bool MayPreempt(size_t aUnit, const placement_group& aGroup) const;
  double Cost(size_t aUnit, const placement_group& aGroup) const;
  double WorkCost(size_t aUnit, const placement_group& aGroup) const;
  /**
   * Selects units to stop on aWorkers to free aTaskSlots: adds the cheapest ones first,
   * then removes those that are not needed.
   */
  std::optional<preemption> SearchOn(const placement_group& aGroup,
                                     size_t aTaskSlots,
                                     const std::vector<size_t>& aWorkers,
                                     pace_class aMinPace) const;

  const placement_input& mInput;
  const slot_search& mSlots;
  std::vector<std::vector<size_t>> mUnitsOnWorker; ///< Preemption units by worker.
  std::vector<bool> mStopped;
};

} // namespace anvildoor
