#include "planner/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace anvildoor {

namespace {

constexpr duration kDefaultRunTime = std::chrono::hours(1);
constexpr double kLearningRate = 0.2;
constexpr double kMaxLogRatio = 4.6; // Limits the correction to 100 times or 1/100.

duration DeclaredOrDefault(duration aDeclared)
{
  return aDeclared.count() > 0 ? aDeclared : kDefaultRunTime;
}

} // namespace

duration run_time_estimator::ExpectedRunTime(const std::string& aWorkspace,
                                             work_class aClass,
                                             duration aDeclared) const
{
  const auto found = mLogRatio.find({ aWorkspace, aClass });
  const double ratio = found == mLogRatio.end() ? 1.0 : std::exp(found->second);
  const auto base = static_cast<double>(DeclaredOrDefault(aDeclared).count());
  return duration(static_cast<int64_t>(base * ratio));
}

void run_time_estimator::Learn(const std::string& aWorkspace,
                               work_class aClass,
                               duration aDeclared,
                               duration aActual)
{
  const auto actual = static_cast<double>(std::max<int64_t>(1, aActual.count()));
  const auto declared = static_cast<double>(DeclaredOrDefault(aDeclared).count());
  const double observed =
    std::clamp(std::log(actual / declared), -kMaxLogRatio, kMaxLogRatio);
  auto& ratio = mLogRatio.try_emplace({ aWorkspace, aClass }, 0.0).first->second;
  ratio += kLearningRate * (observed - ratio);
}

} // namespace anvildoor
