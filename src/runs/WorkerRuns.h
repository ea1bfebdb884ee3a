#pragma once

#include "runs/RunPort.h"
#include "runs/RunProgress.h"

#include <map>

namespace anvildoor {

/** Bounds of leases and orders, from the installation's settings. */
struct run_bounds
{
  duration mLeaseMax{ 6'000 };      ///< A worker shortens longer leases to this.
  double mClockDrift = 0.02;        ///< A worker's clock may be this much slow.
  duration mLapseMargin{ 250 };     ///< Delay of a call on its way, and rounding.
  duration mBeat{ 1'500 };          ///< Workers write their entry about this often.
  duration mStartDeadline{ 1'500 }; ///< A start carried out later than this is refused.

  auto operator<=>(const run_bounds&) const = default;
};

enum class run_phase
{
  kOrdered,   ///< The start was sent or is about to be; not known to be there.
  kConfirmed, ///< The worker has it.
};

struct run_info
{
  uint32_t mRun = 0;
  run_phase mPhase = run_phase::kOrdered;
  task_resources mResources;
  time_point mSince{ 0 };        ///< Of the order or of the first sight.
  time_point mConfirmedAt{ 0 };  ///< When it was known to be there.
  int64_t mDeadlineOnWorker = 0; ///< Of the start order; 0: adopted.
  bool mStopping = false;
  bool mStopAnswered = false;
  time_point mStopAnsweredAt{ 0 };
  time_point mStopSentAt{ 0 };
  run_progress mProgress;

  auto operator<=>(const run_info&) const = default;
};

/** When a worker's entry was seen last, and when the worker last wrote it. */
struct entry_sight
{
  uint64_t mBeat = 0;
  time_point mBeatAt{ 0 }; ///< When a new mBeat was seen.
  time_point mSeenAt{ 0 }; ///< In the last list that held the entry.

  auto operator<=>(const entry_sight&) const = default;
};

/**
 * Returns whether a worker whose entry is gone from the list at aNow has left of its
 * own accord, and not fallen silent: an entry is removed after three beats of silence,
 * so one that was written within two has been taken back. Pure.
 */
bool HasLeft(const entry_sight& aSight, duration aBeat, time_point aNow);

/** What became known about a run. */
struct run_event
{
  enum class kind
  {
    kEnded,     ///< mEnd says how; mNumber is to be acknowledged unless 0.
    kFound,     ///< The worker runs something that was not ordered here.
    kCheckpoint ///< A newer checkpoint.
  };

  kind mKind = kind::kEnded;
  task_ref mTask;
  uint32_t mRun = 0;
  run_end mEnd = run_end::kLost;
  uint64_t mNumber = 0;
  std::string mCheckpoint;

  auto operator<=>(const run_event&) const = default;
};

/**
 * What may be running on one worker: orders, leases and ends, as told by its answers. A
 * run leaves only when its end was listed, when it can no longer be there, or when it
 * can never have started. Pure: times are arguments. Not thread-safe.
 */
class worker_runs
{
public:
  explicit worker_runs(const run_bounds& aBounds)
    : mBounds(aBounds)
  {
  }

  const std::map<task_ref, run_info>& Runs() const { return mRuns; }

  /** Returns what all runs here occupy, those being stopped included. */
  task_resources Used() const;

  /** Returns whether the worker has answered under the present fence. */
  bool Fenced() const { return mFenced; }
  time_point LastAnswer() const { return mLastAnswer; }

  /** Returns the worker's clock at aNow, at most behind the truth; 0: unknown. */
  int64_t ClockAt(time_point aNow) const;

  /** Returns the latest lease end that a hold sent at aNow may ask for. */
  std::optional<int64_t> LeaseDeadline(time_point aNow) const;
  int64_t StartDeadline(time_point aNow) const;

  /** Returns when everything here has surely been killed if no hold arrives again. */
  time_point LapsesAt() const { return mLapsesAt; }

  /** Notes that an order extending the lease to its maximum is sent at aNow. */
  void NoteLease(time_point aNow);

  /** For a takeover: another scheduler may have extended leases until aUntil. */
  void AssumeLease(time_point aUntil) { mLapsesAt = std::max(mLapsesAt, aUntil); }

  /**
   * Registers a start before it is sent. aEstimate: of its time; 0: none. aResumes:
   * from a checkpoint.
   */
  void Order(const task_ref& aTask,
             uint32_t aRun,
             const task_resources& aResources,
             time_point aNow,
             duration aEstimate = duration::zero(),
             bool aResumes = false);

  /** Registers a run that may be here, as the store's records say. */
  void Assume(const task_ref& aTask,
              uint32_t aRun,
              const task_resources& aResources,
              time_point aNow,
              duration aEstimate = duration::zero(),
              bool aResumes = false);

  /** Notes that a start is sent at aNow with this deadline, which extends the lease. */
  void NoteStart(const task_ref& aTask,
                 uint32_t aRun,
                 int64_t aDeadlineOnWorker,
                 time_point aNow);

  /** Returns whether a hold that extended the lease was answered. */
  bool HasLease() const { return mHasLease; }

  /** Returns the ends that the answer of a start shows. */
  std::vector<run_event> OnStartAnswer(const task_ref& aTask,
                                       uint32_t aRun,
                                       order_answer aAnswer,
                                       time_point aNow);

  /** Marks a run to be stopped. Returns false if it is not here. */
  bool MarkStopping(const task_ref& aTask, time_point aNow);
  void OnStopAnswer(const task_ref& aTask,
                    uint32_t aRun,
                    order_answer aAnswer,
                    time_point aNow);

  /** Takes an accepted answer of a hold that was sent at aSentAt. */
  std::vector<run_event> OnHold(const hold_reply& aReply,
                                time_point aSentAt,
                                time_point aNow);

  /** Every run here is gone, for aEnd; nothing of it can be acknowledged. */
  std::vector<run_event> DropAll(run_end aEnd);

  /** Notes that the end numbered aNumber is durable. */
  void MarkDurable(int64_t aBorn, uint64_t aNumber);

  /** Returns the number up to which all ends are durable. */
  uint64_t Acknowledged() const { return mAcknowledged; }
  int64_t Born() const { return mBorn; }

  /** Returns whether ends are durable that no hold has acknowledged yet. */
  bool HasUnsentAcknowledgement() const { return mAcknowledged > mAckSent; }
  void NoteAckSent(uint64_t aNumber) { mAckSent = std::max(mAckSent, aNumber); }

private:
  run_event Ended(const task_ref& aTask, uint32_t aRun, run_end aEnd) const;

  run_bounds mBounds;
  std::map<task_ref, run_info> mRuns;
  /** Notes that the lease may last aSpan of the worker's clock from aNow on. */
  void ExtendLapse(time_point aNow, duration aSpan);

  bool mFenced = false;
  bool mHasLease = false;
  bool mLeaseAsked = false;
  time_point mLastAnswer{ 0 };
  int64_t mClockMs = 0;
  time_point mClockAt{ 0 };
  time_point mLapsesAt{ 0 };
  int64_t mBorn = 0;
  uint64_t mSeen = 0;             ///< The highest number of an end taken in.
  std::map<uint64_t, bool> mOpen; ///< Ends taken in, and whether they are durable.
  uint64_t mAcknowledged = 0;
  uint64_t mAckSent = 0;
};

} // namespace anvildoor
