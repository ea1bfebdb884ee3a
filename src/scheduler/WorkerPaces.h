#pragma once

#include "base/EventLog.h"
#include "base/EventLoop.h"
#include "base/Metrics.h"
#include "planner/WorkerPace.h"
#include "scheduler/RecordWriter.h"
#include "store/TransactionStore.h"

#include <functional>
#include <map>
#include <string>

namespace anvildoor {

/** The estimates by pool and worker, as the store keeps them over takeovers. */
using pace_record = std::map<std::string, std::map<std::string, pace_estimate>>;

/** The most bytes that a record takes. Of larger fleets it leaves workers out evenly.
 */
constexpr size_t kMaxPaceRecordBytes = 100'000;

std::string EncodePaces(const pace_record& aRecord);
result<pace_record> DecodePaces(const std::string& aText);

/**
 * The paces of all workers during a scheduler's term, and their record in the store,
 * from which the next term goes on. Nothing waits for the record: if it is missing,
 * unreadable or can't be read or written, no more is lost than what it would have told.
 * Not thread-safe.
 */
class worker_paces
{
public:
  /** The references must outlive it and its pending calls. */
  worker_paces(event_loop& aLoop,
               transaction_store& aStore,
               event_log& aLog,
               metrics& aMetrics,
               record_writer& aWriter);

  /** Begins a term: asks for the record. */
  void Begin();
  void End();

  /** Records the rate of a run; ignored while the pool of its worker is not known. */
  void Observe(const std::string& aPool, const pace_sample& aSample);
  void OnNewLife(const std::string& aPool, const std::string& aWorker);
  void ForgetJob(const std::string& aJob);

  /**
   * Applies what was observed, and writes the record if that is due; to be called some
   * times a second. Returns whether the class of a worker may have changed. aIsListed
   * tells whether a pool has a worker.
   */
  bool Check(const std::function<bool(const std::string& aPool,
                                      const std::string& aWorker)>& aIsListed);

  /** Returns the model of a pool; null while nothing is known of its workers. */
  const worker_pace_model* Find(const std::string& aPool) const;

  /** Returns the current value of the record. */
  std::string Encode() const;

private:
  void Read();
  void Adopt(const std::string& aText);
  /** Forgets workers that left, if they outnumber those that are listed. */
  void ForgetFormerWorkers(
    const std::function<bool(const std::string&, const std::string&)>& aIsListed);
  void WriteIfDue();

  event_loop& mLoop;
  transaction_store& mStore;
  event_log& mLog;
  metrics& mMetrics;
  record_writer& mWriter;
  std::map<std::string, worker_pace_model> mModels; ///< By pool.
  uint64_t mReadNumber = 0; ///< Answers to former reads are ignored.
  bool mIsActive = false;
  bool mIsRead = false;
  bool mHasLoggedFailure = false;
  bool mIsAdopted = false; ///< Since the last Check.
  bool mIsChanged = false; ///< Since the record was last written.
  time_point mReadAt{ 0 };
  time_point mNextWriteAt{ 0 };
};

} // namespace anvildoor
