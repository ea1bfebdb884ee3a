#include "runs/WorkerRuns.h"
#include "runs/WorkerHealth.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

const task_ref kTask{ "00000000000000a1", 0, 0, 3 };
const task_resources kNeed{ 4'000, 1'000, 1 };
constexpr time_point kStart{ 100'000 };

hold_reply ReplyAt(int64_t aClockMs, int64_t aWorkerStartedAtMs = 7)
{
  hold_reply reply;
  reply.mAnswer = run_request_status::kAccepted;
  reply.mClockMs = aClockMs;
  reply.mStartedAtMs = aWorkerStartedAtMs;
  return reply;
}

hold_reply Running(int64_t aClockMs, uint32_t aRun)
{
  auto reply = ReplyAt(aClockMs);
  reply.mRunning.push_back({ kTask, aRun, "", 10 });
  return reply;
}

hold_reply Ended(int64_t aClockMs, uint64_t aNumber, uint32_t aRun, run_end aEnd)
{
  auto reply = ReplyAt(aClockMs);
  reply.mEnded.push_back({ aNumber, kTask, aRun, aEnd, "saved" });
  return reply;
}

} // namespace

TEST_CASE("a start request may postpone the lease expiry", "[runs]")
{
  struct row
  {
    int64_t mStartAfterMs; // From the last renewal to the start, ms.
    int64_t mMinExpiryMs;  // From the renewal, with a clock 2% slow, ms.
  };
  const auto [startAfterMs, minExpiryMs] = GENERATE(
    row{ 0, 6'122 }, row{ 3'000, 6'122 }, row{ 6'000, 7'530 }, row{ 9'000, 10'530 });
  worker_runs runs{ run_bounds() };
  runs.RecordLeaseRequest(kStart);
  const auto at = kStart + duration(startAfterMs);
  runs.RegisterStart(kTask, 1, kNeed, at);
  runs.RecordStartRequest(kTask, 1, 5'000, at);
  CHECK(runs.LeaseExpiresAt() >= kStart + duration(minExpiryMs));
}

// Guards against leases that outlast what the scheduler's successor waits for.
TEST_CASE("a lease requested after the end of the term's own is as of that end",
          "[runs]")
{
  struct row
  {
    int64_t mAfterMs;                   // From the end of the term's lease, ms.
    std::optional<int64_t> mDeadlineMs; // On the worker's clock.
    int64_t mLatestExpiryMs;            // From the end of the term's lease, ms.
  };
  const auto each = GENERATE(row{ -500, 7'000, 5'873 },
                             row{ 0, 7'000, 6'373 },
                             row{ 1'000, 6'000, 6'373 },
                             row{ 4'000, 3'000, 6'373 },
                             row{ 6'000, std::nullopt, 6'373 });
  const auto at = kStart + duration(each.mAfterMs);
  worker_runs runs{ run_bounds() };
  runs.OnHoldReply(ReplyAt(1'000), at, at);
  CHECK(runs.LeaseDeadlineMs(at, kStart) == each.mDeadlineMs);
  runs.RecordLeaseRequest(at, kStart);
  CHECK(runs.LeaseExpiresAt() <= kStart + duration(each.mLatestExpiryMs));
}

TEST_CASE("a worker has a lease once it has answered a hold that extends it", "[runs]")
{
  worker_runs runs{ run_bounds() };
  runs.OnHoldReply(ReplyAt(1'000), kStart, kStart);
  CHECK(runs.HasAcceptedToken());
  CHECK_FALSE(runs.HasLease());
  runs.RecordLeaseRequest(kStart);
  runs.OnHoldReply(ReplyAt(1'100), kStart, kStart + duration(100));
  CHECK(runs.HasLease());
  runs.DropAll(run_end::kLeaseExpired);
  CHECK_FALSE(runs.HasLease());
}

TEST_CASE("a refused start ends the run, an uncertain answer keeps it", "[runs]")
{
  struct row
  {
    run_request_status mAnswer;
    bool mNotStarted; // The run can never have started.
  };
  const auto [answer, notStarted] =
    GENERATE(row{ run_request_status::kAccepted, false },
             row{ run_request_status::kNoAnswer, false },
             row{ run_request_status::kOutdatedRun, false },
             row{ run_request_status::kWrongInstance, false },
             row{ run_request_status::kLate, true },
             row{ run_request_status::kNoCapacity, true },
             row{ run_request_status::kUnhealthy, true },
             row{ run_request_status::kInvalid, true },
             row{ run_request_status::kNotSent, true });
  CAPTURE(ToString(answer));
  worker_runs runs{ run_bounds() };
  runs.RegisterStart(kTask, 1, kNeed, kStart);
  const auto events = runs.OnStartAnswer(kTask, 1, answer, kStart);
  CHECK(events.size() == (notStarted ? 1 : 0));
  CHECK(runs.Runs().empty() == notStarted);
}

TEST_CASE("a complete hold reply resolves a start request without an answer", "[runs]")
{
  struct row
  {
    int64_t mClock; // Worker clock in the reply, ms; the start deadline is 5'000.
    bool mListed;
    bool mStopAnswered;
    size_t mEvents;
    bool mStays;
  };
  const auto [clock, listed, stopAnswered, events, stays] = GENERATE(
    row{ 4'000, false, false, 0, true }, // The start may still be carried out.
    row{ 5'000, false, false, 0, true },
    row{ 5'001, false, false, 1, false }, // The deadline has passed.
    row{ 4'000, true, false, 0, true },
    row{ 6'000, true, false, 0, true },
    row{ 4'000, false, true, 1, false }); // The accepted stop prevents the start.
  worker_runs runs{ run_bounds() };
  runs.RegisterStart(kTask, 1, kNeed, kStart);
  runs.RecordStartRequest(kTask, 1, 5'000, kStart);
  runs.OnStartAnswer(kTask, 1, run_request_status::kNoAnswer, kStart + duration(900));
  if (stopAnswered) {
    runs.MarkStopping(kTask, 1, kStart + duration(900));
    runs.OnStopAnswer(kTask, 1, run_request_status::kAccepted, kStart + duration(950));
  }
  const auto sentAt = kStart + duration(1'000);
  const auto seen = runs.OnHoldReply(
    listed ? Running(clock, 1) : ReplyAt(clock), sentAt, sentAt + duration(1));
  CHECK(seen.size() == events);
  CHECK(runs.Runs().empty() != stays);
}

TEST_CASE("a confirmed run that is no longer listed is lost", "[runs]")
{
  worker_runs runs{ run_bounds() };
  runs.RegisterStart(kTask, 1, kNeed, kStart);
  runs.OnStartAnswer(kTask, 1, run_request_status::kAccepted, kStart + duration(5));
  // A reply to a hold sent before the start was confirmed may not list the run yet.
  CHECK(
    runs.OnHoldReply(ReplyAt(100), kStart + duration(2), kStart + duration(9)).empty());
  const auto events =
    runs.OnHoldReply(ReplyAt(200), kStart + duration(50), kStart + duration(60));
  REQUIRE(events.size() == 1);
  CHECK(events.front().mEnd == run_end::kLost);
  CHECK(runs.UsedResources() == task_resources{});
}

TEST_CASE("a new worker incarnation has lost all earlier runs", "[runs]")
{
  worker_runs runs{ run_bounds() };
  runs.RegisterStart(kTask, 1, kNeed, kStart);
  runs.OnHoldReply(Running(100, 1), kStart, kStart);
  const auto events = runs.OnHoldReply(ReplyAt(5, 8), kStart, kStart + duration(1));
  REQUIRE(events.size() == 1);
  CHECK(events.front().mEnd == run_end::kLost);
}

// Guards against runs of a new life that are given up, and repeated, with the former's.
TEST_CASE("a worker's new life keeps the runs that it has or may still get", "[runs]")
{
  enum class start
  {
    kNotSent,
    kUnanswered,
    kAccepted,           // Before the hold was sent.
    kAcceptedAfterwards, // After the hold was sent.
  };
  enum class listed
  {
    kNo,
    kRunning,
    kDone,
  };
  struct row
  {
    start mStart;
    listed mListed;
    size_t mEvents;
    run_end mEnd; // Of the only event.
    bool mStays;
    bool mStopping;
  };
  const auto [started, isListed, events, end, stays, stopping] = GENERATE(
    row{ start::kNotSent, listed::kNo, 0, run_end::kLost, true, false },
    row{ start::kUnanswered, listed::kNo, 0, run_end::kLost, true, true },
    row{ start::kAccepted, listed::kNo, 1, run_end::kLost, false, false },
    row{ start::kAcceptedAfterwards, listed::kNo, 0, run_end::kLost, true, false },
    row{ start::kUnanswered, listed::kRunning, 0, run_end::kLost, true, false },
    row{ start::kAccepted, listed::kRunning, 0, run_end::kLost, true, false },
    row{ start::kUnanswered, listed::kDone, 1, run_end::kDone, false, false },
    row{ start::kAccepted, listed::kDone, 1, run_end::kDone, false, false });
  CAPTURE(static_cast<int>(started), static_cast<int>(isListed));
  worker_runs runs{ run_bounds() };
  runs.OnHoldReply(ReplyAt(90'000), kStart, kStart);
  runs.RegisterStart(kTask, 1, kNeed, kStart);
  const auto sentAt = kStart + duration(100);
  if (started != start::kNotSent) {
    runs.RecordStartRequest(kTask, 1, 91'500, kStart);
  }
  if (started == start::kAccepted || started == start::kAcceptedAfterwards) {
    const auto answeredAt = sentAt + duration(started == start::kAccepted ? -50 : 50);
    runs.OnStartAnswer(kTask, 1, run_request_status::kAccepted, answeredAt);
  }
  auto reply = ReplyAt(60, 8);
  if (isListed == listed::kRunning) {
    reply.mRunning.push_back({ kTask, 1, "", 10 });
  } else if (isListed == listed::kDone) {
    reply.mEnded.push_back({ 1, kTask, 1, run_end::kDone, "" });
  }
  const auto seen = runs.OnHoldReply(reply, sentAt, sentAt + duration(200));
  REQUIRE(seen.size() == events);
  if (events != 0) {
    CHECK(seen.front().mEnd == end);
  }
  const auto run = runs.Runs().find(kTask);
  CHECK((run != runs.Runs().end()) == stays);
  if (stays) {
    CHECK(run->second.mStopping == stopping);
  }
}

TEST_CASE("a clock behind the one that is expected is of another life", "[runs]")
{
  struct row
  {
    int64_t mClockMs;
    int64_t mSentAfterMs; // From the last reply to a hold, whose clock was 90'000.
    bool mIsOfOtherLife;
  };
  const auto each = GENERATE(row{ 91'000, 1'000, false },
                             row{ 90'979, 1'000, false }, // 2 % slow.
                             row{ 90'970, 1'000, true },
                             row{ 300, 1'000, true },
                             row{ 89'800, -200, false }, // Overtaken by the reply.
                             row{ 300, -200, true },
                             row{ 0, 1'000, false }); // Unknown.
  CAPTURE(each.mClockMs, each.mSentAfterMs);
  worker_runs runs{ run_bounds() };
  CHECK_FALSE(runs.IsOfOtherLife(each.mClockMs, kStart));
  runs.OnHoldReply(ReplyAt(90'000), kStart, kStart);
  const auto sentAt = kStart + duration(each.mSentAfterMs);
  CHECK(runs.IsOfOtherLife(each.mClockMs, sentAt) == each.mIsOfOtherLife);
}

// Guards against a lease that a start meant for a former life gives the new one.
TEST_CASE("what a former life was sent may have given the new one the longest lease",
          "[runs]")
{
  enum class sign
  {
    kNone,
    kHold,          // Its reply shows the new life.
    kOther,         // Another sign is noticed.
    kAnswerAfterIt, // The start is answered after a hold has shown the new life.
  };
  struct row
  {
    sign mSign;
    run_request_status mAnswer; // Of kAnswerAfterIt.
    int64_t mLeaseAfterMs;      // From the sign to the end of the lease, at least, ms.
  };
  const auto each =
    GENERATE(row{ sign::kHold, {}, 6'122 },
             row{ sign::kOther, {}, 6'122 },
             row{ sign::kAnswerAfterIt, run_request_status::kAccepted, 6'122 },
             row{ sign::kAnswerAfterIt, run_request_status::kNoAnswer, 6'122 },
             row{ sign::kAnswerAfterIt, run_request_status::kNotSent, -1 },
             row{ sign::kNone, {}, -1 });
  CAPTURE(static_cast<int>(each.mSign), ToString(each.mAnswer));
  worker_runs runs{ run_bounds() };
  runs.OnHoldReply(ReplyAt(90'000), kStart, kStart);
  runs.RegisterStart(kTask, 1, kNeed, kStart);
  runs.RecordStartRequest(kTask, 1, 91'500, kStart);
  const auto at = kStart + duration(7'000);
  const auto replyAt = each.mSign == sign::kHold ? at : kStart + duration(10);
  if (each.mSign == sign::kHold || each.mSign == sign::kAnswerAfterIt) {
    runs.OnHoldReply(ReplyAt(60, 8), replyAt - duration(2), replyAt);
  }
  if (each.mSign == sign::kOther) {
    runs.SuspectNewLife(at);
  } else if (each.mSign == sign::kAnswerAfterIt) {
    runs.OnStartAnswer(kTask, 1, each.mAnswer, at);
  }
  const auto lease = runs.LeaseExpiresAt() - at;
  CAPTURE(lease.count());
  CHECK((lease >= duration(6'122)) == (each.mLeaseAfterMs >= 6'122));
}

TEST_CASE(
  "a worker of which a new life is suspected gets no lease until it has answered",
  "[runs]")
{
  const auto lifeMs = GENERATE(7, 8);
  worker_runs runs{ run_bounds() };
  runs.RecordLeaseRequest(kStart);
  runs.OnHoldReply(ReplyAt(90'000), kStart, kStart);
  runs.SuspectNewLife(kStart);
  CHECK(runs.IsLifeUnknown());
  CHECK_FALSE(runs.HasLease());
  CHECK_FALSE(runs.LeaseDeadlineMs(kStart));
  runs.OnHoldReply(ReplyAt(90'010, lifeMs), kStart, kStart + duration(10));
  CHECK_FALSE(runs.IsLifeUnknown());
  CHECK(runs.HasLease() == (lifeMs == 7));
  CHECK(runs.LeaseDeadlineMs(kStart + duration(10)) == 96'010);
}

// Guards against a start that is ruled out by a stop which another life has answered.
TEST_CASE("a stop that a former life answered rules out no start on the new one",
          "[runs]")
{
  const auto isAnsweredByNewLife = GENERATE(false, true);
  CAPTURE(isAnsweredByNewLife);
  worker_runs runs{ run_bounds() };
  runs.OnHoldReply(ReplyAt(90'000), kStart, kStart);
  runs.RegisterStart(kTask, 1, kNeed, kStart);
  runs.RecordStartRequest(kTask, 1, 91'500, kStart);
  runs.OnStartAnswer(kTask, 1, run_request_status::kNoAnswer, kStart + duration(900));
  runs.MarkStopping(kTask, 1, kStart + duration(900));
  runs.OnStopAnswer(kTask, 1, run_request_status::kAccepted, kStart + duration(910));
  const auto restartedAt = kStart + duration(1'000);
  CHECK(runs.OnHoldReply(ReplyAt(60, 8), restartedAt, restartedAt).empty());
  if (isAnsweredByNewLife) {
    const auto stoppedAt = restartedAt + duration(5);
    runs.OnStopAnswer(kTask, 1, run_request_status::kAccepted, stoppedAt);
  }
  const auto heldAt = restartedAt + duration(10);
  const auto events = runs.OnHoldReply(ReplyAt(70, 8), heldAt, heldAt);
  CHECK(runs.Runs().empty() == isAnsweredByNewLife);
  CHECK(events.size() == (isAnsweredByNewLife ? 1 : 0));
}

// Guards against ends that a new life forgets, unread, for a former life's number.
TEST_CASE("nothing is acknowledged while another life may have unread ends", "[runs]")
{
  enum class start
  {
    kNone,
    kNotSent,
    kUnanswered,
    kAccepted,
    kListed, ///< By a hold, as running.
  };
  struct row
  {
    start mStart;
    bool mIsNewLifeSuspected;
    uint64_t mAcknowledged;
  };
  const auto each = GENERATE(row{ start::kNone, false, 3 },
                             row{ start::kNotSent, false, 3 },
                             row{ start::kUnanswered, false, 0 },
                             row{ start::kAccepted, false, 3 },
                             row{ start::kListed, false, 3 },
                             row{ start::kNone, true, 0 },
                             row{ start::kAccepted, true, 0 });
  CAPTURE(static_cast<int>(each.mStart), each.mIsNewLifeSuspected);
  worker_runs runs{ run_bounds() };
  auto other = kTask;
  other.mIndex = 1;
  auto reply = ReplyAt(90'000);
  reply.mEnded.push_back({ 3, other, 1, run_end::kDone, "" });
  runs.OnHoldReply(reply, kStart, kStart);
  runs.MarkDurable(7, 3);
  runs.RegisterStart(kTask, 1, kNeed, kStart);
  if (each.mStart != start::kNone && each.mStart != start::kNotSent) {
    runs.RecordStartRequest(kTask, 1, 91'500, kStart);
  }
  if (each.mStart == start::kAccepted) {
    runs.OnStartAnswer(kTask, 1, run_request_status::kAccepted, kStart + duration(5));
  } else if (each.mStart == start::kListed) {
    runs.OnHoldReply(Running(90'010, 1), kStart + duration(5), kStart + duration(10));
  }
  if (each.mIsNewLifeSuspected) {
    runs.SuspectNewLife(kStart + duration(20));
  }
  CHECK(runs.SendableAcknowledgement() == each.mAcknowledged);
  CHECK(runs.HasUnsentAcknowledgement() == (each.mAcknowledged != 0));
}

// Guards against a start that its worker's new life carries out after it was given up.
TEST_CASE("a start without an answer may still reach its worker's new life", "[runs]")
{
  struct row
  {
    run_request_status mAnswer;
    int64_t mRestartedAfterMs; // From the start to the first list of the new life.
    bool mMayStart;
  };
  const auto each = GENERATE(row{ run_request_status::kNoAnswer, 3'000, true },
                             row{ run_request_status::kNoAnswer, 12'000, true },
                             row{ run_request_status::kNoAnswer, 14'000, false },
                             row{ run_request_status::kLate, 3'000, false },
                             row{ run_request_status::kAccepted, 3'000, false });
  CAPTURE(ToString(each.mAnswer), each.mRestartedAfterMs);
  worker_runs runs{ run_bounds() };
  runs.OnHoldReply(ReplyAt(90'000), kStart, kStart);
  runs.RegisterStart(kTask, 1, kNeed, kStart);
  runs.RecordStartRequest(kTask, 1, 91'500, kStart);
  runs.OnStartAnswer(kTask, 1, each.mAnswer, kStart + duration(900));
  const auto ruledOutAt = kStart + duration(2'000);
  runs.OnHoldReply(ReplyAt(92'000), ruledOutAt, ruledOutAt);
  CHECK(runs.Runs().empty());
  const auto restartedAt = kStart + duration(each.mRestartedAfterMs);
  const auto events = runs.OnHoldReply(ReplyAt(60, 8), restartedAt, restartedAt);
  REQUIRE(events.size() == (each.mMayStart ? 1 : 0));
  if (each.mMayStart) {
    CHECK(events.front().mKind == run_event::kind::kMayStart);
    CHECK(events.front().mTask == kTask);
    CHECK(events.front().mRun == 1);
  }
}

// Guards against a worker whose full list of ends is never acknowledged.
TEST_CASE("a start without an answer withholds acknowledgements until its deadline",
          "[runs]")
{
  struct row
  {
    int64_t mClockMs; // In the last reply, which is incomplete; the deadline is 91'500.
    int64_t mLifeMs;
    uint64_t mAcknowledged;
  };
  const auto each = GENERATE(row{ 91'000, 7, 0 },
                             row{ 91'500, 7, 0 },
                             row{ 91'501, 7, 3 },
                             row{ 60, 8, 3 }); // The numbers of its own life.
  CAPTURE(each.mClockMs, each.mLifeMs);
  worker_runs runs{ run_bounds() };
  runs.OnHoldReply(ReplyAt(90'000), kStart, kStart);
  runs.RegisterStart(kTask, 1, kNeed, kStart);
  runs.RecordStartRequest(kTask, 1, 91'500, kStart);
  runs.OnStartAnswer(kTask, 1, run_request_status::kNoAnswer, kStart + duration(900));
  auto other = kTask;
  other.mIndex = 1;
  auto reply = ReplyAt(each.mClockMs, each.mLifeMs);
  reply.mComplete = false;
  reply.mEnded.push_back({ 3, other, 1, run_end::kDone, "" });
  const auto at = kStart + duration(1'600);
  runs.OnHoldReply(reply, at, at);
  runs.MarkDurable(each.mLifeMs, 3);
  CHECK(runs.SendableAcknowledgement() == each.mAcknowledged);
}

// Guards against ends of a new life that a late hold of its former life acknowledges.
TEST_CASE("an acknowledgement is sent until a hold that carries it is answered",
          "[runs]")
{
  const auto isAnswered = GENERATE(false, true);
  CAPTURE(isAnswered);
  worker_runs runs{ run_bounds() };
  auto reply = ReplyAt(90'000);
  reply.mEnded.push_back({ 3, kTask, 1, run_end::kDone, "" });
  runs.OnHoldReply(reply, kStart, kStart);
  runs.MarkDurable(7, 3);
  CHECK(runs.SendableAcknowledgement() == 3);
  runs.RecordAckSent(3);
  if (isAnswered) {
    runs.RecordAckAnswered(3);
  }
  CHECK(runs.SendableAcknowledgement() == (isAnswered ? 0 : 3));
  CHECK_FALSE(runs.HasUnsentAcknowledgement());
  reply.mEnded.front().mNumber = 4;
  runs.OnHoldReply(reply, kStart + duration(10), kStart + duration(10));
  runs.MarkDurable(7, 4);
  CHECK(runs.SendableAcknowledgement() == 4);
  CHECK(runs.HasUnsentAcknowledgement());
}

TEST_CASE("ends are acknowledged in order once they are durable", "[runs]")
{
  worker_runs runs{ run_bounds() };
  auto reply = ReplyAt(100);
  for (uint64_t number = 1; number <= 3; ++number) {
    auto task = kTask;
    task.mIndex = static_cast<uint32_t>(number);
    reply.mEnded.push_back({ number, task, 1, run_end::kDone, "" });
  }
  CHECK(runs.OnHoldReply(reply, kStart, kStart).size() == 3);
  CHECK(runs.OnHoldReply(reply, kStart, kStart).empty()); // Repeated ends are ignored.
  runs.MarkDurable(7, 2);
  CHECK(runs.Acknowledged() == 0);
  runs.MarkDurable(7, 1);
  CHECK(runs.Acknowledged() == 2);
  runs.MarkDurable(6, 3); // From an earlier incarnation.
  CHECK(runs.Acknowledged() == 2);
  runs.MarkDurable(7, 3);
  CHECK(runs.Acknowledged() == 3);
}

TEST_CASE("the end of a run frees its resources, and an unexpected run is reported",
          "[runs]")
{
  worker_runs runs{ run_bounds() };
  runs.RegisterStart(kTask, 2, kNeed, kStart);
  CHECK(runs.UsedResources() == kNeed);
  const auto found = runs.OnHoldReply(Running(10, 1), kStart, kStart);
  REQUIRE(found.size() == 1);
  CHECK(found.front().mKind == run_event::kind::kUnexpected);
  runs.OnHoldReply(Ended(20, 1, 1, run_end::kStopped), kStart, kStart);
  CHECK(runs.UsedResources() == kNeed); // The end of the older run is ignored.
  runs.OnHoldReply(Ended(30, 2, 2, run_end::kDone), kStart, kStart);
  CHECK(runs.UsedResources() == task_resources{});
}

TEST_CASE("the first reply after a takeover confirms or drops a stored run", "[runs]")
{
  struct row
  {
    bool mListed;
    bool mStays;
  };
  const auto [listed, stays] = GENERATE(row{ true, true }, row{ false, false });
  worker_runs runs{ run_bounds() };
  runs.RegisterExisting(kTask, 4, kNeed, kStart);
  runs.OnHoldReply(listed ? Running(50, 4) : ReplyAt(50), kStart, kStart + duration(2));
  CHECK(runs.Runs().empty() != stays);
}

TEST_CASE("failures of several jobs suspend a worker, those of one job do not",
          "[runs]")
{
  struct row
  {
    std::vector<std::string> mFailed;
    bool mAccepts;
  };
  const auto [failed, accepts] = GENERATE(row{ {}, true },
                                          row{ { "a" }, true },
                                          row{ { "a", "a", "a" }, true },
                                          row{ { "a", "b" }, false });
  worker_health health;
  for (const auto& job : failed) {
    health.OnFailed(job, kStart);
  }
  CHECK(health.AcceptsRuns(kStart, 0) == accepts);
  // After the suspension it gets one trial run, then any number once that completes.
  const auto later = kStart + duration(5'000);
  CHECK(health.AcceptsRuns(later, 0));
  CHECK(health.AcceptsRuns(later, 1) == accepts);
  health.OnDone();
  CHECK(health.AcceptsRuns(later, 5));
}

TEST_CASE("a missing entry means deregistered only if it can't have expired", "[runs]")
{
  struct row
  {
    int64_t mHeartbeatAgeMs; // At most; the period is 1.5 s. -1: unknown.
    bool mHasDeregistered;
  };
  const auto [heartbeatAgeMs, hasDeregistered] = GENERATE(row{ 700, true },
                                                          row{ 2'900, true },
                                                          row{ 3'749, true },
                                                          row{ 3'750, false },
                                                          row{ 4'500, false },
                                                          row{ -1, false });
  CAPTURE(heartbeatAgeMs);
  entry_observation observation;
  observation.mHeartbeatSince =
    heartbeatAgeMs < 0 ? time_point(0) : kStart - duration(heartbeatAgeMs);
  CHECK(HasDeregistered(observation, duration(1'500), kStart) == hasDeregistered);
}

// Guards against taking the time at which a heartbeat is read for that of its writing.
TEST_CASE("a heartbeat may be as old as the last list without it", "[runs]")
{
  struct row
  {
    std::vector<std::pair<int64_t, uint64_t>> mLists; // Request time and heartbeat.
    int64_t mHeartbeatSinceMs;                        // 0: unknown.
  };
  const auto [lists, heartbeatSinceMs] =
    GENERATE(row{ { { 700, 1 } }, 0 },
             row{ { { 700, 1 }, { 1'400, 1 } }, 0 },
             row{ { { 700, 1 }, { 1'400, 2 } }, 700 },
             row{ { { 700, 1 }, { 1'400, 2 }, { 2'100, 2 } }, 700 },
             row{ { { 700, 1 }, { 1'400, 1 }, { 2'100, 2 } }, 1'400 },
             row{ { { 700, 1 }, { 4'900, 2 } }, 700 }); // After a gap.
  entry_observation observation;
  bool wasListed = false;
  for (const auto& [requestedAt, heartbeat] : lists) {
    ObserveEntry(observation, 7, heartbeat, wasListed, time_point(requestedAt));
    wasListed = true;
  }
  CHECK(observation.mHeartbeatSince == time_point(heartbeatSinceMs));
  // An entry that was away for a time counts as read for the first time.
  ObserveEntry(observation, 7, 7, false, time_point(9'000));
  CHECK(observation.mHeartbeatSince == time_point(0));
}

// Guards against runs that are given up while they go on, as an entry went with a life.
TEST_CASE("a worker that has just started again has not left when its entry is missing",
          "[runs]")
{
  struct row
  {
    int64_t mStartedAtMs;   // That the later lists show; first it was 7, 0: unknown.
    int64_t mNewHeartbeats; // Number of lists with a new heartbeat, each 700 ms.
    bool mHasDeregistered;
  };
  const auto each = GENERATE(row{ 7, 1, true },
                             row{ 7, 9, true },
                             row{ 0, 1, false },
                             row{ 8, 1, false },
                             row{ 8, 5, false },
                             row{ 8, 7, false },
                             row{ 8, 9, true });
  CAPTURE(each.mStartedAtMs, each.mNewHeartbeats);
  constexpr duration kListPeriod{ 700 };
  entry_observation observation;
  ObserveEntry(observation, 7, 100, true, kStart);
  auto at = kStart;
  for (int64_t list = 1; list <= each.mNewHeartbeats; ++list) {
    at += kListPeriod;
    ObserveEntry(observation, each.mStartedAtMs, static_cast<uint64_t>(list), true, at);
  }
  CHECK(HasDeregistered(observation, duration(1'500), at + kListPeriod) ==
        each.mHasDeregistered);
}
