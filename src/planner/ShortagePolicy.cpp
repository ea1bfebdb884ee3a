#include "planner/ShortagePolicy.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace anvildoor {

namespace {

constexpr double kMsPerSecond = 1'000.0;
/** Work that a stopped checkpointing task loses; a restore takes 0.1 s. */
constexpr duration kResumeLoss{ 200 };
/** Time until the capacity of a stopped run is free and another run has started. */
constexpr duration kStopTime{ 400 };
/** Lower bound for the slack, so that work without slack is still ranked by size. */
constexpr duration kMinSlack{ 500 };
/** Of its slack, a group spends at most one part in this many on waiting. */
constexpr int kPatienceDivisor = 2;

double ToSeconds(duration aTime)
{
  return static_cast<double>(aTime.count()) / kMsPerSecond;
}

/** Returns the rank within a priority, guarantee and forecast; the least goes first. */
double RankOf(const placement_group& aGroup)
{
  switch (aGroup.mForecast) {
    case completion_forecast::kOnTime:
      return DelayIndex(aGroup);
    case completion_forecast::kLate:
      return ToSeconds(aGroup.mSlack);
    case completion_forecast::kTooLate:
      return 0.0;
  }
  return 0.0;
}

/** Returns whether a group is on time only if it takes less than expected. */
bool IsOutOfSlack(const placement_group& aGroup)
{
  return aGroup.mForecast == completion_forecast::kOnTime &&
         aGroup.mSlack < duration::zero();
}

auto KeyOf(const placement_group& aGroup)
{
  return std::make_tuple(aGroup.mForecast == completion_forecast::kTooLate,
                         aGroup.mPriority,
                         !aGroup.mGuaranteed,
                         aGroup.mForecast,
                         IsOutOfSlack(aGroup),
                         RankOf(aGroup));
}

} // namespace

double DelayIndex(const placement_group& aGroup)
{
  // The root damps the size, so that small work doesn't starve large work.
  return ToSeconds(std::max(aGroup.mSlack, kMinSlack)) * std::sqrt(aGroup.mCoreSeconds);
}

bool OrderForShortage(std::vector<placement_group>& aGroups)
{
  const auto isBefore = [](const placement_group& aLeft,
                           const placement_group& aRight) {
    return KeyOf(aLeft) < KeyOf(aRight);
  };
  if (std::is_sorted(aGroups.begin(), aGroups.end(), isBefore)) {
    return false;
  }
  std::stable_sort(aGroups.begin(), aGroups.end(), isBefore);
  return true;
}

duration PatienceFor(duration aSlack)
{
  return std::clamp(
    (aSlack - kStopTime) / kPatienceDivisor, duration::zero(), kStopTime);
}

double WorkLostBy(const stop_effect& aEffect, double aCores)
{
  const auto lost =
    aEffect.mKeepsWork ? std::min(aEffect.mElapsed, kResumeLoss) : aEffect.mElapsed;
  return ToSeconds(lost) * aCores;
}

double WorkMadeLateBy(const stop_effect& aEffect)
{
  const auto kept = aEffect.mSlackOfRestart + aEffect.mElapsed;
  const auto stopped =
    (aEffect.mKeepsWork ? kept - kResumeLoss : aEffect.mSlackOfRestart) - kStopTime;
  const bool becomesLate = kept >= duration::zero() && stopped < duration::zero();
  return becomesLate ? aEffect.mCoreSeconds : 0.0;
}

} // namespace anvildoor
