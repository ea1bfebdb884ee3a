#include "routing/DeadlineFilter.h"

#include <atomic>
#include <memory>

namespace anvildoor {

namespace {

request_answer AdjustForEarlierCalls(const active_request& aRequest,
                                     const request_answer& aAnswer)
{
  if (aAnswer.mOutcome != request_outcome::kNotRun || !aRequest.MayHaveRunBefore()) {
    return aAnswer;
  }
  auto answer = aAnswer;
  answer.mOutcome = request_outcome::kUnknown;
  answer.mReason =
    "this call did not run, but an earlier call with the same key may have: " +
    aAnswer.mReason;
  return answer;
}

} // namespace

deadline_filter::deadline_filter(event_loop& aLoop)
  : mLoop(aLoop)
{
}

void deadline_filter::OnHandle(const shared_request& aRequest, answer_done aDone)
{
  auto answered = std::make_shared<std::atomic<bool>>(false);
  const auto answerOnce =
    [answered, aRequest, done = std::move(aDone)](const request_answer& aAnswer) {
      if (!answered->exchange(true)) {
        done(AdjustForEarlierCalls(*aRequest, aAnswer));
      }
    };
  mLoop.RunAfter(aRequest->Deadline() - mLoop.Now(), [aRequest, answerOnce] {
    answerOnce(
      aRequest->Abandon()
        ? NotRun("deadline", "", "the deadline passed before the request was sent")
        : UnknownOutcome("deadline",
                         "",
                         "the request may still be running; retry with the same key"));
  });
  PassToNext(aRequest, answerOnce);
}

} // namespace anvildoor
