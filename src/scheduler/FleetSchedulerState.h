#pragma once

#include "scheduler/FleetScheduler.h"

namespace anvildoor {

/** One job during a term. */
struct fleet_scheduler::job_entry
{
  explicit job_entry(const accepted_job& aJob)
    : mState(aJob)
  {
  }

  job_state mState;
  job_outcome mShown = job_outcome::kOpen; ///< The outcome that is durable.
  bool mMayWait = true; ///< A task may be waiting; checked at the next planning round.
  time_point mSeenAt{ 0 };
  time_point mEndedAt{ 0 };
  std::map<task_ref, std::set<std::string>> mFailedOn; ///< Where its tasks failed.
};

/** Why the members of a gang stop when one has ended. */
constexpr const char* kGangBroken = "its gang is broken";

/** One worker during a term. */
struct fleet_scheduler::worker_entry
{
  worker_entry(const std::string& aId, const run_bounds& aBounds)
    : mRuns(aBounds)
  {
    mListed.mId = aId;
  }

  listed_worker mListed;
  entry_sight mSight;
  bool mIsListed = false;
  worker_runs mRuns;
  worker_health mHealth;
  bool mHolding = false;   ///< A hold is on its way.
  uint64_t mHoldRound = 0; ///< Rises with each planned hold: older timers end.
  bool mSilent = false;    ///< The last call got no answer.
  /** While it drains: until then it surely stays. */
  std::optional<time_point> mLeavesAt;
};

/** Wraps a callback so that it does nothing once the term has ended. */
template<typename Callback>
auto fleet_scheduler::Guarded(Callback aCallback)
{
  return [this, round = mRound, callback = std::move(aCallback)](auto&&... aArguments) {
    if (round == mRound) {
      callback(std::forward<decltype(aArguments)>(aArguments)...);
    }
  };
}

} // namespace anvildoor
