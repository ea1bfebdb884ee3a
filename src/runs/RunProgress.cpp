#include "runs/RunProgress.h"

#include <algorithm>
#include <cassert>

namespace anvildoor {

namespace {

constexpr int64_t kCompletePercent = 100;
constexpr double kMsPerSecond = 1'000.0;
/** Shortest window for a rate: about one report interval of a worker. */
constexpr duration kMinRateWindow{ 700 };
/**
 * Divisor of the estimate that gives the shortest window for longer runs. A run gains
 * eight percentage points in that time, which limits the error from whole percentages.
 */
constexpr int kRateWindowsPerEstimate = 12;

} // namespace

run_progress::run_progress(time_point aNow, duration aEstimate, bool aResumes)
  : mMinRateWindow(std::max(kMinRateWindow, aEstimate / kRateWindowsPerEstimate))
  , mResumes(aResumes)
{
  Begin(aNow);
}

void run_progress::Begin(time_point aNow)
{
  mBegun = { 0, aNow };
  mWindowStart = mBegun;
  mNextWindowStart = mWindowStart;
  mLastReport = mWindowStart;
  mChangedAt = aNow;
}

void run_progress::Report(int64_t aPercent, time_point aNow)
{
  assert(aNow >= mLastReport.mAt);
  if (aPercent != mLastReport.mPercent) {
    mChangedAt = aNow;
  }
  mLastReport = { aPercent, aNow };
  if (mResumes) {
    mResumes = false;
    mBegun = mLastReport;
    mWindowStart = mLastReport;
    mNextWindowStart = mLastReport;
    return;
  }
  if (aNow - mNextWindowStart.mAt >= mMinRateWindow) {
    mWindowStart = mNextWindowStart;
    mNextWindowStart = mLastReport;
  }
}

std::optional<double> run_progress::PercentPerSecond() const
{
  const auto span = mLastReport.mAt - mWindowStart.mAt;
  if (span < mMinRateWindow) {
    return std::nullopt;
  }
  const auto gained = static_cast<double>(mLastReport.mPercent - mWindowStart.mPercent);
  return std::max(0.0, gained * kMsPerSecond / static_cast<double>(span.count()));
}

std::optional<double> run_progress::MeanPercentPerSecond(time_point aSince,
                                                         int64_t aMinPercent) const
{
  const auto span = mLastReport.mAt - std::max(aSince, mBegun.mAt);
  const auto gained = mLastReport.mPercent - mBegun.mPercent;
  if (span < kMinRateWindow || gained < std::max<int64_t>(1, aMinPercent)) {
    return std::nullopt;
  }
  return static_cast<double>(gained) * kMsPerSecond / static_cast<double>(span.count());
}

std::optional<duration> run_progress::TimeLeft(time_point aNow) const
{
  const auto rate = PercentPerSecond();
  if (!rate) {
    return std::nullopt;
  }
  const auto percent =
    static_cast<double>(std::max<int64_t>(0, kCompletePercent - Percent()));
  const double ms = *rate > 0.0 ? percent * kMsPerSecond / *rate
                                : static_cast<double>(kMaxTimeLeft.count());
  const auto cappedMs = std::min(ms, static_cast<double>(kMaxTimeLeft.count()));
  return std::max(duration::zero(),
                  duration(static_cast<int64_t>(cappedMs)) - (aNow - mLastReport.mAt));
}

bool IsStalled(const run_progress& aProgress, duration aLimit, time_point aNow)
{
  return aProgress.Percent() < kCompletePercent &&
         aNow - aProgress.ChangedAt() > aLimit;
}

} // namespace anvildoor
