#pragma once

#include "planner/RoundState.h"

#include <functional>
#include <optional>

namespace anvildoor {

/** Starts jobs inside the guaranteed shapes of their workspaces. Not thread-safe. */
class guarantee_search
{
public:
  /** aState must outlive the search. */
  explicit guarantee_search(round_state& aState);

  /** Starts aJob in the cheapest shape. Returns false if no shape can hold it. */
  bool TryStart(const waiting_job& aJob);

private:
  struct option
  {
    shape_id mShape;
    placement mPlacement;
    std::optional<placement> mMoveTo;
    victim_choice mVictims;
  };
  using spare_on = std::function<resources(size_t aWorker)>;

  std::optional<option> BestOption(const waiting_job& aJob) const;
  std::optional<option> OptionIn(const planned_shape& aShape,
                                 const waiting_job& aJob) const;
  std::optional<option> MoveOption(const planned_shape& aShape,
                                   const waiting_job& aJob) const;
  std::optional<option> OptionAfterMove(const planned_shape& aShape,
                                        const waiting_job& aJob,
                                        const spare_on& aSpare) const;
  worker_amounts SpareInShape(const planned_shape& aShape) const;
  bool IsInUse(const shape_id& aShape) const;

  round_state& mState;
};

} // namespace anvildoor
