#pragma once

#include "anvildoor/Error.h"
#include "planner/PlannerTypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/** What a caller asks to run. */
struct job_spec
{
  std::string mWorkspace;
  work_class mClass = work_class::kBatch;
  gang_shape mShape;
  bool mIdempotent = true; ///< False: it must not be started twice.
  bool mCheckpointable = false;
  int64_t mExpectedSeconds = 0; ///< As declared; 0 means not declared.
  std::string mPayload;

  auto operator<=>(const job_spec&) const = default;
};

enum class job_state
{
  kQueued,
  kStarting,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

const char* ToString(job_state aState);

/** Returns whether a job in aState has come to its end. */
bool IsFinal(job_state aState);

/** Everything about a job that must last. Immutable once recorded. */
struct job_record
{
  std::string mId;
  job_spec mSpec;
  job_state mState = job_state::kQueued;
  std::string mAttempt;  ///< The committed attempt; "" if none ever was.
  int64_t mAttempts = 0; ///< How many attempts were committed.
  placement mPlacement;
  std::optional<shape_id> mGuaranteed;
  std::string mReason;
  std::string mResult;
  std::string mCheckpoint;
  time_point mSubmitted{};
  time_point mStarted{};
  time_point mEnded{};

  auto operator<=>(const job_record&) const = default;
};

/** Parses the body of a submission; errors name the field as peer. Thread-safe. */
result<job_spec> ParseJobSpec(const std::string& aText);

/** Returns the JSON of a record as callers see it. Thread-safe. */
std::string JobAnswerJson(const job_record& aRecord);

/** Returns the text that keeps aRecords in the store. Thread-safe. */
std::string EncodeBucket(const std::map<std::string, job_record>& aRecords,
                         const std::string& aCommitId);

/** Reads what EncodeBucket wrote; kInvalid if it cannot be read. Thread-safe. */
result<std::map<std::string, job_record>> DecodeBucket(const std::string& aText);

} // namespace anvildoor
