#pragma once

#include "planner/TaskPlacement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvildoor {

/** Task indices with their workers; empty if a group cannot be placed. */
using task_slots = std::vector<std::pair<uint32_t, size_t>>;

/** The workers that a search may use. */
struct search_scope
{
  std::optional<size_t> mOnlyRack;
  pace_class mMinPace = pace_class::kSlow;

  auto operator<=>(const search_scope&) const = default;
};

/** The resources that a search may use. */
enum class slot_supply
{
  kFree,      ///< Free now.
  kAfterStops ///< Free once the runs that are being stopped have ended.
};

/**
 * Finds workers for the tasks of a group, on a copy of the workers' resources from
 * which the tasks that are placed in one round are subtracted. Groups and workers are
 * named by their index in the input. Not thread-safe.
 */
class slot_search
{
public:
  /** Subtracts the reservations of the last round. aInput must outlive the search. */
  explicit slot_search(const placement_input& aInput);

  /**
   * Finds slots for tasks of a group on workers of aMinPace or quicker ones; of a gang
   * for all of aIndices or none, and in one rack if it requires that.
   */
  task_slots FindSlots(size_t aGroup,
                       const std::vector<uint32_t>& aIndices,
                       slot_supply aSupply,
                       pace_class aMinPace) const;

  /** The same on the workers in aScope, whether or not the gang requires one rack. */
  task_slots FindSlotsOn(size_t aGroup,
                         const std::vector<uint32_t>& aIndices,
                         slot_supply aSupply,
                         const search_scope& aScope) const;

  /** Returns how many tasks of the group fit into aFree on the worker. */
  uint32_t CountSlots(const placement_group& aGroup,
                      const task_resources& aFree,
                      size_t aWorker) const;

  /** Returns whether the gang would fit into at least one rack if it were empty. */
  bool FitsInEmptyRack(const placement_group& aGroup) const;

  /** Allocates task slots on a worker; a negative number releases them. */
  void Allocate(const placement_group& aGroup, size_t aWorker, int64_t aTaskSlots);

  /** Releases the reservations that the last round made for a group. */
  void ReleaseReservations(size_t aGroup);

  /** Adds resources of a run that is to be stopped to those free after stops. */
  void AddReleased(size_t aWorker, const task_resources& aResources);

  bool HasReservations(size_t aGroup) const
  {
    return !mReservedWorkers[aGroup].empty();
  }
  const task_resources& FreeAfterStops(size_t aWorker) const
  {
    return mFreeAfterStops[aWorker];
  }
  /** Returns the workers by rack. */
  const std::vector<std::vector<size_t>>& Racks() const { return mRacks; }

private:
  struct candidate
  {
    double mPreference = 0.0; ///< Data, reservations and health; outranks the pace.
    int mPaceRank = 0;        ///< Lower ranks are used first.
    double mScore = 0.0;
    double mFreeInRack = 0.0; ///< In cores; fuller racks are preferred.
    size_t mWorker = 0;
    uint32_t mCapacity = 0;
  };

  void ApplyReservations();
  /** The same for one lower bound on the pace. */
  task_slots FindSlotsAtPace(size_t aGroup,
                             const std::vector<uint32_t>& aIndices,
                             slot_supply aSupply,
                             pace_class aMinPace) const;
  task_slots FindSlotsInOneRack(size_t aGroup,
                                const std::vector<uint32_t>& aIndices,
                                slot_supply aSupply,
                                pace_class aMinPace) const;
  std::vector<candidate> Candidates(size_t aGroup,
                                    slot_supply aSupply,
                                    const search_scope& aScope) const;
  bool IsReservedFor(size_t aGroup, size_t aWorker) const;
  bool IsAvoided(const placement_group& aGroup, uint32_t aIndex, size_t aWorker) const;
  size_t IndexOf(const placement_group& aGroup) const
  {
    return static_cast<size_t>(&aGroup - mInput.mGroups.data());
  }
  /** Returns how many more tasks mMaxPerWorker allows on the worker. */
  uint32_t RemainingSlots(const placement_group& aGroup, size_t aWorker) const;

  const placement_input& mInput;
  std::vector<task_resources> mFree;
  std::vector<task_resources> mFreeAfterStops;
  std::vector<std::vector<size_t>> mRacks;
  std::vector<size_t> mRackOf;     ///< By worker.
  std::set<pace_class> mPaces;     ///< Of all workers.
  std::vector<double> mFreeInRack; ///< Free cores by rack.
  std::map<size_t, std::string> mRackNames;
  /** Reserved workers by group; one entry per task. */
  std::vector<std::vector<size_t>> mReservedWorkers;
  /** By group: tasks placed or reserved in this round, by worker. */
  std::vector<std::map<size_t, int64_t>> mTaken;
};

} // namespace anvildoor
