#pragma once

#include "anvildoor/Error.h"
#include "anvildoor/Time.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace anvildoor {

/** The resources that one task occupies on its worker while it runs. */
struct task_resources
{
  int64_t mCpuMillis = 0; ///< Thousandths of a core.
  int64_t mMemoryMb = 0;
  int64_t mAccelerators = 0;

  auto operator<=>(const task_resources&) const = default;
};

/** Adds aAmount to aTo aTimes times; a negative aTimes subtracts. */
inline void Add(task_resources& aTo, const task_resources& aAmount, int64_t aTimes = 1)
{
  aTo.mCpuMillis += aTimes * aAmount.mCpuMillis;
  aTo.mMemoryMb += aTimes * aAmount.mMemoryMb;
  aTo.mAccelerators += aTimes * aAmount.mAccelerators;
}

/** Returns whether the free resources aFree cover aNeed. */
inline bool Fits(const task_resources& aNeed, const task_resources& aFree)
{
  return aFree.mCpuMillis >= aNeed.mCpuMillis && aFree.mMemoryMb >= aNeed.mMemoryMb &&
         aFree.mAccelerators >= aNeed.mAccelerators;
}

/** Returns aResources in core equivalents; an accelerator counts as eight cores. */
inline double CoresOf(const task_resources& aResources)
{
  constexpr double kMillisPerCore = 1'000.0;
  constexpr double kCoresPerAccelerator = 8.0; // The platform's cost ratio.
  return static_cast<double>(aResources.mCpuMillis) / kMillisPerCore +
         kCoresPerAccelerator * static_cast<double>(aResources.mAccelerators);
}

/**
 * Returns the largest fraction that aNeed takes of any one resource of aCapacity; 0 if
 * aCapacity has none of what it needs.
 */
inline double DominantShare(const task_resources& aNeed,
                            const task_resources& aCapacity)
{
  const auto share = [](int64_t aPart, int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole) : 0.0;
  };
  return std::max({ share(aNeed.mCpuMillis, aCapacity.mCpuMillis),
                    share(aNeed.mMemoryMb, aCapacity.mMemoryMb),
                    share(aNeed.mAccelerators, aCapacity.mAccelerators) });
}

/** A set of identical tasks of a job that become ready together. */
struct step_spec
{
  uint32_t mCount = 1;
  task_resources mPerTask;
  duration mEstimate{ 0 };          ///< Approximate run time of one task; 0: unknown.
  std::vector<uint32_t> mDependsOn; ///< Earlier steps that must complete first.
  bool mGang = false;               ///< Makes progress only while all its tasks run.
  bool mSameRack = false;           ///< Prefers one rack; much slower across racks.
  bool mCheckpointing = false;      ///< A stopped task can resume from a checkpoint.
  bool mSpeculative = false;  ///< May run duplicate copies; the first to end counts.
  bool mLongRunning = false;  ///< Runs until the job is cancelled.
  bool mUsesSpareCpu = false; ///< Its CPU is not counted against capacity.
  std::string mRequiredLabel; ///< Label required of the worker; may be empty.
  std::string mDataRack;      ///< Rack of its data, slow on others; may be empty.
  uint32_t mMaxPerWorker = 0; ///< Limit on tasks of one occurrence; 0: none.
  /** Limit on long-running tasks out of service after a preemption; 0: none. */
  uint32_t mMaxUnavailable = 0;

  auto operator<=>(const step_spec&) const = default;
};

/** Returns the capacity that a task of aStep takes on its worker. */
inline task_resources OccupiedBy(const step_spec& aStep)
{
  auto occupied = aStep.mPerTask;
  occupied.mCpuMillis = aStep.mUsesSpareCpu ? 0 : occupied.mCpuMillis;
  return occupied;
}

struct job_spec
{
  std::string mPayload; ///< Passed to every task unchanged.
  std::vector<step_spec> mSteps;
  uint32_t mRepeats = 0;   ///< Number of occurrences; 0: one, not scheduled.
  int64_t mFirstDueMs = 0; ///< Unix time of the first occurrence.
  int64_t mIntervalMs = 0; ///< Time between occurrences.

  auto operator<=>(const job_spec&) const = default;
};

/**
 * Limits on submitted jobs, far above the largest job the system is designed for. What
 * they allow fits into a stored record and into the memory of a VM; see job_state.
 */
struct job_limits
{
  size_t mPayloadBytes = 4'000;
  size_t mSteps = 64;
  uint32_t mTasksPerStep = 10'000;
  uint32_t mRepeats = 10'000;
  /** Limit on the tasks of a gang, and on the long-running tasks of a job. */
  uint32_t mTasksAtOnce = 2'048;
  size_t mNameBytes = 256; ///< Of a label or rack.
  /** Limit on the first due time and on the time between occurrences. */
  int64_t mTimeMs = 100'000'000'000'000;

  auto operator<=>(const job_limits&) const = default;
};

/**
 * A stored job, with the settings of its queue at the time of acceptance. See
 * queue_rule for their meaning.
 */
struct accepted_job
{
  std::string mId;
  std::string mQueue;
  std::string mWorkspace; ///< Its name at the submission; empty: none was known.
  /** Digests of API keys by which its workspace is recognised; see job_owners. */
  std::vector<std::string> mKeyDigests;
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

/**
 * Returns kInvalid with the step or field if aSpec cannot be run or exceeds aLimits.
 * Thread-safe.
 */
status CheckJob(const job_spec& aSpec, const job_limits& aLimits = {});

/**
 * Returns an upper bound in bytes on the memory that a scheduler needs for aJob,
 * without its open tasks. Thread-safe.
 */
size_t MemoryBound(const accepted_job& aJob);

/** Encodes aJob as text for the store. Thread-safe. */
std::string EncodeJob(const accepted_job& aJob);

/**
 * Decodes the output of EncodeJob; kInvalid if malformed. A job that was accepted under
 * other limits is decoded all the same. Thread-safe.
 */
result<accepted_job> DecodeJob(const std::string& aId, const std::string& aText);

} // namespace anvildoor
