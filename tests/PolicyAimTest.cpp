#include "planner/Planner.h"
#include "support/FirstFitPolicy.h"
#include "support/PolicyRun.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

constexpr int kDays = 20;
constexpr double kMaxLargeWaitRatio = 0.5;       ///< Ratio to the baseline's p99.
constexpr double kMaxSmallCompletionRatio = 1.1; ///< Ratio to the baseline's p50.
constexpr double kMaxUrgentStartSeconds = 2.8;

/** Results of the baseline and the planner for the same days of one deployment. */
struct comparison
{
  explicit comparison(policy_workload aWorkload)
  {
    for (int day = 1; day <= kDays; ++day) {
      aWorkload.mSeed = static_cast<uint32_t>(day);
      first_fit_policy baseline;
      planner policy;
      mBaseline.push_back(RunPolicy(baseline, aWorkload));
      mPlanner.push_back(RunPolicy(policy, aWorkload));
    }
  }

  std::vector<policy_result> mBaseline;
  std::vector<policy_result> mPlanner;
};

void CheckLargeWait(const comparison& aRuns)
{
  CHECK(Summarise(aRuns.mPlanner)["large"].mWaitP99 <=
        kMaxLargeWaitRatio * Summarise(aRuns.mBaseline)["large"].mWaitP99);
}

} // namespace

TEST_CASE("small jobs and urgent starts meet their bounds on both deployments")
{
  const auto index = GENERATE(0U, 1U);
  const comparison runs(DeploymentWorkloads()[index]);
  CHECK(Summarise(runs.mPlanner)["small"].mCompletionP50 <=
        kMaxSmallCompletionRatio * Summarise(runs.mBaseline)["small"].mCompletionP50);
  for (const auto& day : runs.mPlanner) {
    CHECK(day.mUrgentStartMaxSeconds <= kMaxUrgentStartSeconds);
    CHECK(day.mUnbackedDecisions == 0);
  }
}

TEST_CASE("large gangs wait at most half as long at p99: gripfjall")
{
  CheckLargeWait(comparison(DeploymentWorkloads()[0]));
}

TEST_CASE("large gangs wait at most half as long at p99: verband", "[known-red]")
{
  CheckLargeWait(comparison(DeploymentWorkloads()[1]));
}
