#include "planner/WorkerPace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvildoor {

namespace {

/** Variance of the log pace of a worker of which nothing is known: a factor of 1.6. */
constexpr double kPriorVariance = 0.25;
/** Estimates with a smaller variance are used. */
constexpr double kKnownVariance = 0.07;
/** Lower bound, so that an estimate goes on following its worker. */
constexpr double kMinVariance = 0.005;
/** Variance of a worker that has started again; below kKnownVariance. */
constexpr double kNewLifeVariance = 0.06;
/** Growth of the variance with each comparison, as paces change. */
constexpr double kGangDrift = 0.005;
constexpr double kSingleDrift = 0.0005;
/** Variance of the log rates of runs of one step on equal workers. */
constexpr double kGangNoise = 0.005;
constexpr double kSingleNoise = 0.35;
/**
 * A single task may have several times the work of its siblings; the estimate moves by
 * at most this much towards it.
 */
constexpr double kMaxSingleSurprise = 0.5;
/** A gang that deviates by more standard deviations shows that a pace has changed. */
constexpr double kMaxDeviations = 3.0;
/** Single tasks are compared once so many of their step are known. */
constexpr uint32_t kMinSingles = 4;
/** Bound on the log pace, so that no sample makes an estimate useless. */
const double kMaxLogPace = std::log(8.0);
/** A worker is slow or quick if its pace differs from the median by this factor. */
const double kClassDistance = std::log(1.25);
/** It stays so until it differs by less than this one. */
const double kClassExit = std::log(1.15);
/** The median of fewer workers than about these is drawn towards the prior mean. */
constexpr double kMedianPrior = 20.0;
/** Bound on the steps that are remembered; the oldest are forgotten first. */
constexpr size_t kMaxSteps = 4'096;

bool IsKnown(const pace_estimate& aEstimate)
{
  return aEstimate.mVariance < kKnownVariance;
}

/** Returns the class of a worker whose log pace is aDistance from the median. */
pace_class Classify(double aDistance, double aNoise, pace_class aFormer)
{
  const auto towards = aDistance < 0.0 ? pace_class::kSlow : pace_class::kQuick;
  const auto needed = towards == aFormer
                        ? kClassExit
                        : std::max(kClassDistance, kMaxDeviations * std::sqrt(aNoise));
  return std::abs(aDistance) > needed ? towards : pace_class::kUsual;
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

void worker_pace_model::Observe(const pace_sample& aSample)
{
  const bool isUsable = std::isfinite(aSample.mRate) && aSample.mRate > 0.0;
  const auto wanted = aSample.mGang ? aSample.mTasks : kMinSingles;
  if (!isUsable || aSample.mTasks < std::max(2U, aSample.mGang ? 0U : kMinSingles)) {
    return;
  }
  const auto& task = aSample.mTask;
  const step_key key{ { task.mJob, task.mOccurrence, task.mStep, 0 },
                      aSample.mGang ? aSample.mRun : 0 };
  const auto [found, isNew] = mSteps.try_emplace(key);
  auto& step = found->second;
  if (isNew) {
    mStepOrder.push_back(key);
  }
  auto& rate = step.mRates[aSample.mWorker];
  rate.mLogRate = (rate.mLogRate * rate.mTasks + std::log(aSample.mRate)) /
                  static_cast<double>(rate.mTasks + 1);
  ++rate.mTasks;
  ++step.mPending;
  if (step.mPending >= wanted || step.mWeights > 0.0) {
    Compare(step, aSample.mGang);
  }
  BoundSteps();
}

pace_estimate worker_pace_model::EstimateOf(const std::string& aWorker) const
{
  const auto found = mWorkers.find(aWorker);
  return found == mWorkers.end() ? pace_estimate{ 0.0, kPriorVariance, 0.0 }
                                 : found->second.mEstimate;
}

void worker_pace_model::Compare(step& aStep, bool aIsGang)
{
  const auto noise = aIsGang ? kGangNoise : kSingleNoise;
  struct weighed
  {
    double mWeight;
    double mStepRate; ///< The rate of the step on a worker of the usual pace.
    double mNoise;
  };
  std::map<std::string, weighed> all;
  double weights = aStep.mWeights;
  double sum = aStep.mSum;
  for (const auto& [id, rate] : aStep.mRates) {
    const auto estimate = EstimateOf(id);
    const auto ownNoise = noise / rate.mTasks;
    const weighed each{ 1.0 / (ownNoise + estimate.mVariance),
                        rate.mLogRate - estimate.mLogPace,
                        ownNoise };
    all.emplace(id, each);
    weights += each.mWeight;
    sum += each.mWeight * each.mStepRate;
  }
  std::vector<comparison> seen;
  for (const auto& [id, each] : all) {
    const auto othersWeight = weights - each.mWeight;
    if (all.size() > 1 || aStep.mWeights > 0.0) {
      const auto others = (sum - each.mWeight * each.mStepRate) / othersWeight;
      seen.push_back({ id,
                       aStep.mRates.at(id).mLogRate - others,
                       each.mNoise,
                       1.0 / othersWeight,
                       aIsGang });
    }
  }
  std::for_each(seen.begin(), seen.end(), [this](const auto& aSeen) { Apply(aSeen); });
  if (!aIsGang) {
    aStep.mWeights = weights;
    aStep.mSum = sum;
  }
  aStep.mRates.clear();
  aStep.mPending = 0;
  mIsStale = true;
}

void worker_pace_model::Apply(const comparison& aSeen)
{
  auto& estimate =
    mWorkers.try_emplace(aSeen.mWorker, worker{ EstimateOf(aSeen.mWorker) })
      .first->second.mEstimate;
  const auto variance = aSeen.mNoise + aSeen.mReferenceVariance;
  auto surprise = aSeen.mLogPace - estimate.mLogPace;
  auto prior = estimate.mVariance + (aSeen.mGang ? kGangDrift : kSingleDrift);
  if (!aSeen.mGang) {
    surprise = std::clamp(surprise, -kMaxSingleSurprise, kMaxSingleSurprise);
  } else if (std::abs(surprise) > kMaxDeviations * std::sqrt(prior + variance)) {
    prior += surprise * surprise;
  }
  const auto gain = prior / (prior + variance);
  estimate.mLogPace =
    std::clamp(estimate.mLogPace + gain * surprise, -kMaxLogPace, kMaxLogPace);
  estimate.mVariance = std::max(kMinVariance, (1.0 - gain) * prior);
  estimate.mNoise =
    (1.0 - gain) * (1.0 - gain) * estimate.mNoise + gain * gain * aSeen.mNoise;
}

void worker_pace_model::BoundSteps()
{
  while (mStepOrder.size() > kMaxSteps) {
    mSteps.erase(mStepOrder.front());
    mStepOrder.pop_front();
  }
}

std::vector<pace_change> worker_pace_model::Update()
{
  std::vector<pace_change> changes;
  if (!std::exchange(mIsStale, false)) {
    return changes;
  }
  std::vector<double> known;
  for (const auto& [id, worker] : mWorkers) {
    if (IsKnown(worker.mEstimate)) {
      known.push_back(worker.mEstimate.mLogPace);
    }
  }
  double median = 0.0;
  if (!known.empty()) {
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    const auto count = static_cast<double>(known.size());
    median = *middle * count / (count + kMedianPrior);
  }
  mClasses.clear();
  for (auto& [id, worker] : mWorkers) {
    const auto former = worker.mClass;
    const auto& estimate = worker.mEstimate;
    const auto distance =
      std::clamp(estimate.mLogPace - median, -kMaxLogPace, kMaxLogPace);
    worker.mClass = IsKnown(estimate) ? Classify(distance, estimate.mNoise, former)
                                      : pace_class::kUsual;
    worker.mPace = worker.mClass == pace_class::kUsual ? 1.0 : std::exp(distance);
    if (IsKnown(estimate)) {
      auto& [count, mean] = mClasses[worker.mClass];
      ++count;
      mean += (std::exp(distance) - mean) / static_cast<double>(count);
    }
    if (worker.mClass != former) {
      changes.push_back({ id, former, worker.mClass, worker.mPace });
    }
  }
  return changes;
}

double worker_pace_model::PaceOf(const std::string& aWorker) const
{
  const auto found = mWorkers.find(aWorker);
  return found == mWorkers.end() ? 1.0 : found->second.mPace;
}

pace_class worker_pace_model::ClassOf(const std::string& aWorker) const
{
  const auto found = mWorkers.find(aWorker);
  return found == mWorkers.end() ? pace_class::kUsual : found->second.mClass;
}

double worker_pace_model::TypicalPace(pace_class aClass) const
{
  const auto found = mClasses.find(aClass);
  return found == mClasses.end() ? 1.0 : found->second.second;
}

size_t worker_pace_model::Count(pace_class aClass) const
{
  const auto found = mClasses.find(aClass);
  return found == mClasses.end() ? 0 : found->second.first;
}

void worker_pace_model::OnNewLife(const std::string& aWorker)
{
  const auto found = mWorkers.find(aWorker);
  if (found != mWorkers.end()) {
    auto& variance = found->second.mEstimate.mVariance;
    variance = std::max(variance, kNewLifeVariance);
  }
}

void worker_pace_model::ForgetJob(const std::string& aJob)
{
  auto step = mSteps.lower_bound({ { aJob, 0, 0, 0 }, 0 });
  while (step != mSteps.end() && step->first.first.mJob == aJob) {
    if (step->second.mRates.size() > 1) {
      // Some members of a gang have ended before they could be measured.
      Compare(step->second, step->first.second != 0);
    }
    step = mSteps.erase(step);
  }
}

std::map<std::string, pace_estimate> worker_pace_model::Known() const
{
  std::map<std::string, pace_estimate> known;
  for (const auto& [id, worker] : mWorkers) {
    if (IsKnown(worker.mEstimate)) {
      known.emplace(id, worker.mEstimate);
    }
  }
  return known;
}

void worker_pace_model::Adopt(const std::map<std::string, pace_estimate>& aEstimates)
{
  for (const auto& [id, estimate] : aEstimates) {
    mWorkers.try_emplace(id, worker{ estimate });
  }
  mIsStale = true;
}

} // namespace anvildoor
