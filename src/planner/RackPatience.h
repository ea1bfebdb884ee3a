#pragma once

#include "anvildoor/Time.h"
#include "planner/TaskPlacement.h"

#include <map>
#include <tuple>

namespace anvildoor {

/**
 * Decides how long a gang waits for room in one rack. It answers a load far below the
 * capacity of the fleet whose free workers are spread over the racks, so that a gang
 * that prefers one rack finds none, although the fleet has room for it several times
 * over. After a short wait such a gang may clear a rack of single tasks, which then
 * continue elsewhere; if that is not worth it, the gang may span racks. On a busy fleet
 * gangs keep waiting for a rack, as spanning makes them hold their workers for much
 * longer. Only a guaranteed gang, which has to start within a bound, may span racks
 * there after a part of it, since each rack may hold runs that the gang may not stop.
 * Reads no clock; not thread-safe.
 */
class rack_patience
{
public:
  /** aReclaimBound: the time within which a guaranteed gang has to start, in ms. */
  explicit rack_patience(duration aReclaimBound)
    : mReclaimBound(aReclaimBound)
  {
  }

  /**
   * Sets mMayClearRack and mMaySpanRacks of the groups of aInput that have waited long
   * enough.
   */
  void SetRights(placement_input& aInput, time_point aNow) const;

  /** Notes which groups of aInput wait after the round that gave aPlan. */
  void Observe(const placement_input& aInput,
               const placement_plan& aPlan,
               time_point aNow);

  /** Forgets all waits. */
  void Clear();

private:
  using group_key =
    std::tuple<std::string, uint32_t, uint32_t>; // Job, occurrence, step.
  /** Since when groups have waited. */
  using waits = std::map<group_key, time_point>;

  static group_key KeyOf(const placement_group& aGroup);
  /** Adds aGroup to aWaits, since its time in aBefore, or else since aNow. */
  static void Prolong(waits& aWaits,
                      const waits& aBefore,
                      const placement_group& aGroup,
                      time_point aNow);

  duration mReclaimBound;
  waits mBesideRoom; ///< Gangs for which the fleet has room.
  waits mGuaranteed; ///< Gangs that are guaranteed.
};

} // namespace anvildoor
