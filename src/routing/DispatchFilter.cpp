#include "routing/DispatchFilter.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr duration kQueuePollInterval{ 20 };
constexpr duration kMaxBatchWait{ 2'000 };
constexpr duration kLateReplyWait{ 30'000 };
constexpr int kMaxAttempts = 4;
constexpr uint32_t kStatusOk = 200;
constexpr uint32_t kStatusTooManyRequests = 429;
constexpr uint32_t kStatusUnavailable = 503;
constexpr uint32_t kFirstServerError = 500;
constexpr double kMsPerSecond = 1000.0;

/** An upstream returns 429 or 503 only if it has not started the request. */
bool IsRefusal(uint32_t aStatus)
{
  return aStatus == kStatusTooManyRequests || aStatus == kStatusUnavailable;
}

} // namespace

dispatch_filter::dispatch_filter(event_loop& aLoop,
                                 upstream_pool& aPool,
                                 upstream_port& aPort,
                                 event_log& aLog,
                                 metrics& aMetrics)
  : mLoop(aLoop)
  , mPool(aPool)
  , mPort(aPort)
  , mLog(aLog)
  , mMetrics(aMetrics)
{
}

size_t dispatch_filter::QueuedCount() const
{
  std::lock_guard lock(mMutex);
  return mQueue.size();
}

void dispatch_filter::OnHandle(const shared_request& aRequest, answer_done aDone)
{
  mRetryBudget.OnFirstAttempt(mLoop.Now());
  Enqueue({ aRequest, std::move(aDone), {}, 0, false });
}

void dispatch_filter::Enqueue(queued_request aQueued)
{
  {
    std::lock_guard lock(mMutex);
    mQueue.push_back(std::move(aQueued));
  }
  DispatchQueued();
}

std::list<dispatch_filter::queued_request>::iterator
dispatch_filter::NextRequestLocked()
{
  const auto now = mLoop.Now();
  const auto rank = [now](const queued_request& aItem) {
    const auto& request = *aItem.mRequest;
    const bool isOverdue = request.Spec().mClass == work_class::kBatch &&
                           now - request.ArrivedAt() >= kMaxBatchWait;
    const int classRank = isOverdue ? -1 : static_cast<int>(request.Spec().mClass);
    return std::pair(classRank, request.ArrivedAt());
  };
  return std::min_element(
    mQueue.begin(), mQueue.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
}

void dispatch_filter::DispatchQueued()
{
  for (;;) {
    queued_request next;
    std::optional<upstream_choice> upstream;
    {
      std::lock_guard lock(mMutex);
      const auto chosen = NextRequestLocked();
      if (chosen == mQueue.end()) {
        return;
      }
      if (!chosen->mRequest->IsAbandoned()) {
        upstream = mPool.AcquireSlot(chosen->mTriedUpstreams);
        if (!upstream && !chosen->mTriedUpstreams.empty()) {
          upstream = mPool.AcquireSlot({});
        }
        if (!upstream) {
          ScheduleDispatchLocked();
          return;
        }
      }
      next = std::move(*chosen);
      mQueue.erase(chosen);
    }
    if (!upstream) {
      Answer(next,
             NotRun("dispatch", "", "the deadline passed before the request was sent"));
    } else if (next.mRequest->BeginDispatch()) {
      Send(std::move(next), *upstream);
    } else {
      mPool.ReleaseSlot(upstream->mId, attempt_result::kBusy);
      Answer(next,
             NotRun("dispatch", "", "the deadline passed before the request was sent"));
    }
  }
}

/**
 * Polls, because slots also become free without a reply at this VM: through slow start,
 * returning upstreams and changed shares.
 */
void dispatch_filter::ScheduleDispatchLocked()
{
  if (mDispatchScheduled) {
    return;
  }
  mDispatchScheduled = true;
  mLoop.RunAfter(kQueuePollInterval, [this] {
    {
      std::lock_guard lock(mMutex);
      mDispatchScheduled = false;
    }
    DispatchQueued();
  });
}

void dispatch_filter::Send(queued_request aQueued, const upstream_choice& aUpstream)
{
  const auto& request = *aQueued.mRequest;
  const auto& spec = request.Spec();
  upstream_call call;
  call.mRequestId = request.Id() + "." + std::to_string(++aQueued.mAttempts);
  call.mWorkspace = spec.mWorkspace;
  call.mClass = ToString(spec.mClass);
  call.mPayload = spec.mPayload;
  call.mTimeout = request.Deadline() - mLoop.Now();
  // Wait past the deadline only for non-idempotent requests: repeats of the key return
  // the late reply.
  call.mReplyTimeout =
    call.mTimeout + (spec.mIdempotent ? duration::zero() : kLateReplyWait);
  call.mFreshConnection = !spec.mIdempotent;
  mMetrics.Count("upstream_attempts_total", "class", call.mClass);
  mPort.Execute(aUpstream.mAddress,
                call,
                [this, item = std::move(aQueued), id = aUpstream.mId](
                  const result<upstream_reply>& aReply) { OnReply(item, id, aReply); });
}

void dispatch_filter::OnReply(queued_request aQueued,
                              const std::string& aUpstream,
                              const result<upstream_reply>& aReply)
{
  if (aReply && aReply->mLeaving) {
    mPool.SetLeaving(aUpstream);
  }
  if (aReply && aReply->mStatus == kStatusOk) {
    mPool.ReleaseSlot(aUpstream, attempt_result::kSucceeded);
    request_answer answer;
    answer.mOutcome = request_outcome::kCompleted;
    answer.mResult = aReply->mBody;
    answer.mPeer = aUpstream;
    Answer(aQueued, answer);
  } else if (aReply && IsRefusal(aReply->mStatus)) {
    mPool.ReleaseSlot(aUpstream, attempt_result::kBusy);
    OnRefused(std::move(aQueued), aUpstream);
  } else if (!aReply && aReply.error().mCode == error_code::kUnavailable) {
    mPool.ReleaseSlot(aUpstream, attempt_result::kFailed);
    OnRefused(std::move(aQueued), aUpstream);
  } else if (aReply && aReply->mStatus < kFirstServerError) {
    mPool.ReleaseSlot(aUpstream, attempt_result::kSucceeded);
    request_answer answer;
    answer.mOutcome = request_outcome::kCompleted;
    answer.mResult = aReply->mBody;
    answer.mReason = "the upstream returned status " + std::to_string(aReply->mStatus);
    answer.mPeer = aUpstream;
    Answer(aQueued, answer);
  } else {
    mPool.ReleaseSlot(aUpstream, attempt_result::kFailed);
    OnUnknownOutcome(std::move(aQueued),
                     aUpstream,
                     aReply ? "the upstream returned status " +
                                std::to_string(aReply->mStatus)
                            : aReply.error().mMessage);
  }
  DispatchQueued();
}

/** The attempt certainly did not run, so retrying is safe for every request. */
void dispatch_filter::OnRefused(queued_request aQueued, const std::string& aUpstream)
{
  if (aQueued.mMayHaveRun) {
    OnUnknownOutcome(std::move(aQueued),
                     aUpstream,
                     "an earlier attempt may have run and the retry was refused");
    return;
  }
  aQueued.mRequest->UndoDispatch();
  aQueued.mTriedUpstreams.push_back(aUpstream);
  if (aQueued.mAttempts < kMaxAttempts && mRetryBudget.TryRetry(mLoop.Now())) {
    mMetrics.Count("upstream_retries_total", "reason", "refused");
    Enqueue(std::move(aQueued));
    return;
  }
  // No later attempt can send the request, so "not run" stays correct.
  if (aQueued.mRequest->Abandon() || aQueued.mRequest->IsAbandoned()) {
    Answer(aQueued,
           NotRun("dispatch",
                  aUpstream,
                  "the upstream refused the request or is unreachable"));
  }
}

void dispatch_filter::OnUnknownOutcome(queued_request aQueued,
                                       const std::string& aUpstream,
                                       const std::string& aReason)
{
  aQueued.mMayHaveRun = true;
  aQueued.mTriedUpstreams.push_back(aUpstream);
  const bool isBeforeDeadline = mLoop.Now() < aQueued.mRequest->Deadline();
  if (aQueued.mRequest->Spec().mIdempotent && isBeforeDeadline &&
      aQueued.mAttempts < kMaxAttempts && mRetryBudget.TryRetry(mLoop.Now())) {
    mMetrics.Count("upstream_retries_total", "reason", "failed");
    mLog.Write(log_event("request_retried")
                 .Add("request", aQueued.mRequest->Id())
                 .Add("upstream", aUpstream)
                 .Add("reason", aReason));
    auto choice = mPool.AcquireSlot(aQueued.mTriedUpstreams);
    if (choice) {
      Send(std::move(aQueued), *choice);
      return;
    }
  }
  Answer(aQueued, UnknownOutcome("dispatch", aUpstream, aReason));
}

void dispatch_filter::Answer(const queued_request& aQueued,
                             const request_answer& aAnswer)
{
  const auto& request = *aQueued.mRequest;
  const auto elapsed = static_cast<double>((mLoop.Now() - request.ArrivedAt()).count());
  mMetrics.Observe("request_seconds",
                   request.Spec().mWorkspace,
                   ToString(request.Spec().mClass),
                   elapsed / kMsPerSecond);
  aQueued.mDone(aAnswer);
}

} // namespace anvildoor
