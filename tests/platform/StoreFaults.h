#pragma once

#include "base/EventLoop.h"
#include "http/SingleThreadServer.h"
#include "store/TransactionStore.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace anvildoor {

/** Kinds of calls to the store that a fault can be limited to. */
enum class store_call_kind
{
  kAny,
  kWatch,
  kList,
  kGet,
  kCommit,
  kGrant,
  kRenew,
  kEnd
};

/** What the store does with a call that a fault applies to. */
enum class store_fault_effect
{
  kUnavailable,  ///< Answers 503 and does nothing.
  kTooMany,      ///< Answers 429 and does nothing.
  kHistoryLost,  ///< Answers 410 and does nothing.
  kSilent,       ///< Does nothing and never answers; the connection stays open.
  kAnswerLost,   ///< Executes the call and never answers.
  kExecutedLate, ///< Executes the call after mDelay and never answers.
  kSlow,         ///< Executes the call and answers after mDelay.
  kStale         ///< Serves cheap reads from the state mDelay ago.
};

/** A call to the store: its kind and the keys, or the prefix, that it names. */
struct store_call
{
  store_call_kind mKind = store_call_kind::kAny;
  std::vector<std::string> mKeys;

  auto operator<=>(const store_call&) const = default;
};

/** A fault in the calls that arrive at one port, for a time or a number of calls. */
struct store_fault
{
  std::string mPort; ///< Empty: each port.
  store_call_kind mKind = store_call_kind::kAny;
  std::string mKeyPrefix; ///< Applies to calls that name a key with this prefix.
  store_fault_effect mEffect = store_fault_effect::kUnavailable;
  duration mDelay{ 0 };
  time_point mSince{ 0 };  ///< Begin of the fault.
  time_point mUntil{ 0 };  ///< End of the fault.
  int64_t mCalls = -1;     ///< How many more calls it applies to; negative: unlimited.
  uint32_t mPercent = 100; ///< Share of the calls that it applies to, at random.

  auto operator<=>(const store_fault&) const = default;
};

/**
 * Returns the value of a parameter in the query of aTarget, not decoded; empty if it
 * has none.
 */
std::string QueryParameter(const std::string& aTarget, const std::string& aName);

/** Returns the call that aRequest makes, or nothing if it is none to the store's API.
 */
std::optional<store_call> DecodeStoreCall(const server_request& aRequest);

/**
 * Decodes the body of a fault: "port", "call" (any, watch, list, get, txn, grant, renew
 * or end), "prefix", "effect" (503, 429, 410, silent, answer-lost, late, slow or
 * stale), "delay_ms", "for_ms", "calls" and "percent". Missing fields keep their
 * defaults; without "for_ms" the fault lasts for an hour. Throws if a field has another
 * type or an unknown name.
 */
store_fault DecodeStoreFault(const std::string& aBody, time_point aNow);

/** The faults of the store's ports. Not thread-safe. */
class store_faults
{
public:
  void Add(const store_fault& aFault) { mFaults.push_back(aFault); }

  /** Returns the first fault of a call that has arrived, which counts as one call. */
  std::optional<store_fault> OnCall(const std::string& aPort,
                                    const store_call& aCall,
                                    time_point aNow);

  /**
   * Returns whether the answer to a call that had no fault when it arrived is lost by a
   * fault that has begun since, even if it has ended. Counts as one call if so.
   */
  bool LosesAnswer(const std::string& aPort,
                   const store_call& aCall,
                   time_point aArrivedAt,
                   time_point aNow);

  /** Returns the age of cheap reads; 0 if they are up to date. */
  duration ReadAge(const std::string& aPort,
                   const store_call& aCall,
                   time_point aNow) const;

private:
  bool Matches(const store_fault& aFault,
               const std::string& aPort,
               const store_call& aCall,
               time_point aFrom,
               time_point aTo) const;

  std::vector<store_fault> mFaults;
  std::minstd_rand mRandom; ///< Has a fixed seed.
};

/** Past states of a store, for reads that may be old. Not thread-safe. */
class store_history
{
public:
  /** Records the changes of aStore from now on; both arguments must outlive this. */
  store_history(event_loop& aLoop, transaction_store& aStore);

  /** Returns the keys under aPrefix as they were at aTime. */
  stored_range ListAt(const std::string& aPrefix, time_point aTime) const;

private:
  void Watch(uint64_t aRevision);

  event_loop& mLoop;
  transaction_store& mStore;
  std::deque<std::pair<time_point, stored_change>> mChanges;
};

} // namespace anvildoor
