#include "support/FakeSite.h"

#include <catch2/catch.hpp>
#include <random>

using namespace anvildoor;

namespace {

std::string BookingBody(const std::string& aKey, bool aFirstCall)
{
  return R"({"workspace":"gyms","idempotent":false,"deadline_ms":3000,"repeat":)" +
         std::string(aFirstCall ? "false" : "true") + R"(,"payload":")" + aKey + "\"}";
}

size_t RunsOf(const fake_site& aSite, const std::string& aPayload)
{
  return static_cast<size_t>(
    std::count_if(aSite.Runs().begin(), aSite.Runs().end(), [&](const auto& aRun) {
      return aRun.mPayload == aPayload;
    }));
}

/**
 * Simulates callers that book slots and repeat their keys at any VM. Checks each
 * reported outcome against the recorded runs.
 */
class booking_load
{
public:
  booking_load(fake_site& aSite, uint32_t aSeed)
    : mSite(aSite)
    , mRandom(aSeed)
  {
  }

  void SendBooking()
  {
    const auto vms = mSite.RunningVms("alpha");
    const bool isNew = mKeys.empty() || mRandom() % 3 != 0;
    if (vms.empty()) {
      return;
    }
    if (isNew) {
      mKeys.push_back("slot " + std::to_string(mKeys.size()));
    }
    const auto key = isNew ? mKeys.back() : mKeys[mRandom() % mKeys.size()];
    const auto& vm = vms[mRandom() % vms.size()];
    if (!isNew) {
      AbandonFirstCall(key);
    }
    mOpenCalls.push_back(
      { key,
        isNew,
        mSite.SendCall(
          vm,
          WorkspaceCall(
            "gyms", "POST", "/v1/requests", BookingBody(key, isNew), key)) });
  }

  /** Checks the answers that have arrived against the runs so far. */
  void CheckAnswers()
  {
    for (auto it = mOpenCalls.begin(); it != mOpenCalls.end();) {
      if (it->mAnswer->mStatus == 0) {
        ++it;
        continue;
      }
      CheckAnswer(*it);
      it = mOpenCalls.erase(it);
    }
  }

  void CheckFinalState() const
  {
    for (const auto& key : mKeys) {
      INFO(key);
      CHECK(RunsOf(mSite, key) <= 1);
      // A killed VM may have run a later call with the key; that call is still open.
      if (mNotRunKeys.count(key) != 0 && !HasOpenCall(key)) {
        CHECK(RunsOf(mSite, key) == 0);
      }
    }
  }

  int CompletedCount() const { return mCompletedCount; }
  int NotRunCount() const { return mNotRunCount; }

private:
  struct open_call
  {
    std::string mKey;
    bool mIsFirstCall = false;
    std::shared_ptr<api_response> mAnswer;
  };

  /**
   * Drops the unanswered first call with a key. A caller that marked a call as the
   * first one may repeat its key only after that call was answered or abandoned. The
   * answer to an abandoned call is ignored.
   */
  void AbandonFirstCall(const std::string& aKey)
  {
    const auto abandonedCount = std::erase_if(mOpenCalls, [&](const auto& aCall) {
      return aCall.mIsFirstCall && aCall.mKey == aKey && aCall.mAnswer->mStatus == 0;
    });
    if (abandonedCount != 0) {
      mAbandonedKeys.insert(aKey);
    }
  }

  bool HasOpenCall(const std::string& aKey) const
  {
    return mAbandonedKeys.count(aKey) != 0 ||
           std::any_of(mOpenCalls.begin(), mOpenCalls.end(), [&](const auto& aCall) {
             return aCall.mKey == aKey;
           });
  }

  void CheckAnswer(const open_call& aCall)
  {
    const auto& body = aCall.mAnswer->mBody;
    const auto outcome = JsonText(body, "outcome");
    INFO(aCall.mKey << ": " << body);
    if (outcome == "completed") {
      ++mCompletedCount;
      mNotRunKeys.erase(aCall.mKey);
      CHECK(JsonText(body, "result") == "answer to " + aCall.mKey);
    } else if (outcome == "not_run") {
      ++mNotRunCount;
      CHECK(RunsOf(mSite, aCall.mKey) == 0);
      mNotRunKeys.insert(aCall.mKey);
    } else {
      mNotRunKeys.erase(aCall.mKey);
    }
  }

  fake_site& mSite;
  std::mt19937 mRandom;
  std::vector<std::string> mKeys;
  std::vector<open_call> mOpenCalls;
  std::set<std::string> mNotRunKeys;
  std::set<std::string> mAbandonedKeys;
  int mCompletedCount = 0;
  int mNotRunCount = 0;
};

void RandomFault(fake_site& aSite, std::mt19937& aRandom)
{
  auto faults = aSite.Store().Faults();
  const auto vms = aSite.RunningVms("alpha");
  switch (aRandom() % 8) {
    case 0:
      faults.mDown = !faults.mDown;
      aSite.Store().SetFaults(faults);
      break;
    case 1:
      faults.mLoseAnswers = aRandom() % 5;
      aSite.Store().SetFaults(faults);
      break;
    case 2:
      faults.mLatency = duration(aRandom() % 2 == 0 ? 2 : 700);
      aSite.Store().SetFaults(faults);
      break;
    case 3:
      if (!vms.empty()) {
        aSite.KillVm(vms[aRandom() % vms.size()]);
      }
      break;
    case 4:
      aSite.StartAll();
      break;
    case 5:
      aSite.Upstream("alpha-u1").mLoseAnswers = aRandom() % 4;
      break;
    case 6:
      aSite.Upstream("alpha-u2").mRefusesConnections = aRandom() % 2 == 0;
      break;
    default:
      aSite.Upstream("alpha-u1").mWorkTime = duration(aRandom() % 2 == 0 ? 20 : 4'000);
      break;
  }
}

struct workspace_fixture
{
  explicit workspace_fixture(const fake_settings& aSettings = {})
    : mSite(aSettings)
  {
    mSite.StartAll();
    REQUIRE(mSite.WaitForScheduler());
    REQUIRE(mSite.PutWorkspace("alpha-e1", "gyms").mStatus == 200);
    mSite.Loop().RunFor(duration(12'000)); // Let the upstreams finish slow start.
  }

  api_call RequestCall(const std::string& aClass, const std::string& aPayload) const
  {
    return WorkspaceCall("gyms",
                         "POST",
                         "/v1/requests",
                         R"({"workspace":"gyms","class":")" + aClass +
                           R"(","payload":")" + aPayload + "\"}");
  }

  fake_site mSite;
};

} // namespace

TEST_CASE("bookings run at most once and outcomes are correct under random faults")
{
  const auto seed = GENERATE(range<uint32_t>(1, 101));
  workspace_fixture fixture;
  auto& site = fixture.mSite;
  booking_load load(site, seed);
  std::mt19937 random(seed * 7919UL);
  for (int step = 0; step < 300; ++step) {
    load.SendBooking();
    if (step % 10 == 9) {
      RandomFault(site, random);
    }
    site.Loop().RunFor(duration(random() % 200));
    load.CheckAnswers();
  }
  site.Store().SetFaults({});
  site.StartAll();
  site.Loop().RunFor(std::chrono::seconds(90));
  load.CheckAnswers();
  load.CheckFinalState();
  CHECK(load.CompletedCount() > 0);
}

TEST_CASE("a store outage fails only non-idempotent requests, with a correct outcome")
{
  struct row
  {
    const char* mBody;
    uint32_t mStatus;
    const char* mOutcome;
    size_t mRuns;
  };
  const auto item = GENERATE(
    row{ R"({"workspace":"gyms","payload":"p"})", 200, "completed", 1 },
    row{ R"({"workspace":"gyms","payload":"p","idempotent":false,"repeat":false})",
         503,
         "not_run",
         0 },
    row{
      R"({"workspace":"gyms","payload":"p","idempotent":false})", 504, "unknown", 0 });
  workspace_fixture fixture;
  store_faults down;
  down.mDown = true;
  fixture.mSite.Store().SetFaults(down);
  fixture.mSite.Loop().RunFor(duration(20'000));
  const auto startTime = fixture.mSite.Loop().Now();
  const auto answer = fixture.mSite.Call(
    "alpha-e2", WorkspaceCall("gyms", "POST", "/v1/requests", item.mBody, "k"));
  CHECK(answer.mStatus == item.mStatus);
  CHECK(JsonText(answer.mBody, "outcome") == item.mOutcome);
  CHECK(RunsOf(fixture.mSite, "p") == item.mRuns);
  CHECK(fixture.mSite.Loop().Now() - startTime <= duration(1'000));
}

TEST_CASE("retries are bounded when every upstream fails")
{
  const bool refuses = GENERATE(true, false);
  workspace_fixture fixture;
  for (const auto& id : fixture.mSite.UpstreamIds()) {
    fixture.mSite.Upstream(id).mStatus = 500;
    fixture.mSite.Upstream(id).mRefusesConnections = refuses;
  }
  constexpr int kRequestCount = 1'000;
  const auto messagesBefore = fixture.mSite.MessageCount();
  std::vector<std::shared_ptr<api_response>> answers;
  for (int i = 0; i < kRequestCount; ++i) {
    answers.push_back(
      fixture.mSite.SendCall("alpha-e1", fixture.RequestCall("interactive", "x")));
    fixture.mSite.Loop().RunFor(duration(30));
  }
  fixture.mSite.Loop().RunFor(duration(6'000));
  const auto text = fixture.mSite.Node("alpha-e1").Metrics().Text();
  const auto at = text.find("upstream_attempts_total{class=\"interactive\"} ");
  REQUIRE(at != std::string::npos);
  const int attempts = std::atoi(text.c_str() + text.find('}', at) + 2);
  CHECK(fixture.mSite.MessageCount() > messagesBefore);
  CHECK(attempts <= kRequestCount * 11 / 10);
  for (const auto& answer : answers) {
    REQUIRE(answer->mStatus != 0);
    const bool isCompleted = JsonText(answer->mBody, "outcome") == "completed";
    CHECK_FALSE(isCompleted);
  }
}

TEST_CASE("a leaving upstream gets no new requests, whichever source reports it first")
{
  enum class report_source
  {
    kList,
    kAnswer,
    kPeer,
  };
  const auto source =
    GENERATE(report_source::kList, report_source::kAnswer, report_source::kPeer);
  workspace_fixture fixture;
  auto& site = fixture.mSite;
  site.Upstream("alpha-u1").mRunsWhileLeaving = true;
  if (source == report_source::kList) {
    site.PublishUpstream("alpha-u1", true);
  } else {
    site.Upstream("alpha-u1").mLeaving = true;
    // Only alpha-e1 gets the replies; its heartbeats inform the other VMs.
    for (int i = 0; i < 12; ++i) {
      site.Call("alpha-e1", fixture.RequestCall("urgent", "probe"));
    }
  }
  site.Loop().RunFor(duration(3'000));
  const auto settledTime = site.Loop().Now();
  const auto vms = source == report_source::kPeer
                     ? std::vector<std::string>{ "alpha-e2", "alpha-e3" }
                     : site.RunningVms();
  for (int i = 0; i < 30; ++i) {
    for (const auto& vm : vms) {
      CHECK(site.Call(vm, fixture.RequestCall("interactive", "late")).mStatus == 200);
    }
  }
  for (const auto& run : site.Runs()) {
    CHECK((run.mAt < settledTime || run.mUpstream != "alpha-u1"));
  }
}

TEST_CASE("an upstream that reported leaving is used again after it returns")
{
  workspace_fixture fixture;
  auto& site = fixture.mSite;
  site.Upstream("alpha-u1").mLeaving = true;
  for (int i = 0; i < 12; ++i) {
    site.Call("alpha-e1", fixture.RequestCall("urgent", "probe"));
  }
  site.Upstream("alpha-u1").mLeaving = false;
  site.Loop().RunFor(std::chrono::minutes(6));
  const auto back = site.Loop().Now();
  for (const auto& vm : site.RunningVms()) {
    for (int i = 0; i < 12; ++i) {
      site.Call(vm, fixture.RequestCall("interactive", "later"));
    }
  }
  CHECK(std::any_of(site.Runs().begin(), site.Runs().end(), [&](const auto& aRun) {
    return aRun.mAt >= back && aRun.mUpstream == "alpha-u1";
  }));
}

TEST_CASE("urgent requests go first and the wait of batch requests is bounded")
{
  fake_settings settings;
  settings.mEntryVms = 1;
  settings.mUpstreams = 1;
  settings.mSlots = 1;
  workspace_fixture fixture(settings);
  auto& site = fixture.mSite;
  site.Upstream("alpha-u1").mWorkTime = duration(100);
  site.SendCall("alpha-e1", fixture.RequestCall("batch", "batch"));
  site.SendCall("alpha-e1", fixture.RequestCall("batch", "batch"));
  for (int i = 0; i < 40; ++i) {
    site.SendCall("alpha-e1", fixture.RequestCall("interactive", "interactive"));
  }
  site.SendCall("alpha-e1", fixture.RequestCall("urgent", "urgent"));
  const auto startTime = site.Loop().Now();
  site.Loop().RunFor(duration(4'500));
  std::vector<std::string> order;
  duration batchWait{};
  for (const auto& run : site.Runs()) {
    order.push_back(run.mPayload);
    if (run.mPayload == "batch") {
      batchWait = run.mAt - startTime;
    }
  }
  REQUIRE(order.size() > 30);
  CHECK(order[0] == "batch"); // The slot was free, so it was sent at once.
  CHECK(order[1] == "urgent");
  CHECK(order[2] == "interactive");
  CHECK(batchWait <= duration(2'200));
}

TEST_CASE("requests over a workspace's limits are rejected with a retry delay")
{
  struct row
  {
    const char* mSetting;
    int mLimit;
    int mSent;
  };
  const auto item =
    GENERATE(row{ "requests_in_flight", 6, 20 }, row{ "requests_per_second", 9, 40 });
  workspace_fixture fixture;
  auto& site = fixture.mSite;
  const auto body =
    std::string("{\"") + item.mSetting + "\":" + std::to_string(item.mLimit) + "}";
  REQUIRE(
    site.Call("alpha-e1", OperatorCall("PUT", "/v1/config/defaults", body)).mStatus ==
    200);
  site.Loop().RunFor(duration(2'000));
  std::vector<std::shared_ptr<api_response>> answers;
  answers.reserve(static_cast<size_t>(item.mSent));
  for (int i = 0; i < item.mSent; ++i) {
    answers.push_back(site.SendCall("alpha-e1", fixture.RequestCall("urgent", "x")));
  }
  site.Loop().RunFor(duration(6'000));
  int served = 0;
  for (const auto& answer : answers) {
    served += answer->mStatus == 200 ? 1 : 0;
    if (answer->mStatus != 200) {
      CHECK(answer->mStatus == 429);
      CHECK(answer->mRetryAfter.count() > 0);
      CHECK(JsonText(answer->mBody, "outcome") == "not_run");
    }
  }
  // Three VMs share the limit, so this VM admits a third of it.
  CHECK(served == item.mLimit / 3);
  CHECK(static_cast<int>(site.Runs().size()) == served);
}

TEST_CASE("all VMs share the slots of an upstream and never exceed them")
{
  workspace_fixture fixture;
  auto& site = fixture.mSite;
  std::vector<std::shared_ptr<api_response>> answers;
  for (int i = 0; i < 20; ++i) {
    for (const auto& vm : site.RunningVms()) {
      answers.push_back(site.SendCall(vm, fixture.RequestCall("urgent", "x")));
    }
  }
  int64_t maxActive = 0;
  for (int i = 0; i < 1'000; ++i) {
    site.Loop().RunFor(duration(1));
    for (const auto& id : site.UpstreamIds()) {
      maxActive = std::max(maxActive, site.Upstream(id).mActive);
    }
  }
  CHECK(maxActive == 8);
  for (const auto& answer : answers) {
    CHECK(answer->mStatus == 200);
  }
}

TEST_CASE("failing upstreams are ejected, but never more than half of them")
{
  fake_settings settings;
  settings.mUpstreams = 4;
  settings.mEntryVms = 1;
  const int failing = GENERATE(1, 2, 4);
  workspace_fixture fixture(settings);
  auto& site = fixture.mSite;
  for (int i = 1; i <= failing; ++i) {
    site.Upstream("alpha-u" + std::to_string(i)).mStatus = 500;
  }
  for (int i = 0; i < 120; ++i) {
    site.Call("alpha-e1", fixture.RequestCall("interactive", "x"));
  }
  int ejected = 0;
  for (const auto& item : site.Node("alpha-e1").Upstreams().Statuses()) {
    ejected += item.mEjected ? 1 : 0;
  }
  CHECK(ejected == std::min(failing, 2));
}

TEST_CASE("a draining VM finishes its requests and gives up the scheduler role")
{
  workspace_fixture fixture;
  auto& site = fixture.mSite;
  for (const auto& id : site.UpstreamIds()) {
    site.Upstream(id).mWorkTime = duration(2'000);
  }
  std::vector<std::shared_ptr<api_response>> answers;
  answers.reserve(3);
  for (int i = 0; i < 3; ++i) {
    answers.push_back(
      site.SendCall("alpha-e1", fixture.RequestCall("interactive", "x")));
  }
  site.Loop().RunFor(duration(100));
  CHECK(site.Call("alpha-e1", OperatorCall("POST", "/v1/drain")).mStatus == 200);
  CHECK_FALSE(site.Node("alpha-e1").IsDrained());
  CHECK(site.Call("alpha-e1", OperatorCall("GET", "/readyz")).mStatus == 503);
  REQUIRE(site.Loop().RunUntil([&] { return site.Node("alpha-e1").IsDrained(); },
                               duration(5'000)));
  for (const auto& answer : answers) {
    CHECK(answer->mStatus == 200);
  }
  REQUIRE(site.Loop().RunUntil(
    [&] { return !site.SchedulerVm().empty() && site.SchedulerVm() != "alpha-e1"; },
    duration(5'000)));
}
