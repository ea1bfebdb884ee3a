#pragma once

#include <compare>
#include <cstddef>
#include <string>

namespace anvildoor {

/** Result of a job call. */
enum class job_answer
{
  kAccepted,    ///< The call succeeded; a submitted job is stored.
  kNotAccepted, ///< The job is not stored; this call does not cause it to run.
  kOverloaded,  ///< Like kNotAccepted, as too many jobs are open.
  kUnknown,     ///< The store did not answer in time; the job may be stored.
  kNotFound,
  kForbidden,   ///< The job exists; the caller may not do this to it.
  kUnavailable, ///< The call cannot be answered now.
  kUnconfirmed, ///< The cancellation is stored; it is not known to be applied yet.
};

/** Returns the answer's name in logs and metrics. Thread-safe. */
const char* ToString(job_answer aAnswer);

struct job_reply
{
  job_answer mAnswer = job_answer::kUnavailable;
  std::string mState;  ///< Set by State.
  size_t mPending = 0; ///< Set by Pending.

  auto operator<=>(const job_reply&) const = default;
};

} // namespace anvildoor
