#pragma once

#include "http/SingleThreadServer.h"
#include "jobs/JobState.h"
#include "standin/MemoryTransactionStore.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** What becomes of a call to a worker. */
enum class call_effect
{
  kNormal,
  kLate,       ///< Carried out after a random delay, without an answer.
  kUnanswered, ///< Carried out at once, without an answer.
  kLost,       ///< Neither carried out nor answered.
  kCut,        ///< As kLost; earlier calls aren't answered either while it lasts.
  kBusy,       ///< Refused with 503.
  kLimited,    ///< Refused with 429.
};

/**
 * Faults of the stand-in's workers: calls that are late, lost or refused for a time,
 * directory entries that vanish, crashes, restarts and shutdowns. A call without an
 * answer leaves its connection open and silent. Not thread-safe.
 */
class worker_faults
{
public:
  using serve = std::function<void(const std::string& aWorker,
                                   const server_request&,
                                   const single_thread_server::respond&)>;
  using change_worker = std::function<void(const std::string& aWorker)>;

  struct ports
  {
    event_loop& mLoop;
    memory_transaction_store& mStore;
    serve mServe;           ///< Serves a call without faults.
    change_worker mRestart; ///< Replaces a worker by a new life under its id.
    change_worker mCrash;   ///< Ends a worker's life and nothing else.
    change_worker mExit;    ///< Ends a worker and removes its entry.
    std::function<void(const std::string& aWorker, double aPace)> mSetPace;
    /** Returns when the life of a worker began, in Unix milliseconds; 0: it has ended.
     */
    std::function<int64_t(const std::string& aWorker)> mStartedAtMs;
  };

  explicit worker_faults(const ports& aPorts);

  /** Lists a worker in the directory with aEntry, to which `seq` and `born` are added.
   */
  void List(const std::string& aWorker, const nlohmann::json& aEntry);

  /** Writes no further entry of a worker, which has left. */
  void Forget(const std::string& aWorker) { mEntries.erase(aWorker); }

  /** Serves a call to a worker under the faults that are in force. */
  void Serve(const std::string& aWorker,
             const server_request& aRequest,
             const single_thread_server::respond& aRespond);

  /**
   * Serves POST /worker-fault and GET /late-starts. Returns false, without an answer,
   * if aRequest is for neither. The body of a fault has `worker` and `kind`:
   * - `orders`: `orders` (any of start, stop, hold), `effect`, `for_ms`, and `late_ms`
   *   and `seed` of the delays of late calls;
   * - `entry`: no heartbeat for `silent_ms`, then no entry for `for_ms`, while the
   * worker runs on;
   * - `restart`: a new life under the same id;
   * - `crash`: neither heartbeats nor answers for `for_ms`, then as `restart`;
   * - `drain`: draining for `entry_ms`, then without an entry for `stays_ms`; the entry
   *   tells `remaining_ms` (0: not known);
   * - `pace`: runs that begin from now on do the work of `pace` ms in 1 ms;
   * - `heartbeats`: all entries change every `period_ms` from now on.
   * The faults of a worker that has no entry, but those of orders, do nothing.
   */
  bool ServeControl(const server_request& aRequest,
                    const single_thread_server::respond& aRespond);

private:
  struct order_fault
  {
    call_effect mEffect = call_effect::kNormal;
    time_point mUntil{ 0 };
    duration mMaxDelay{ 0 };
  };

  void Apply(const nlohmann::json& aFault);
  void ApplyToOrders(const std::string& aWorker, const nlohmann::json& aFault);
  /** Begins a new life under aWorker, unless it has left. */
  void Restart(const std::string& aWorker);
  void Crash(const std::string& aWorker, duration aFor);
  void Drain(const std::string& aWorker,
             duration aRemaining,
             duration aEntryFor,
             duration aStaysFor);
  void WriteEntry(const std::string& aWorker);
  call_effect EffectOn(const std::string& aWorker, const std::string& aTarget) const;
  void SendHeartbeats(duration aPeriod);
  void CarryOutLate(const std::string& aWorker,
                    const server_request& aRequest,
                    duration aMaxDelay);

  ports mPorts;
  std::map<std::string, nlohmann::json> mEntries; ///< Of the listed workers.
  std::map<std::pair<std::string, std::string>, order_fault> mOrderFaults;
  std::vector<nlohmann::json> mLateStarts;
  std::minstd_rand mRandom;
  std::map<std::string, uint64_t> mSequences; ///< Last `seq` of each worker's life.
  std::set<std::string> mCrashed;
};

} // namespace anvildoor
