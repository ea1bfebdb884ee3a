#include "routing/Request.h"

namespace anvildoor {

const char* ToString(request_outcome aOutcome)
{
  switch (aOutcome) {
    case request_outcome::kCompleted:
      return "completed";
    case request_outcome::kNotRun:
      return "not_run";
    case request_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

active_request::active_request(std::string aId,
                               request_spec aSpec,
                               time_point aArrivedAt)
  : mId(std::move(aId))
  , mSpec(std::move(aSpec))
  , mArrivedAt(aArrivedAt)
  , mMayHaveRunBefore(!mSpec.mIdempotent && !mSpec.mFirstCall)
{
}

bool active_request::BeginDispatch()
{
  auto expected = stage::kWaiting;
  return mStage.compare_exchange_strong(expected, stage::kDispatched);
}

void active_request::UndoDispatch()
{
  auto expected = stage::kDispatched;
  mStage.compare_exchange_strong(expected, stage::kWaiting);
}

bool active_request::Abandon()
{
  auto expected = stage::kWaiting;
  return mStage.compare_exchange_strong(expected, stage::kAbandoned);
}

bool active_request::IsAbandoned() const
{
  return mStage == stage::kAbandoned;
}

request_answer NotRun(std::string aStep, std::string aPeer, std::string aReason)
{
  return { request_outcome::kNotRun, {},
           std::move(aReason),       std::move(aStep),
           std::move(aPeer),         duration(1'000) };
}

request_answer UnknownOutcome(std::string aStep, std::string aPeer, std::string aReason)
{
  return { request_outcome::kUnknown, {},         std::move(aReason), std::move(aStep),
           std::move(aPeer),          duration(0) };
}

} // namespace anvildoor
