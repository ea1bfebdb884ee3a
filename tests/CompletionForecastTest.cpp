#include "planner/CompletionForecast.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

/** Returns a job accepted at 100 s with steps of 2 s and 3 s beside one of 4 s. */
accepted_job Job(int64_t aFirstDueMs = 0)
{
  accepted_job job;
  job.mId = "00000000000000a1";
  job.mStretch = 2.0;
  job.mObjective = duration(500);
  job.mAcceptedAtMs = 100'000;
  job.mSpec.mRepeats = aFirstDueMs == 0 ? 0 : 3;
  job.mSpec.mFirstDueMs = aFirstDueMs;
  job.mSpec.mIntervalMs = 10'000;
  for (const auto& [estimate, after] :
       { std::pair(2'000, -1), std::pair(3'000, 0), std::pair(4'000, -1) }) {
    step_spec step;
    step.mEstimate = duration(estimate);
    if (after >= 0) {
      step.mDependsOn.push_back(static_cast<uint32_t>(after));
    }
    job.mSpec.mSteps.push_back(step);
  }
  return job;
}

} // namespace

TEST_CASE("the critical path is the longest path through the steps", "[outlook]")
{
  job_state state(Job());
  CHECK(CriticalPathDuration(state, 0, false, duration_model()) == duration(5'000));
  state.Place({ "00000000000000a1", 0, 1, 0 }, 1, "w");
  state.End({ "00000000000000a1", 0, 1, 0 }, 1, run_end::kDone, "");
  CHECK(CriticalPathDuration(state, 0, false, duration_model()) == duration(5'000));
  CHECK(CriticalPathDuration(state, 0, true, duration_model()) == duration(4'000));
}

TEST_CASE("a job is on time, late or too late depending on its remaining path",
          "[outlook]")
{
  struct row
  {
    int64_t mNowMs;
    completion_forecast mForecast;
  };
  // On time until 100 s + 2 x 5 s + 0.5 s and late until three times that span. 0.7 of
  // the critical path of 5 s has to fit.
  const auto [now, forecast] = GENERATE(row{ 100'000, completion_forecast::kOnTime },
                                        row{ 107'000, completion_forecast::kOnTime },
                                        row{ 107'001, completion_forecast::kLate },
                                        row{ 128'000, completion_forecast::kLate },
                                        row{ 128'001, completion_forecast::kTooLate });
  CAPTURE(now);
  CHECK(ForecastCompletion(job_state(Job()), 0, now, duration_model()) == forecast);
}

TEST_CASE("deadlines of an occurrence count from its due time", "[outlook]")
{
  const job_state state(Job(200'000));
  CHECK(DeadlinesOf(state, 0, duration_model()) == job_deadlines{ 210'500, 231'500 });
  CHECK(DeadlinesOf(state, 2, duration_model()) == job_deadlines{ 230'500, 251'500 });
}

TEST_CASE("samples of a queue outweigh the estimate", "[outlook]")
{
  struct row
  {
    int mSamples; // Number of samples of 8 s.
    int64_t mEstimateMs;
    int64_t mAtLeastMs;
    int64_t mAtMostMs;
  };
  const auto [samples, estimate, atLeast, atMost] =
    GENERATE(row{ 0, 1'000, 1'000, 1'000 },
             row{ 4, 1'000, 1'000, 1'000 },
             // An estimate that is off by a factor of 8 changes the result by a factor
             // of about 8^0.2 = 1.5.
             row{ 5, 1'000, 5'000, 8'000 },
             row{ 100, 1'000, 5'000, 8'000 },
             row{ 100, 64'000, 8'000, 13'000 },
             row{ 100, 0, 8'000, 8'000 });
  CAPTURE(samples, estimate);
  duration_model model;
  for (int number = 0; number < samples; ++number) {
    model.Learn("queue", duration(8'000));
  }
  const auto expected = model.ExpectedDuration("queue", duration(estimate));
  CHECK(expected.count() >= atLeast);
  CHECK(expected.count() <= atMost);
  CHECK(model.ExpectedDuration("other", duration(estimate)) == duration(estimate));
}

TEST_CASE("slack is what is left until the forecast gets worse", "[forecast]")
{
  struct row
  {
    int64_t mUnixMs;
    completion_forecast mForecast;
    int64_t mSlackMs;
  };
  const auto [unixMs, forecast, slackMs] =
    GENERATE(row{ 100'000, completion_forecast::kOnTime, 5'500 },
             row{ 106'000, completion_forecast::kOnTime, -500 },
             row{ 113'000, completion_forecast::kLate, 13'500 },
             row{ 200'000, completion_forecast::kTooLate, 0 });
  const job_state job(Job());
  CHECK(SlackOf(job, 0, unixMs, duration_model(), forecast) == duration(slackMs));
}
