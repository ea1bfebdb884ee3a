#include "scheduler/TermHealth.h"

#include <charconv>
#include <utility>

namespace anvildoor {

namespace {

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

std::string EncodeImpairedTerm(const impaired_term& aTerm)
{
  return std::to_string(aTerm.mFence) + " " + ToString(aTerm.mImpairment);
}

std::optional<impaired_term> DecodeImpairedTerm(const std::string& aText)
{
  impaired_term term;
  const auto* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, term.mFence);
  if (parsed.ec != std::errc() || parsed.ptr == end || *parsed.ptr != ' ') {
    return std::nullopt;
  }
  const std::string name(parsed.ptr + 1, end);
  for (const auto each : kImpairments) {
    if (name == ToString(each)) {
      term.mImpairment = each;
      return term;
    }
  }
  return std::nullopt;
}

void term_health::Begin()
{
  *this = term_health();
}

impairment term_health::Observe(const term_observation& aObservation)
{
  const auto judged = Judge(aObservation);
  if (judged == std::exchange(mLast, judged)) {
    mConfirmed = judged;
  }
  return mConfirmed;
}

} // namespace anvildoor
