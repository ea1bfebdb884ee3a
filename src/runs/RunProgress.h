#pragma once

#include "anvildoor/Time.h"

#include <cstdint>
#include <optional>

namespace anvildoor {

/**
 * Estimates the rate of progress of one run from the percentages that its worker
 * reports. A value type; reads no clock.
 */
class run_progress
{
public:
  /**
   * Tracks a run whose start was requested at aNow. aEstimate is its expected total run
   * time, 0 if unknown; reported percentages are whole numbers, so the rate of a longer
   * run is measured over a longer window. aResumes: the run may start above 0 percent.
   */
  explicit run_progress(time_point aNow = time_point(0),
                        duration aEstimate = duration::zero(),
                        bool aResumes = false);

  /** Restarts the measurement at aNow, when the worker confirmed the run. */
  void Begin(time_point aNow);

  /** Records a reported percentage. aNow must not be before the last report. */
  void Report(int64_t aPercent, time_point aNow);

  int64_t Percent() const { return mLastReport.mPercent; }

  /** Returns when the percentage last changed, or when tracking began. */
  time_point ChangedAt() const { return mChangedAt; }

  /** Returns the recent rate in percent per second; nothing with too few reports. */
  std::optional<double> PercentPerSecond() const;

  /**
   * Returns the mean rate in percent per second since the later of aSince and the begin
   * of the measurement; nothing before aMinPercent points of progress. Unlike the
   * recent rate it gets exact with time, but doesn't follow changes.
   */
  std::optional<double> MeanPercentPerSecond(time_point aSince,
                                             int64_t aMinPercent) const;

  /**
   * Returns the time left from aNow at the present rate, at most kMaxTimeLeft; nothing
   * while the rate is unknown.
   */
  std::optional<duration> TimeLeft(time_point aNow) const;

  /** Upper limit of the time left, returned for a run at rate 0. */
  static constexpr duration kMaxTimeLeft{ 3'600'000 };

  auto operator<=>(const run_progress&) const = default;

private:
  struct sample
  {
    int64_t mPercent = 0;
    time_point mAt{ 0 };

    auto operator<=>(const sample&) const = default;
  };

  duration mMinRateWindow{ 0 };
  bool mResumes = false;   ///< The next report sets the starting percentage.
  sample mBegun;           ///< When the measurement began.
  sample mWindowStart;     ///< Start of the current rate window.
  sample mNextWindowStart; ///< Start of the next window; used once long enough.
  sample mLastReport;
  time_point mChangedAt;
};

/**
 * Returns whether a run has made no progress for longer than aLimit. A run at 100
 * percent is never stalled: a gang member waits there for the others. Pure.
 */
bool IsStalled(const run_progress& aProgress, duration aLimit, time_point aNow);

} // namespace anvildoor
