#pragma once

#include "anvildoor/Error.h"
#include "planner/PlannerTypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/** A job as specified by the caller. */
struct job_spec
{
  std::string mWorkspace;
  work_class mClass = work_class::kBatch;
  gang_shape mShape;
  bool mIdempotent = true; ///< False if the job must not be started twice.
  bool mCheckpointable = false;
  int64_t mExpectedSeconds = 0; ///< As declared by the caller; 0 if not declared.
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

/** Returns whether aState is terminal. */
bool IsFinal(job_state aState);

/** The state of a job, as recorded in the journal. */
struct job_record
{
  std::string mId;
  job_spec mSpec;
  job_state mState = job_state::kQueued;
  std::string mAttempt;           ///< The latest committed attempt, or "".
  int64_t mCommittedAttempts = 0; ///< Number of committed attempts.
  placement mPlacement;
  std::optional<shape_id> mGuaranteed; ///< The guaranteed shape it occupies, if any.
  std::string mReason;                 ///< Why it ended or was requeued, or "".
  std::string mResult;
  std::string mCheckpoint;
  time_point mSubmitted{};
  time_point mStarted{}; ///< When the latest attempt was placed.
  time_point mEnded{};

  auto operator<=>(const job_record&) const = default;
};

/** Parses the body of a submission. Errors name the field in mPeer. Thread-safe. */
result<job_spec> ParseJobSpec(const std::string& aText);

/** Returns the JSON representation of a job for API responses. Thread-safe. */
std::string JobAnswerJson(const job_record& aRecord);

/** Encodes aRecords as the value of one bucket in the store. Thread-safe. */
std::string EncodeBucket(const std::map<std::string, job_record>& aRecords,
                         const std::string& aCommitId);

/** Decodes the output of EncodeBucket; kInvalid if it is malformed. Thread-safe. */
result<std::map<std::string, job_record>> DecodeBucket(const std::string& aText);

} // namespace anvildoor
