#include "scheduler/TermHealth.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace anvildoor {

namespace {

using nlohmann::json;

/**
 * Age of the last answer to a read from which the VM counts as unable to read. Short
 * disturbances, in which the runs are held, are not worth a change of the term.
 */
constexpr duration kMaxReadAge{ 6'000 };

constexpr impairment kImpairments[] = { impairment::kNone,
                                        impairment::kReads,
                                        impairment::kWorkers };

impairment Judge(const term_observation& aObservation)
{
  if (aObservation.mInboxAge > kMaxReadAge || aObservation.mListAge > kMaxReadAge) {
    return impairment::kReads;
  }
  const auto& reach = aObservation.mReach;
  return reach.mListed == 0 || reach.IsSufficient() ? impairment::kNone
                                                    : impairment::kWorkers;
}

} // namespace

const char* ToString(impairment aImpairment)
{
  static constexpr const char* kNames[] = { "none", "reads", "workers" };
  return kNames[static_cast<size_t>(aImpairment)];
}

bool worker_reach::IsClearlyBetterThan(const worker_reach& aOther) const
{
  const auto share = [](const worker_reach& aReach) {
    return aReach.mListed == 0 ? 0.0
                               : static_cast<double>(aReach.mReached) /
                                   static_cast<double>(aReach.mListed);
  };
  constexpr double kClearly = 0.25;
  return IsSufficient() && share(*this) >= share(aOther) + kClearly;
}

std::string EncodeImpairedTerm(const impaired_term& aTerm)
{
  return json{
    { "fence", aTerm.mFence },
    { "impairment", ToString(aTerm.mImpairment) },
    { "listed", aTerm.mReach.mListed },
    { "reached", aTerm.mReach.mReached },
    { "lease", aTerm.mLease }
  }.dump();
}

std::optional<impaired_term> DecodeImpairedTerm(const std::string& aText)
{
  const auto text = json::parse(aText, nullptr, false);
  const auto hasNumber = [&](const char* aName) {
    return text.contains(aName) && text[aName].is_number_unsigned();
  };
  if (!text.is_object() || !hasNumber("fence") || !hasNumber("listed") ||
      !hasNumber("reached") || !hasNumber("lease") || !text.contains("impairment")) {
    return std::nullopt;
  }
  const auto found =
    std::find_if(std::begin(kImpairments), std::end(kImpairments), [&](auto aEach) {
      return text["impairment"] == ToString(aEach);
    });
  if (found == std::end(kImpairments)) {
    return std::nullopt;
  }
  return impaired_term{ text["fence"].get<uint64_t>(),
                        *found,
                        { text["listed"].get<uint64_t>(),
                          text["reached"].get<uint64_t>() },
                        text["lease"].get<uint64_t>() };
}

void term_health::Begin()
{
  *this = term_health();
}

impairment term_health::Observe(const term_observation& aObservation)
{
  const auto judged = Judge(aObservation);
  const bool isRepeated = judged == std::exchange(mLast, judged);
  if (isRepeated || judged == impairment::kNone) {
    mConfirmed = judged;
  }
  return mConfirmed;
}

} // namespace anvildoor
