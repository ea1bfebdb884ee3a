#pragma once

#include "jobs/JobState.h"
#include "planner/DurationModel.h"

namespace anvildoor {

/** What a job can still reach. */
enum class job_outlook
{
  kOnTime,   ///< Its end can still come within its objective.
  kLate,     ///< It can still end while that is worth something.
  kHopeless, ///< Nobody waits for its end any more.
};

/** When the end of a job is on time, and from when on it is worth nothing. */
struct job_deadlines
{
  int64_t mOnTimeMs = 0; ///< Unix time.
  int64_t mLateMs = 0;

  auto operator<=>(const job_deadlines&) const = default;
};

/**
 * Returns the longest chain of expected work in the steps of an occurrence; steps that
 * are done count unless aOnlyLeft. Pure.
 */
duration ChainOf(const job_state& aJob,
                 uint32_t aOccurrence,
                 bool aOnlyLeft,
                 const duration_model& aModel);

/** Returns the deadlines of an occurrence, counted from its due time if it has one. */
job_deadlines DeadlinesOf(const job_state& aJob,
                          uint32_t aOccurrence,
                          const duration_model& aModel);

/**
 * Returns what an occurrence can still reach at aUnixMs. Estimates are rough, so that a
 * chain counts for less than it says. For loads above capacity: work that can no longer
 * be on time must not make the rest late as well.
 */
job_outlook OutlookOf(const job_state& aJob,
                      uint32_t aOccurrence,
                      int64_t aUnixMs,
                      const duration_model& aModel);

} // namespace anvildoor
