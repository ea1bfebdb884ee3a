#include "routing/DispatchFilter.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr duration kPumpPeriod{ 20 };
constexpr duration kBatchBound{ 2'000 };
constexpr duration kLateAnswer{ 30'000 };
constexpr int kMaxAttempts = 4;
constexpr uint32_t kStatusOk = 200;
constexpr uint32_t kStatusTooMany = 429;
constexpr uint32_t kStatusUnavailable = 503;
constexpr uint32_t kFirstServerError = 500;
constexpr double kMsPerSecond = 1000.0;

/** An upstream returns 429 or 503 only if it has not started the request. */
bool IsRefusal(uint32_t aStatus)
{
  return aStatus == kStatusTooMany || aStatus == kStatusUnavailable;
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

size_t dispatch_filter::Waiting() const
{
  std::lock_guard lock(mMutex);
  return mQueue.size();
}

void dispatch_filter::OnHandle(const shared_request& aRequest, answer_done aDone)
{
  mBudget.OnFirstAttempt(mLoop.Now());
  Enqueue({ aRequest, std::move(aDone), {}, 0, false });
}

void dispatch_filter::Enqueue(pending aPending)
{
  {
    std::lock_guard lock(mMutex);
    mQueue.push_back(std::move(aPending));
  }
  Pump();
}

std::list<dispatch_filter::pending>::iterator dispatch_filter::NextLocked()
{
  const auto now = mLoop.Now();
  const auto rank = [now](const pending& aItem) {
    const auto& request = *aItem.mRequest;
    const bool overdue = request.Spec().mClass == work_class::kBatch &&
                         now - request.Arrived() >= kBatchBound;
    const int order = overdue ? -1 : static_cast<int>(request.Spec().mClass);
    return std::pair(order, request.Arrived());
  };
  return std::min_element(
    mQueue.begin(), mQueue.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
}

void dispatch_filter::Pump()
{
  for (;;) {
    pending next;
    std::optional<upstream_choice> upstream;
    {
      std::lock_guard lock(mMutex);
      const auto chosen = NextLocked();
      if (chosen == mQueue.end()) {
        return;
      }
      if (!chosen->mRequest->IsAbandoned()) {
        upstream = mPool.Take(chosen->mTried);
        if (!upstream && !chosen->mTried.empty()) {
          upstream = mPool.Take({});
        }
        if (!upstream) {
          PumpLaterLocked();
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
      mPool.GiveBack(upstream->mId, upstream_health::kBusy);
      Answer(next,
             NotRun("dispatch", "", "the deadline passed before the request was sent"));
    }
  }
}

/**
 * Polls, because slots also become free without a reply at this VM: through slow start,
 * returning upstreams and changed shares.
 */
void dispatch_filter::PumpLaterLocked()
{
  if (mPumpPending) {
    return;
  }
  mPumpPending = true;
  mLoop.RunAfter(kPumpPeriod, [this] {
    {
      std::lock_guard lock(mMutex);
      mPumpPending = false;
    }
    Pump();
  });
}

void dispatch_filter::Send(pending aPending, const upstream_choice& aUpstream)
{
  const auto& request = *aPending.mRequest;
  const auto& spec = request.Spec();
  upstream_call call;
  call.mRequestId = request.Id() + "." + std::to_string(++aPending.mAttempts);
  call.mWorkspace = spec.mWorkspace;
  call.mClass = ToString(spec.mClass);
  call.mPayload = spec.mPayload;
  call.mTimeout = request.Deadline() - mLoop.Now();
  // Wait past the deadline only for non-idempotent requests: repeats of the key return
  // the late reply.
  call.mWait = call.mTimeout + (spec.mIdempotent ? duration::zero() : kLateAnswer);
  call.mFreshConnection = !spec.mIdempotent;
  mMetrics.Count("upstream_attempts_total", "class", call.mClass);
  mPort.Execute(aUpstream.mAddress,
                call,
                [this, item = std::move(aPending), id = aUpstream.mId](
                  const result<upstream_reply>& aReply) { OnReply(item, id, aReply); });
}

void dispatch_filter::OnReply(pending aPending,
                              const std::string& aUpstream,
                              const result<upstream_reply>& aReply)
{
  if (aReply && aReply->mLeaving) {
    mPool.SetLeaving(aUpstream);
  }
  if (aReply && aReply->mStatus == kStatusOk) {
    mPool.GiveBack(aUpstream, upstream_health::kGood);
    request_answer answer;
    answer.mOutcome = request_outcome::kCompleted;
    answer.mResult = aReply->mBody;
    answer.mPeer = aUpstream;
    Answer(aPending, answer);
  } else if (aReply && IsRefusal(aReply->mStatus)) {
    mPool.GiveBack(aUpstream, upstream_health::kBusy);
    OnRefused(std::move(aPending), aUpstream);
  } else if (!aReply && aReply.error().mCode == error_code::kUnavailable) {
    mPool.GiveBack(aUpstream, upstream_health::kBad);
    OnRefused(std::move(aPending), aUpstream);
  } else if (aReply && aReply->mStatus < kFirstServerError) {
    mPool.GiveBack(aUpstream, upstream_health::kGood);
    request_answer answer;
    answer.mOutcome = request_outcome::kCompleted;
    answer.mResult = aReply->mBody;
    answer.mReason = "the upstream returned status " + std::to_string(aReply->mStatus);
    answer.mPeer = aUpstream;
    Answer(aPending, answer);
  } else {
    mPool.GiveBack(aUpstream, upstream_health::kBad);
    OnUncertain(std::move(aPending),
                aUpstream,
                aReply ? "status " + std::to_string(aReply->mStatus)
                       : aReply.error().mMessage);
  }
  Pump();
}

/** The attempt certainly did not run, so retrying is safe for every request. */
void dispatch_filter::OnRefused(pending aPending, const std::string& aUpstream)
{
  if (aPending.mMayHaveRun) {
    OnUncertain(std::move(aPending),
                aUpstream,
                "an earlier attempt may have run and the retry was refused");
    return;
  }
  aPending.mRequest->UndoDispatch();
  aPending.mTried.push_back(aUpstream);
  if (aPending.mAttempts < kMaxAttempts && mBudget.TryRetry(mLoop.Now())) {
    mMetrics.Count("upstream_retries_total", "reason", "refused");
    Enqueue(std::move(aPending));
    return;
  }
  // No later attempt can send the request, so "not run" stays correct.
  if (aPending.mRequest->Abandon() || aPending.mRequest->IsAbandoned()) {
    Answer(aPending, NotRun("dispatch", aUpstream, "the upstream refused the request"));
  }
}

void dispatch_filter::OnUncertain(pending aPending,
                                  const std::string& aUpstream,
                                  const std::string& aReason)
{
  aPending.mMayHaveRun = true;
  aPending.mTried.push_back(aUpstream);
  const bool inTime = mLoop.Now() < aPending.mRequest->Deadline();
  if (aPending.mRequest->Spec().mIdempotent && inTime &&
      aPending.mAttempts < kMaxAttempts && mBudget.TryRetry(mLoop.Now())) {
    mMetrics.Count("upstream_retries_total", "reason", "failed");
    mLog.Write(log_event("request_retried")
                 .Add("request", aPending.mRequest->Id())
                 .Add("upstream", aUpstream)
                 .Add("reason", aReason));
    auto choice = mPool.Take(aPending.mTried);
    if (choice) {
      Send(std::move(aPending), *choice);
      return;
    }
  }
  Answer(aPending, UnknownOutcome("dispatch", aUpstream, aReason));
}

void dispatch_filter::Answer(const pending& aPending, const request_answer& aAnswer)
{
  const auto& request = *aPending.mRequest;
  const auto spent = static_cast<double>((mLoop.Now() - request.Arrived()).count());
  mMetrics.Observe("request_seconds",
                   request.Spec().mWorkspace,
                   ToString(request.Spec().mClass),
                   spent / kMsPerSecond);
  aPending.mDone(aAnswer);
}

} // namespace anvildoor
