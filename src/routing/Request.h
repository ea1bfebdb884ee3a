#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"
#include "planner/PlannerTypes.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace anvildoor {

/** A caller's request to an upstream. */
struct request_spec
{
  std::string mWorkspace;
  work_class mClass = work_class::kInteractive;
  std::string mKey; ///< Idempotency-Key; required unless mIdempotent.
  bool mIdempotent = true;
  bool mFirstCall = false; ///< The caller states that mKey was never sent before.
  duration mTimeout{ 5'000 };
  std::string mPayload;

  auto operator<=>(const request_spec&) const = default;
};

/** What is known about the execution of a request. */
enum class request_outcome
{
  kCompleted, ///< The request ran and its result is complete.
  kNotRun,    ///< The request did not run and will not run.
  kUnknown,   ///< The request may have run.
};

const char* ToString(request_outcome aOutcome);

struct request_answer
{
  request_outcome mOutcome = request_outcome::kNotRun;
  std::string mResult;
  std::string mReason;
  std::string mStep;
  std::string mPeer;
  duration mRetryAfter{ 0 }; ///< 0 ms: no retry delay is suggested.

  auto operator<=>(const request_answer&) const = default;
};

using answer_done = std::function<void(const request_answer&)>;

/**
 * One request on its way through the filter chain. An atomic stage decides the race
 * between the deadline and the dispatch, so that "not run" is reported only for
 * requests that are never sent. Thread-safe.
 */
class active_request
{
public:
  active_request(std::string aId, request_spec aSpec, time_point aArrivedAt);

  const std::string& Id() const { return mId; }
  const request_spec& Spec() const { return mSpec; }
  time_point ArrivedAt() const { return mArrivedAt; }
  time_point Deadline() const { return mArrivedAt + mSpec.mTimeout; }

  /** Marks the request as dispatched; returns false if it was abandoned. */
  bool BeginDispatch();

  /** Reverts BeginDispatch() after an attempt that certainly did not run. */
  void UndoDispatch();

  /** Abandons the request; returns false if it was dispatched and may run. */
  bool Abandon();

  /** Returns whether the request was abandoned. */
  bool IsAbandoned() const;

  /**
   * Returns whether an earlier call with the same key and body may have run. True for a
   * non-idempotent request that is not a first call, until its claim is acquired or the
   * key turns out to belong to a different body.
   */
  bool MayHaveRunBefore() const { return mMayHaveRunBefore; }

  /** Records that no earlier call with the same key and body can have run. */
  void ClearMayHaveRunBefore() { mMayHaveRunBefore = false; }

private:
  enum class stage
  {
    kWaiting,
    kDispatched,
    kAbandoned,
  };

  std::string mId;
  request_spec mSpec;
  time_point mArrivedAt;
  std::atomic<stage> mStage{ stage::kWaiting };
  std::atomic<bool> mMayHaveRunBefore;
};

using shared_request = std::shared_ptr<active_request>;

/** Returns an answer with outcome kNotRun and a retry delay of 1 s. */
request_answer NotRun(std::string aStep, std::string aPeer, std::string aReason);

/** Returns an answer with outcome kUnknown. */
request_answer UnknownOutcome(std::string aStep,
                              std::string aPeer,
                              std::string aReason);

} // namespace anvildoor
