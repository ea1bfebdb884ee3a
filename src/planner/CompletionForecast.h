#pragma once

#include "jobs/JobState.h"
#include "planner/DurationModel.h"

namespace anvildoor {

/** The expected completion of a job relative to its deadlines. */
enum class completion_forecast
{
  kOnTime,  ///< Can complete within its objective.
  kLate,    ///< Misses its objective but still has value.
  kTooLate, ///< Completes too late to have any value.
};

/** Deadlines of a job, in Unix time. */
struct job_deadlines
{
  int64_t mOnTimeUntilMs = 0; ///< Latest completion within the objective.
  int64_t mLateUntilMs = 0;   ///< After this, completion has no value.

  auto operator<=>(const job_deadlines&) const = default;
};

/**
 * Returns the expected duration of the critical path through the steps of an
 * occurrence. If aOnlyRemaining is set, completed steps count as zero. Pure.
 */
duration CriticalPathDuration(const job_state& aJob,
                              uint32_t aOccurrence,
                              bool aOnlyRemaining,
                              const duration_model& aModel);

/** Returns deadlines counted from the due time or, without one, from acceptance. */
job_deadlines DeadlinesOf(const job_state& aJob,
                          uint32_t aOccurrence,
                          const duration_model& aModel);

/**
 * Forecasts the completion of an occurrence at aUnixMs. Because estimates are rough,
 * the remaining critical path is shortened by a safety factor. Under overload, the
 * forecast keeps work that can no longer be on time from delaying the rest.
 */
completion_forecast ForecastCompletion(const job_state& aJob,
                                       uint32_t aOccurrence,
                                       int64_t aUnixMs,
                                       const duration_model& aModel);

/**
 * Returns how long an occurrence at aUnixMs can still wait until it is late or, if
 * aForecast says that it is late already, until it has no value. Zero if it has none,
 * negative if it is only on time should it take less than expected. Pure.
 */
duration SlackOf(const job_state& aJob,
                 uint32_t aOccurrence,
                 int64_t aUnixMs,
                 const duration_model& aModel,
                 completion_forecast aForecast);

/**
 * Returns the pace, relative to a usual worker, at which the rest of an occurrence is
 * completed just in time if it starts at aUnixMs; infinite if it is late already. Pure.
 */
double RequiredPace(const job_state& aJob,
                    uint32_t aOccurrence,
                    int64_t aUnixMs,
                    const duration_model& aModel);

} // namespace anvildoor
