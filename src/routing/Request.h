#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"
#include "planner/PlannerTypes.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace anvildoor {

/** What a caller asks an upstream to do. */
struct request_spec
{
  std::string mWorkspace;
  work_class mClass = work_class::kInteractive;
  std::string mKey; ///< The Idempotency-Key; never empty if not idempotent.
  bool mIdempotent = true;
  bool mFirstCall = false; ///< The caller vouches that the key was never sent before.
  duration mTimeout{ 5'000 };
  std::string mPayload;

  auto operator<=>(const request_spec&) const = default;
};

/** The three things that can be said of a request. */
enum class request_outcome
{
  kCompleted, ///< It ran; the result is whole.
  kNotRun,    ///< It did not run and will not.
  kUnknown,   ///< It may have run.
};

const char* ToString(request_outcome aOutcome);

struct request_answer
{
  request_outcome mOutcome = request_outcome::kNotRun;
  std::string mResult;
  std::string mReason;
  std::string mStep;
  std::string mPeer;
  duration mRetryAfter{ 0 }; ///< 0 ms: nothing is advised.

  auto operator<=>(const request_answer&) const = default;
};

using answer_done = std::function<void(const request_answer&)>;

/**
 * One request on its way through the filters. The stage decides races between its
 * deadline and its dispatch, so that "not run" is said only of what never leaves.
 */
class active_request
{
public:
  active_request(std::string aId, request_spec aSpec, time_point aArrived);

  const std::string& Id() const { return mId; }
  const request_spec& Spec() const { return mSpec; }
  time_point Arrived() const { return mArrived; }
  time_point Deadline() const { return mArrived + mSpec.mTimeout; }

  /** Claims the right to send it; false once it was abandoned. Thread-safe. */
  bool BeginDispatch();

  /** Takes a dispatch back that provably did not run. Thread-safe. */
  void UndoDispatch();

  /** Gives it up; false if it is dispatched and may run. Thread-safe. */
  bool Abandon();

  /** Returns whether it was given up. Thread-safe. */
  bool IsAbandoned() const;

  /**
   * Returns whether an earlier call with its key may have run: so for a non-idempotent
   * request until its claim is settled, unless the caller vouched. Thread-safe.
   */
  bool MayHaveRunBefore() const { return mMayHaveRunBefore; }

  /** Notes that no earlier call with its key can have run. Thread-safe. */
  void SetFresh() { mMayHaveRunBefore = false; }

private:
  enum class stage
  {
    kWaiting,
    kDispatched,
    kAbandoned,
  };

  std::string mId;
  request_spec mSpec;
  time_point mArrived;
  std::atomic<stage> mStage{ stage::kWaiting };
  std::atomic<bool> mMayHaveRunBefore;
};

using shared_request = std::shared_ptr<active_request>;

/** Returns an answer that says a request did not run. */
request_answer NotRun(std::string aStep, std::string aPeer, std::string aReason);

/** Returns an answer that says a request may have run. */
request_answer UnknownOutcome(std::string aStep,
                              std::string aPeer,
                              std::string aReason);

} // namespace anvildoor
