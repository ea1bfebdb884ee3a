#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"
#include "scheduler/CancelProgress.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace anvildoor {

/**
 * Queries to the entry VM that runs the scheduler. Not thread-safe: all calls come from
 * one thread.
 */
class peer_query
{
public:
  template<typename T>
  using done = std::function<void(const result<std::optional<T>>&)>;

  virtual ~peer_query() = default;

  /** Gets the state of a job from the VM at aAddress; empty if the job is unknown. */
  void StateOf(const std::string& aAddress,
               const std::string& aJob,
               done<std::string> aDone)
  {
    OnStateOf(aAddress, aJob, std::move(aDone));
  }

  /** Gets the number of jobs in a queue without a started task. */
  void PendingOf(const std::string& aAddress,
                 const std::string& aQueue,
                 done<size_t> aDone)
  {
    OnPendingOf(aAddress, aQueue, std::move(aDone));
  }

  /**
   * Gets the summary of the term that the VM at aAddress has ended or ends now, because
   * a successor with the fencing token aFence exists; empty if it has none.
   */
  void SummaryOf(const std::string& aAddress, uint64_t aFence, done<std::string> aDone)
  {
    OnSummaryOf(aAddress, aFence, std::move(aDone));
  }

  /**
   * Tells the VM at aAddress, as the scheduler, that the cancellation of aJob has been
   * stored at aRevision. Answers with nothing if that VM does not schedule the job, or
   * not yet.
   */
  void NotifyOfCancellation(const std::string& aAddress,
                            const std::string& aJob,
                            uint64_t aRevision,
                            done<std::string> aDone)
  {
    OnNotifyOfCancellation(aAddress, aJob, aRevision, std::move(aDone));
  }

  /**
   * Like NotifyOfCancellation, but the VM at aAddress waits a little until it has
   * stopped the runs of aJob. Answers with how far it has got by then; nothing means
   * the same as cancel_progress::kNotApplied.
   */
  void AwaitCancellation(const std::string& aAddress,
                         const std::string& aJob,
                         uint64_t aRevision,
                         done<cancel_progress> aDone)
  {
    OnAwaitCancellation(aAddress, aJob, aRevision, std::move(aDone));
  }

  /** For how long a peer waits at most until a cancellation is settled. */
  static constexpr duration kMaxSettlementWait{ 250 };

protected:
  virtual void OnStateOf(const std::string& aAddress,
                         const std::string& aJob,
                         done<std::string> aDone) = 0;
  virtual void OnPendingOf(const std::string& aAddress,
                           const std::string& aQueue,
                           done<size_t> aDone) = 0;
  virtual void OnSummaryOf(const std::string& aAddress,
                           uint64_t aFence,
                           done<std::string> aDone) = 0;
  virtual void OnNotifyOfCancellation(const std::string& aAddress,
                                      const std::string& aJob,
                                      uint64_t aRevision,
                                      done<std::string> aDone) = 0;
  virtual void OnAwaitCancellation(const std::string& aAddress,
                                   const std::string& aJob,
                                   uint64_t aRevision,
                                   done<cancel_progress> aDone) = 0;
};

} // namespace anvildoor
