#pragma once

#include "planner/RoundState.h"

#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/**
 * Reserves racks for large gangs that have waited longer than drain_after_ms, and
 * drains them. Not thread-safe.
 */
class rack_drains
{
public:
  /** aState must outlive the object. */
  rack_drains(round_state& aState, std::vector<rack_reservation> aReservations);

  const std::vector<rack_reservation>& Reservations() const { return mReservations; }

  /** Drops reservations of jobs that no longer wait and updates the others. */
  void Refresh();

  /** Starts every gang that now fits into its rack, by preemption if necessary. */
  void StartReady();

  /** Returns whether a rack is reserved for the job. */
  bool IsReservedFor(const std::string& aJob) const;

  /** Returns whether a borrower may use a rack without delaying the reservation. */
  bool MayBackfill(size_t aRack, const waiting_job& aJob) const;

  /** Reserves a rack if the gang has waited long enough and the limit allows it. */
  void MaybeReserve(const waiting_job& aJob);

  /** Returns the rack that is reserved for a job, or "". */
  std::string RackFor(const std::string& aJob) const;

private:
  struct rack_choice
  {
    std::string mRack;
    time_point mFreeAt{};
  };

  const waiting_job* FindWaitingJob(const std::string& aJob) const;
  bool TryStart(const waiting_job& aJob, const rack_reservation& aReservation);
  bool MayPreempt(const waiting_job& aJob,
                  const rack_reservation& aReservation,
                  const running_gang& aGang) const;
  std::optional<rack_choice> BestRack(const waiting_job& aJob,
                                      time_point aReservedAt) const;
  std::optional<time_point> ExpectedFree(size_t aRack,
                                         const waiting_job& aJob,
                                         time_point aReservedAt) const;
  size_t MaxReservations() const;
  size_t FindRack(const std::string& aName) const;
  const std::string& RackName(size_t aRack) const;

  round_state& mState;
  std::vector<rack_reservation> mReservations;
};

} // namespace anvildoor
