#pragma once

#include "anvildoor/Time.h"

#include <cstdint>
#include <optional>

namespace anvildoor {

/**
 * How fast one run gets on, by the percentages that its worker reports. Values; pure:
 * times are arguments.
 */
class run_progress
{
public:
  /**
   * Begins with a run that was ordered at aNow. aEstimate: of its whole time; 0: none.
   * Percentages are whole, so that the rate of a longer run is measured over a longer
   * time. aResumes: it may have done some of its work before.
   */
  explicit run_progress(time_point aNow = time_point(0),
                        duration aEstimate = duration::zero(),
                        bool aResumes = false);

  /** Notes that the work begins at aNow, and not when it was ordered. */
  void Begin(time_point aNow);

  /** Takes a report of aPercent. aNow must not lie before the last report. */
  void Report(int64_t aPercent, time_point aNow);

  int64_t Percent() const { return mLast.mPercent; }

  /** Returns when the percentage last changed, or when the run was ordered. */
  time_point ChangedAt() const { return mChangedAt; }

  /** Returns the percent done a second, lately; nothing while reports are too few. */
  std::optional<double> Rate() const;

  /**
   * Returns how long the run still takes from aNow on at its present rate, at most
   * kNever; nothing while the rate is not known.
   */
  std::optional<duration> Left(time_point aNow) const;

  /** What Left returns for a run that does not get on. */
  static constexpr duration kNever{ 3'600'000 };

  auto operator<=>(const run_progress&) const = default;

private:
  struct sample
  {
    int64_t mPercent = 0;
    time_point mAt{ 0 };

    auto operator<=>(const sample&) const = default;
  };

  duration mLeastSpan{ 0 };
  bool mResumes = false; ///< The first report tells where it began.
  sample mBase;          ///< Where the rate is measured from.
  sample mMark;          ///< Becomes the base once it is old enough.
  sample mLast;
  time_point mChangedAt;
};

/**
 * Returns whether a run has made no progress for longer than aLimit. A member of a gang
 * at 100 percent waits for the others and stands still by rights. Pure.
 */
bool StandsStill(const run_progress& aProgress, duration aLimit, time_point aNow);

} // namespace anvildoor
