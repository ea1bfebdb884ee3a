#include "planner/WorkerPace.h"

#include <algorithm>
#include <cmath>

namespace anvildoor {

namespace {

/** Variance of the log pace of a worker of which nothing is known: a factor of 1.6. */
constexpr double kPriorVariance = 0.25;
/** Estimates with a smaller variance are used. */
constexpr double kKnownVariance = 0.07;
/** Lower bound, so that an estimate goes on following its worker. */
constexpr double kMinVariance = 0.005;
/** Growth of the variance with each run, as paces change. */
constexpr double kDriftVariance = 0.005;
/** Variance of the log rates of runs of one step on equal workers. */
constexpr double kGangVariance = 0.02;
constexpr double kSingleVariance = 0.2;
/**
 * A single task may have several times the work of its siblings; the estimate moves by
 * at most this much towards it.
 */
constexpr double kMaxSingleSurprise = 0.5;
/** A gang that deviates by more shows that its worker's pace has changed. */
constexpr double kGangSurprise = 0.6;
/** Added variance of a worker that has started again. */
constexpr double kNewLifeVariance = 0.1;
/** A worker is slow or quick if its pace differs from the median by this factor. */
constexpr double kClassFactor = 1.25;

bool IsKnown(const pace_estimate& aEstimate)
{
  return aEstimate.mVariance < kKnownVariance;
}

pace_class ClassOfPace(double aPace)
{
  if (aPace < 1.0 / kClassFactor) {
    return pace_class::kSlow;
  }
  return aPace > kClassFactor ? pace_class::kQuick : pace_class::kUsual;
}

} // namespace

const char* ToString(pace_class aClass)
{
  switch (aClass) {
    case pace_class::kSlow:
      return "slow";
    case pace_class::kUsual:
      return "usual";
    case pace_class::kQuick:
      return "quick";
  }
  return "?";
}

void worker_pace_model::Observe(const task_ref& aTask,
                                bool aIsGang,
                                uint32_t aRun,
                                const std::string& aWorker,
                                double aRate)
{
  if (!std::isfinite(aRate) || aRate <= 0.0) {
    return;
  }
  const step_key key{ { aTask.mJob, aTask.mOccurrence, aTask.mStep, 0 },
                      aIsGang ? aRun : 0 };
  auto& samples = mSteps[key];
  if (!samples.emplace(aWorker, sample{ std::log(aRate) }).second) {
    return;
  }
  const auto noise = aIsGang ? kGangVariance : kSingleVariance;
  // The rate of the step on a worker of the usual pace, as all samples show it.
  double weights = 0.0;
  double sum = 0.0;
  const auto weightOf = [&](const std::string& aId) {
    const auto known = mWorkers.find(aId);
    return 1.0 / (noise +
                  (known == mWorkers.end() ? kPriorVariance : known->second.mVariance));
  };
  const auto stepRate = [&](const std::string& aId, const sample& aSample) {
    const auto known = mWorkers.find(aId);
    return aSample.mLogRate - (known == mWorkers.end() ? 0.0 : known->second.mLogPace);
  };
  for (const auto& [id, each] : samples) {
    weights += weightOf(id);
    sum += weightOf(id) * stepRate(id, each);
  }
  if (samples.size() < 2) {
    return;
  }
  struct update
  {
    std::string mWorker;
    double mLogPace;
    double mVariance;
  };
  std::vector<update> updates;
  for (auto& [id, each] : samples) {
    if (each.mIsApplied) {
      continue;
    }
    each.mIsApplied = true;
    const auto othersWeight = weights - weightOf(id);
    const auto others = (sum - weightOf(id) * stepRate(id, each)) / othersWeight;
    updates.push_back({ id, each.mLogRate - others, noise + 1.0 / othersWeight });
  }
  for (const auto& each : updates) {
    Apply(each.mWorker, each.mLogPace, each.mVariance, aIsGang);
  }
  Summarise();
}

void worker_pace_model::Apply(const std::string& aWorker,
                              double aLogPace,
                              double aVariance,
                              bool aIsGang)
{
  auto& estimate =
    mWorkers.emplace(aWorker, pace_estimate{ 0.0, kPriorVariance }).first->second;
  auto surprise = aLogPace - estimate.mLogPace;
  auto variance = estimate.mVariance + kDriftVariance;
  if (aIsGang && std::abs(surprise) > kGangSurprise) {
    variance += surprise * surprise / 2.0;
  } else if (!aIsGang) {
    surprise = std::clamp(surprise, -kMaxSingleSurprise, kMaxSingleSurprise);
  }
  const auto gain = variance / (variance + aVariance);
  estimate.mLogPace += gain * surprise;
  estimate.mVariance = std::max(kMinVariance, (1.0 - gain) * variance);
}

void worker_pace_model::Summarise()
{
  std::vector<double> known;
  for (const auto& [id, estimate] : mWorkers) {
    if (IsKnown(estimate)) {
      known.push_back(estimate.mLogPace);
    }
  }
  mIsUneven = false;
  mTypicalPaces.clear();
  if (known.empty()) {
    return;
  }
  const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::nth_element(known.begin(), middle, known.end());
  mMedian = *middle;
  std::map<pace_class, std::pair<double, int>> sums;
  for (const auto logPace : known) {
    auto& [sum, count] = sums[ClassOfPace(std::exp(logPace - mMedian))];
    sum += std::exp(logPace - mMedian);
    ++count;
  }
  for (const auto& [paceClass, total] : sums) {
    mTypicalPaces[paceClass] = total.first / total.second;
    mIsUneven = mIsUneven || paceClass != pace_class::kUsual;
  }
}

double worker_pace_model::PaceOf(const std::string& aWorker) const
{
  const auto found = mWorkers.find(aWorker);
  if (found == mWorkers.end() || !IsKnown(found->second)) {
    return 1.0;
  }
  const auto pace = std::exp(found->second.mLogPace - mMedian);
  return ClassOfPace(pace) == pace_class::kUsual ? 1.0 : pace;
}

pace_class worker_pace_model::ClassOf(const std::string& aWorker) const
{
  return ClassOfPace(PaceOf(aWorker));
}

double worker_pace_model::TypicalPace(pace_class aClass) const
{
  const auto found = mTypicalPaces.find(aClass);
  return found == mTypicalPaces.end() ? 1.0 : found->second;
}

void worker_pace_model::OnNewLife(const std::string& aWorker)
{
  const auto found = mWorkers.find(aWorker);
  if (found != mWorkers.end()) {
    found->second.mVariance =
      std::min(kPriorVariance, found->second.mVariance + kNewLifeVariance);
  }
}

void worker_pace_model::ForgetJob(const std::string& aJob)
{
  const auto first = mSteps.lower_bound({ { aJob, 0, 0, 0 }, 0 });
  auto last = first;
  while (last != mSteps.end() && last->first.first.mJob == aJob) {
    ++last;
  }
  mSteps.erase(first, last);
}

void worker_pace_model::Adopt(const std::map<std::string, pace_estimate>& aEstimates)
{
  mWorkers.insert(aEstimates.begin(), aEstimates.end());
  Summarise();
}

} // namespace anvildoor
