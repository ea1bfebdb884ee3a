#include "runs/RunProgress.h"

#include <algorithm>
#include <cassert>

namespace anvildoor {

namespace {

constexpr int64_t kAll = 100;
constexpr double kMsPerSecond = 1'000.0;
/** Shortest window for a rate: about one report interval of a worker. */
constexpr duration kLeastSpan{ 700 };
/**
 * The window is at least the estimate divided by this. A run gains eight percentage
 * points in that time, which limits the error from whole percentages.
 */
constexpr int kSpanPerEstimate = 12;

} // namespace

run_progress::run_progress(time_point aNow, duration aEstimate, bool aResumes)
  : mLeastSpan(std::max(kLeastSpan, aEstimate / kSpanPerEstimate))
  , mResumes(aResumes)
{
  Begin(aNow);
}

void run_progress::Begin(time_point aNow)
{
  mBase = { 0, aNow };
  mMark = mBase;
  mLast = mBase;
  mChangedAt = aNow;
}

void run_progress::Report(int64_t aPercent, time_point aNow)
{
  assert(aNow >= mLast.mAt);
  if (aPercent != mLast.mPercent) {
    mChangedAt = aNow;
  }
  mLast = { aPercent, aNow };
  if (mResumes) {
    mResumes = false;
    mBase = mLast;
    mMark = mLast;
    return;
  }
  if (aNow - mMark.mAt >= mLeastSpan) {
    mBase = mMark;
    mMark = mLast;
  }
}

std::optional<double> run_progress::Rate() const
{
  const auto span = mLast.mAt - mBase.mAt;
  if (span < mLeastSpan) {
    return std::nullopt;
  }
  const auto gained = static_cast<double>(mLast.mPercent - mBase.mPercent);
  return std::max(0.0, gained * kMsPerSecond / static_cast<double>(span.count()));
}

std::optional<duration> run_progress::Left(time_point aNow) const
{
  const auto rate = Rate();
  if (!rate) {
    return std::nullopt;
  }
  const auto percent = static_cast<double>(std::max<int64_t>(0, kAll - Percent()));
  const double ms =
    *rate > 0.0 ? percent * kMsPerSecond / *rate : static_cast<double>(kNever.count());
  const auto whole = std::min(ms, static_cast<double>(kNever.count()));
  return std::max(duration::zero(),
                  duration(static_cast<int64_t>(whole)) - (aNow - mLast.mAt));
}

bool StandsStill(const run_progress& aProgress, duration aLimit, time_point aNow)
{
  return aProgress.Percent() < kAll && aNow - aProgress.ChangedAt() > aLimit;
}

} // namespace anvildoor
