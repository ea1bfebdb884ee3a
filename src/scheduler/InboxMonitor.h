#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "base/Metrics.h"

namespace anvildoor {

/** How the scheduler learns of what has been written to its inbox. */
enum class inbox_source
{
  kTakeover, ///< The list at the beginning of a term.
  kWatch,
  kList, ///< A list, as the watch has lost history, is overdue or has failed.
  kPeer, ///< A notification from the VM that stored a cancellation.
};

/** Returns the name of a source as it is logged. Thread-safe. */
const char* ToString(inbox_source aSource);

/** One answer to a read of the inbox. */
struct inbox_read
{
  inbox_source mSource = inbox_source::kTakeover;
  duration mGap{ 0 }; ///< Time since the answer before, or since the term's begin.

  auto operator<=>(const inbox_read&) const = default;
};

/**
 * Tracks when the scheduler last had an answer to a read of its inbox, and logs
 * silences. Reads no clock; not thread-safe.
 */
class inbox_monitor
{
public:
  /** Age of the last answer from which the inbox counts as silent. */
  static constexpr duration kSilentAfter{ 1'500 };

  /** Both references must outlive the monitor. */
  inbox_monitor(event_log& aLog, metrics& aMetrics)
    : mLog(aLog)
    , mMetrics(aMetrics)
  {
  }

  /** Begins a term at aNow, which counts as the time of the first answer. */
  void Begin(time_point aNow);

  /** Ends the term: sets the gauge to 0. */
  void End();

  /** Records an answer at aNow. Logs the end of a silence. */
  void OnAnswer(inbox_source aSource, time_point aNow);

  /** Sets the gauge inbox_age_seconds; logs a silence once, when it is noticed. */
  void Check(time_point aNow);

  /** Returns the time of the last answer. */
  time_point AnsweredAt() const { return mAnsweredAt; }

  /** Returns the last answer; at the beginning of a term, its default. */
  const inbox_read& LastRead() const { return mLastRead; }

private:
  event_log& mLog;
  metrics& mMetrics;
  inbox_read mLastRead;
  time_point mAnsweredAt{ 0 };
  bool mIsSilent = false;
};

} // namespace anvildoor
