#pragma once

#include "anvildoor/Error.h"
#include "anvildoor/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvildoor {

/** What one task occupies on its worker while it runs. */
struct task_resources
{
  int64_t mCpuMillis = 0; ///< Thousandths of a core.
  int64_t mMemoryMb = 0;
  int64_t mAccelerators = 0;

  auto operator<=>(const task_resources&) const = default;
};

/** Adds aWhat to aTo so many times; a negative number takes it away. */
inline void Add(task_resources& aTo, const task_resources& aWhat, int64_t aTimes = 1)
{
  aTo.mCpuMillis += aTimes * aWhat.mCpuMillis;
  aTo.mMemoryMb += aTimes * aWhat.mMemoryMb;
  aTo.mAccelerators += aTimes * aWhat.mAccelerators;
}

/** Returns whether aNeed fits into aRoom. */
inline bool Fits(const task_resources& aNeed, const task_resources& aRoom)
{
  return aRoom.mCpuMillis >= aNeed.mCpuMillis && aRoom.mMemoryMb >= aNeed.mMemoryMb &&
         aRoom.mAccelerators >= aNeed.mAccelerators;
}

/** Returns aResources in units of one core; an accelerator weighs as eight. */
inline double CoresOf(const task_resources& aResources)
{
  constexpr double kMillisPerCore = 1'000.0;
  constexpr double kCoresPerAccelerator = 8.0; // The platform's own price of work.
  return static_cast<double>(aResources.mCpuMillis) / kMillisPerCore +
         kCoresPerAccelerator * static_cast<double>(aResources.mAccelerators);
}

/** Equal tasks of a job that become ready together. */
struct step_spec
{
  uint32_t mCount = 1;
  task_resources mPerTask;
  duration mEstimate{ 0 };      ///< A rough guess of one task's run time; 0: none.
  std::vector<uint32_t> mAfter; ///< Earlier steps whose tasks must all be done first.
  bool mGang = false;           ///< Works only while all its tasks run.
  bool mSameRack = false;       ///< Much slower on more than one rack.
  bool mCheckpointing = false;  ///< A stopped task can resume.
  bool mSpeculative = false;    ///< Copies may run; the first end counts.
  bool mLongRunning = false;    ///< Runs until its job is cancelled.
  bool mFills = false;          ///< Its CPU is not counted against capacity.
  std::string mRequiredLabel;   ///< A label that the worker must have; may be empty.
  std::string mDataRack;        ///< Slow on any other rack; may be empty.
  uint32_t mMaxPerWorker = 0;   ///< Tasks of one occurrence on one worker; 0: any.
  uint32_t mMayMiss = 0;        ///< Long-running tasks that may be away at once.

  auto operator<=>(const step_spec&) const = default;
};

/** Returns what a task of aStep takes of its worker's capacity. */
inline task_resources OccupiedBy(const step_spec& aStep)
{
  auto occupied = aStep.mPerTask;
  occupied.mCpuMillis = aStep.mFills ? 0 : occupied.mCpuMillis;
  return occupied;
}

struct job_spec
{
  std::string mPayload; ///< Handed to every task as it stands.
  std::vector<step_spec> mSteps;
  uint32_t mRepeats = 0;   ///< Occurrences; 0: one, without a time.
  int64_t mFirstDueMs = 0; ///< Unix time of the first occurrence.
  int64_t mIntervalMs = 0; ///< Between occurrences.

  auto operator<=>(const job_spec&) const = default;
};

/** Bounds on what a caller may hand in; far above the target's largest job. */
struct job_limits
{
  size_t mPayloadBytes = 4'000;
  size_t mSteps = 64;
  uint32_t mTasksPerStep = 10'000;
  uint32_t mRepeats = 10'000;

  auto operator<=>(const job_limits&) const = default;
};

/** A job as the store keeps it, with the rules of its queue at that time. */
struct accepted_job
{
  std::string mId;
  std::string mQueue;
  std::string mWorkspace;
  std::string mPool;
  int64_t mPriority = 0;
  int64_t mMaxAttempts = 1;
  double mStretch = 1.0;
  duration mObjective{ 0 };
  bool mNeedsAdvice = false;
  int64_t mAcceptedAtMs = 0; ///< Unix time.
  job_spec mSpec;

  auto operator<=>(const accepted_job&) const = default;
};

/** Returns kInvalid with the field if aSpec cannot be run as written. Thread-safe. */
status CheckJob(const job_spec& aSpec, const job_limits& aLimits = {});

/** Returns aJob as text for the store. Thread-safe. */
std::string EncodeJob(const accepted_job& aJob);

/** Reads what EncodeJob wrote; kInvalid if it cannot be read. Thread-safe. */
result<accepted_job> DecodeJob(const std::string& aId, const std::string& aText);

} // namespace anvildoor
