#pragma once

namespace anvildoor {

/** How far a scheduler has got with a cancellation. */
enum class cancel_progress
{
  kNotApplied, ///< This VM does not schedule the job, or not yet.
  kApplied,    ///< A worker that may have a run of the job has not answered its stop.
  kSettled,    ///< No worker has a run of the job that it wasn't told to stop.
};

} // namespace anvildoor
