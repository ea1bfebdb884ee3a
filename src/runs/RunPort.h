#pragma once

#include "jobs/JobState.h"

#include <functional>

namespace anvildoor {

/** The worker instance a request is meant for, and its address. */
struct worker_address
{
  std::string mId;
  std::string mAddress; ///< "IP:port".

  auto operator<=>(const worker_address&) const = default;
};

/** Starts one run of a task on a worker. */
struct start_run_request
{
  worker_address mWorker;
  task_ref mTask;
  uint32_t mRun = 0;
  std::string mPayload;
  std::string mCheckpoint; ///< Resume point; empty: start from scratch.
  /** The worker refuses the request after this time on its own clock. */
  int64_t mWorkerDeadlineMs = 0;
  uint64_t mFence = 0;

  auto operator<=>(const start_run_request&) const = default;
};

/** Stops one run of a task on a worker. */
struct stop_run_request
{
  worker_address mWorker;
  task_ref mTask;
  uint32_t mRun = 0;
  uint64_t mFence = 0;
  /** Whether to use no kept connection, which may be dead. */
  bool mOnNewConnection = false;

  auto operator<=>(const stop_run_request&) const = default;
};

/**
 * Extends a worker's lease and requests its running and ended runs; a long poll if
 * mWait is set.
 */
struct hold_request
{
  worker_address mWorker;
  /** New end of the lease on the worker's clock; none: unchanged. */
  std::optional<int64_t> mWorkerDeadlineMs;
  uint64_t mAcknowledged = 0; ///< Run ends up to this number are durable.
  duration mWait{ 0 };        ///< How long the worker may wait for a run to end.
  uint64_t mFence = 0;

  auto operator<=>(const hold_request&) const = default;
};

/** Outcome of a request to a worker. */
enum class run_request_status
{
  kAccepted,
  kFenced,      ///< The worker has received a newer fencing token.
  kOutdatedRun, ///< This run or a later one has already ended or been stopped.
  kLate,        ///< The deadline in the request has passed.
  kNoCapacity,  ///< The worker lacks free resources.
  kNoTicket,    ///< The start requires a ticket from the advice service.
  kUnhealthy,   ///< The worker is unhealthy and refused without effect.
  kInvalid,
  kWrongInstance, ///< Another instance answered at this address.
  kNotSent,       ///< No connection; nothing was sent.
  kNoAnswer,      ///< The request may have been, or may still be, carried out.
};

const char* ToString(run_request_status aAnswer);

/** Returns whether a request's outcome came from the worker. Thread-safe. */
bool IsAnswer(run_request_status aStatus);

/** Outcome of a start or stop, with what tells which life of the worker has answered.
 */
struct run_answer
{
  run_request_status mStatus = run_request_status::kNoAnswer;
  int64_t mClockMs = 0; ///< The worker's clock; 0: unknown.

  auto operator<=>(const run_answer&) const = default;
};

/** A run that a worker reports as running. */
struct running_run
{
  task_ref mTask;
  uint32_t mRun = 0;
  std::string mCheckpoint;
  int64_t mPercent = 0;

  auto operator<=>(const running_run&) const = default;
};

/** The end of a run, as a worker reports it. */
struct ended_run
{
  uint64_t mNumber = 0; ///< Increases within one worker incarnation.
  task_ref mTask;
  uint32_t mRun = 0;
  run_end mEnd = run_end::kLost;
  std::string mCheckpoint;

  auto operator<=>(const ended_run&) const = default;
};

struct hold_reply
{
  run_request_status mAnswer = run_request_status::kNoAnswer;
  int64_t mClockMs = 0; ///< The worker's clock.
  /** Start time of the worker; distinguishes incarnations of an id. 0: unknown. */
  int64_t mStartedAtMs = 0;
  /** Whether mRunning and mEnded hold all running and all unacknowledged ended runs. */
  bool mComplete = true;
  std::vector<running_run> mRunning;
  std::vector<ended_run> mEnded;

  auto operator<=>(const hold_reply&) const = default;
};

/**
 * Sends requests to workers. Each call invokes its callback exactly once and never
 * before it returns. A request without an answer may still be carried out later. Not
 * thread-safe: all calls come from one thread.
 */
class run_port
{
public:
  template<typename T>
  using done = std::function<void(const T&)>;

  virtual ~run_port() = default;

  void Start(const start_run_request& aRequest, done<run_answer> aDone)
  {
    OnStart(aRequest, std::move(aDone));
  }
  void Stop(const stop_run_request& aRequest, done<run_answer> aDone)
  {
    OnStop(aRequest, std::move(aDone));
  }
  void Hold(const hold_request& aRequest, done<hold_reply> aDone)
  {
    OnHold(aRequest, std::move(aDone));
  }

  /**
   * Passes on whether a worker can be reached. Changes nothing at the worker. aFence is
   * the fencing token of the current term, so that the worker doesn't refuse it.
   */
  void Probe(const worker_address& aWorker, uint64_t aFence, done<bool> aDone)
  {
    OnProbe(aWorker, aFence, std::move(aDone));
  }

protected:
  virtual void OnStart(const start_run_request& aRequest, done<run_answer> aDone) = 0;
  virtual void OnStop(const stop_run_request& aRequest, done<run_answer> aDone) = 0;
  virtual void OnHold(const hold_request& aRequest, done<hold_reply> aDone) = 0;
  virtual void OnProbe(const worker_address& aWorker,
                       uint64_t aFence,
                       done<bool> aDone) = 0;
};

} // namespace anvildoor
