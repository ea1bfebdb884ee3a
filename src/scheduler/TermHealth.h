#pragma once

#include "base/EventLoop.h"

#include <cstddef>
#include <optional>
#include <string>

namespace anvildoor {

/** A part of the scheduler's work that its VM can't do. */
enum class impairment
{
  kNone,
  kReads,   ///< It can't read its inbox or the list of the workers.
  kWorkers, ///< It reaches less than half of the workers.
};

/** Returns the name of an impairment as it is logged and stored. Thread-safe. */
const char* ToString(impairment aImpairment);

/** How many of the listed workers, or of a sample of them, a VM reaches. */
struct worker_reach
{
  uint64_t mListed = 0;
  uint64_t mReached = 0; ///< At most mListed.

  /** Returns whether half of the workers or more are reached; false without workers. */
  bool IsSufficient() const { return mListed > 0 && 2 * mReached >= mListed; }

  /**
   * Returns whether this reach is sufficient and greater than aOther by a quarter of
   * the workers or more, so that a sample of them shows it.
   */
  bool IsClearlyBetterThan(const worker_reach& aOther) const;

  auto operator<=>(const worker_reach&) const = default;
};

/** What the store says of a term whose scheduler can't do a part of its work. */
struct impaired_term
{
  uint64_t mFence = 0; ///< The term's fencing token.
  impairment mImpairment = impairment::kNone;
  worker_reach mReach; ///< Of the scheduler's VM.
  uint64_t mLease = 0; ///< The term's lease at the store.

  auto operator<=>(const impaired_term&) const = default;
};

/** Encodes an impaired term for the store. Thread-safe. */
std::string EncodeImpairedTerm(const impaired_term& aTerm);

/** Decodes an impaired term; returns nothing if aText is malformed. Thread-safe. */
std::optional<impaired_term> DecodeImpairedTerm(const std::string& aText);

/** What a scheduler's VM has observed of its own work. */
struct term_observation
{
  duration mInboxAge{ 0 }; ///< Time since the last answer to a read of the inbox.
  duration mListAge{ 0 };  ///< Time since the last answer to a list of the workers.
  worker_reach mReach;

  auto operator<=>(const term_observation&) const = default;
};

/**
 * Judges from regular observations whether the VM of a scheduler can do its work. A
 * single observation shows no impairment, as a process that stood still sees old
 * answers only; a single sound one ends it. Reads no clock; not thread-safe.
 */
class term_health
{
public:
  /** Forgets all observations. */
  void Begin();

  /** Takes one observation and returns the impairment that is shown by now. */
  impairment Observe(const term_observation& aObservation);

  /** Returns the impairment that the observations so far have shown. */
  impairment Current() const { return mConfirmed; }

private:
  impairment mLast = impairment::kNone;
  impairment mConfirmed = impairment::kNone;
};

} // namespace anvildoor
