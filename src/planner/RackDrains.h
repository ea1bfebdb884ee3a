#pragma once

#include "planner/RoundState.h"

#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/**
 * The racks that are kept clear for large gangs which have waited their bound. Not
 * thread-safe.
 */
class rack_drains
{
public:
  /** aState must outlive the object. */
  rack_drains(round_state& aState, std::vector<rack_reservation> aReservations);

  const std::vector<rack_reservation>& Reservations() const { return mReservations; }

  /** Drops what nobody waits for any more and dates the others anew. */
  void Refresh();

  /** Starts every gang whose rack is ready. */
  void StartReady();

  /** Returns whether a rack is kept for the job. */
  bool IsReservedFor(const std::string& aJob) const;

  /** Returns whether a borrower may be placed in a rack without delaying its gang. */
  bool MayBackfill(size_t aRack, const waiting_job& aJob) const;

  /** Keeps a rack for a gang that has waited its bound, if one may still be kept. */
  void MaybeReserve(const waiting_job& aJob);

  /** Returns the rack that is kept for a job, "" if none is. */
  std::string RackFor(const std::string& aJob) const;

private:
  struct rack_choice
  {
    std::string mRack;
    time_point mFree{};
  };

  const waiting_job* Waiting(const std::string& aJob) const;
  bool TryStart(const waiting_job& aJob, const rack_reservation& aReservation);
  bool MayClear(const waiting_job& aJob,
                const rack_reservation& aReservation,
                const running_gang& aGang) const;
  std::optional<rack_choice> BestRack(const waiting_job& aJob, time_point aSince) const;
  std::optional<time_point> ExpectedFree(size_t aRack,
                                         const waiting_job& aJob,
                                         time_point aSince) const;
  size_t Limit() const;
  size_t RackNamed(const std::string& aName) const;
  const std::string& NameOf(size_t aRack) const;

  round_state& mState;
  std::vector<rack_reservation> mReservations;
};

} // namespace anvildoor
