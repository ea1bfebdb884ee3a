#pragma once

#include "jobs/JobState.h"

#include <functional>

namespace anvildoor {

/** Where a worker is reached, and which of its lives is meant. */
struct worker_address
{
  std::string mId;
  std::string mAddress; ///< "IP:port".

  auto operator<=>(const worker_address&) const = default;
};

struct start_order
{
  worker_address mWorker;
  task_ref mTask;
  uint32_t mRun = 0;
  std::string mPayload;
  std::string mCheckpoint;       ///< Empty: from the beginning.
  int64_t mDeadlineOnWorker = 0; ///< On the worker's clock: refused when later.
  uint64_t mFence = 0;

  auto operator<=>(const start_order&) const = default;
};

struct stop_order
{
  worker_address mWorker;
  task_ref mTask;
  uint32_t mRun = 0;
  uint64_t mFence = 0;

  auto operator<=>(const stop_order&) const = default;
};

/** Extends a worker's lease and asks what runs and what ended there. */
struct hold_order
{
  worker_address mWorker;
  std::optional<int64_t> mDeadlineOnWorker; ///< New end of the lease; none: as it is.
  uint64_t mAcknowledged = 0;               ///< Ends up to this number are durable.
  duration mWait{ 0 };                      ///< The answer waits so long for an end.
  uint64_t mFence = 0;

  auto operator<=>(const hold_order&) const = default;
};

enum class order_answer
{
  kAccepted,
  kFenced, ///< A newer scheduler was there.
  kOld,    ///< That run, or a later one, has ended or was stopped there.
  kLate,   ///< The order's deadline has passed.
  kNoRoom,
  kNoTicket,
  kUnhealthy, ///< The worker refused and did nothing.
  kInvalid,
  kGone,     ///< Another life of the machine answers at that address.
  kNotSent,  ///< No connection; nothing was sent.
  kNoAnswer, ///< May have been carried out, or may be, later.
};

const char* ToString(order_answer aAnswer);

struct running_row
{
  task_ref mTask;
  uint32_t mRun = 0;
  std::string mCheckpoint;
  int64_t mPercent = 0;

  auto operator<=>(const running_row&) const = default;
};

struct ended_row
{
  uint64_t mNumber = 0; ///< Rises within one life of the worker.
  task_ref mTask;
  uint32_t mRun = 0;
  run_end mEnd = run_end::kLost;
  std::string mCheckpoint;

  auto operator<=>(const ended_row&) const = default;
};

struct hold_reply
{
  order_answer mAnswer = order_answer::kNoAnswer;
  int64_t mClockMs = 0;  ///< The worker's clock.
  int64_t mBornMs = 0;   ///< Tells the lives of one id apart; 0: not said.
  bool mComplete = true; ///< mEnded lists every end that is not acknowledged.
  std::vector<running_row> mRunning;
  std::vector<ended_row> mEnded;

  auto operator<=>(const hold_reply&) const = default;
};

/**
 * Orders to workers. Each call answers exactly once, never inside the call; orders
 * without an answer may be carried out later. One thread.
 */
class run_port
{
public:
  template<typename T>
  using done = std::function<void(const T&)>;

  virtual ~run_port() = default;

  void Start(const start_order& aOrder, done<order_answer> aDone)
  {
    OnStart(aOrder, std::move(aDone));
  }
  void Stop(const stop_order& aOrder, done<order_answer> aDone)
  {
    OnStop(aOrder, std::move(aDone));
  }
  void Hold(const hold_order& aOrder, done<hold_reply> aDone)
  {
    OnHold(aOrder, std::move(aDone));
  }

protected:
  virtual void OnStart(const start_order& aOrder, done<order_answer> aDone) = 0;
  virtual void OnStop(const stop_order& aOrder, done<order_answer> aDone) = 0;
  virtual void OnHold(const hold_order& aOrder, done<hold_reply> aDone) = 0;
};

} // namespace anvildoor
