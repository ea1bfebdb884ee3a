#include "runs/RunProgress.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

constexpr time_point kStart{ 100'000 };

/** Returns a run that reports every aEvery for aFor, at aPerSecond percent a second. */
run_progress ReportProgress(double aPerSecond,
                            duration aEvery,
                            duration aFor,
                            duration aEstimate)
{
  run_progress progress(kStart, aEstimate);
  for (auto at = aEvery; at <= aFor; at += aEvery) {
    const auto percent = aPerSecond * static_cast<double>(at.count()) / 1'000.0;
    progress.Report(static_cast<int64_t>(percent), kStart + at);
  }
  return progress;
}

} // namespace

TEST_CASE("a run stalls when its percentage does not change within the limit", "[runs]")
{
  struct row
  {
    int64_t mPercent;
    int64_t mUnchangedMs;
    bool mIsStalled;
  };
  const auto [percent, unchanged, isStalled] =
    GENERATE(row{ 0, 3'000, false },
             row{ 0, 5'001, true },
             row{ 40, 5'001, true },
             row{ 40, 4'999, false },
             // A gang member at 100 percent waits for the others.
             row{ 100, 60'000, false });
  run_progress progress(kStart);
  progress.Report(percent, kStart);
  CHECK(IsStalled(progress, duration(5'000), kStart + duration(unchanged)) ==
        isStalled);
}

TEST_CASE("time left follows from the rate once enough reports have arrived", "[runs]")
{
  struct row
  {
    double mPerSecond;
    int64_t mEveryMs; // Interval between reports.
    int64_t mForMs;
    int64_t mEstimateMs;
    bool mIsKnown;
    int64_t mLeftMs; // Checked to within 10%.
  };
  const auto [perSecond, every, lasted, estimate, isKnown, left] =
    GENERATE(row{ 40.0, 1'000, 1'000, 2'500, true, 1'500 },
             row{ 40.0, 300, 1'200, 2'500, true, 1'300 },
             row{ 40.0, 300, 600, 2'500, false, 0 }, // The window is too short.
             row{ 5.0, 1'000, 2'000, 2'500, true, 18'000 },
             row{ 0.0, 1'000, 1'000, 2'500, true, run_progress::kMaxTimeLeft.count() },
             // A one-hour run gains 1% in 36 s, so 10 s give no rate.
             row{ 0.028, 1'000, 10'000, 3'600'000, false, 0 });
  CAPTURE(perSecond, every, lasted, estimate);
  const auto run =
    ReportProgress(perSecond, duration(every), duration(lasted), duration(estimate));
  const auto found = run.TimeLeft(kStart + duration(lasted));
  REQUIRE(found.has_value() == isKnown);
  if (isKnown) {
    CHECK(found->count() >= left * 9 / 10);
    CHECK(found->count() <= left * 11 / 10);
  }
}

TEST_CASE("the rate of a run drops when its worker slows down", "[runs]")
{
  auto run = ReportProgress(10.0, duration(1'000), duration(4'000), duration(10'000));
  run.Report(41, kStart + duration(5'000));
  run.Report(42, kStart + duration(6'000));
  const auto left = run.TimeLeft(kStart + duration(6'000));
  REQUIRE(left);
  CHECK(*left > duration(40'000));
}
