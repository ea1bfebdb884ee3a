#include "support/FakeSite.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

using namespace anvildoor;

namespace {

/** A scripted sequence of caller and operator calls; its log is kept in golden/. */
struct golden_session
{
  const char* mName;
  fake_settings mSettings;
  std::function<void(fake_site&, std::vector<std::string>&)> mScript;
};

void AddRemark(fake_site& aSite,
               std::vector<std::string>& aLines,
               const std::string& aText)
{
  const auto at = aSite.Loop().Now() - std::chrono::hours(24);
  aLines.push_back("t=" + std::to_string(at.count()) + " # " + aText);
}

void AddAnswerRemark(fake_site& aSite,
                     std::vector<std::string>& aLines,
                     const std::string& aAction,
                     const api_response& aAnswer)
{
  const auto outcome = JsonText(aAnswer.mBody, "outcome");
  const auto state = JsonText(aAnswer.mBody, "state");
  AddRemark(aSite,
            aLines,
            aAction + " -> " + std::to_string(aAnswer.mStatus) + " " + state + " " +
              outcome + " " + JsonText(aAnswer.mBody, "result"));
}

std::string JobRequestBody(const std::string& aWorkspace,
                           const std::string& aClass,
                           int aTasks,
                           const std::string& aAdjacency,
                           int aRunMs)
{
  return R"({"workspace":")" + aWorkspace + R"(","class":")" + aClass +
         R"(","tasks":)" + std::to_string(aTasks) +
         R"(,"accelerators_per_task":1,"checkpointable":true,"adjacency":")" +
         aAdjacency + R"(","payload":"{\"run_ms\":)" + std::to_string(aRunMs) +
         R"(}"})";
}

void StartSite(fake_site& aSite,
               const std::string& aGuaranteedWorkspace,
               const std::string& aOtherWorkspace,
               const std::string& aGuarantee)
{
  aSite.StartAll();
  for (const auto& vm : aSite.RunningVms()) {
    REQUIRE(aSite.WaitForScheduler(vm.substr(0, vm.find('-'))));
  }
  const auto vm = aSite.RunningVms().front();
  REQUIRE(aSite.PutWorkspace(vm, aGuaranteedWorkspace, aGuarantee).mStatus == 200);
  REQUIRE(aSite.PutWorkspace(vm, aOtherWorkspace).mStatus == 200);
  aSite.Loop().RunFor(std::chrono::seconds(12));
}

const std::string kRosterGuarantee =
  R"([{"count":1,"tasks":16,"accelerators_per_task":1,"cores_per_task":1,
       "adjacency":"rack"}])";

/** Submits one job, adds a remark with the response and returns the job ID. */
std::string SubmitJob(fake_site& aSite,
                      std::vector<std::string>& aLines,
                      const std::string& aVm,
                      const std::string& aWorkspace,
                      const std::string& aKey,
                      const std::string& aBody)
{
  const auto answer =
    aSite.Call(aVm, WorkspaceCall(aWorkspace, "POST", "/v1/jobs", aBody, aKey));
  AddAnswerRemark(aSite, aLines, aWorkspace + " submits " + aKey, answer);
  return JsonText(answer.mBody, "id");
}

void WaitForJobEnd(fake_site& aSite,
                   std::vector<std::string>& aLines,
                   const std::string& aWorkspace,
                   const std::string& aKey,
                   const std::string& aJob)
{
  const auto vm = aSite.RunningVms().front();
  AddAnswerRemark(
    aSite,
    aLines,
    aWorkspace + " waits for " + aKey,
    aSite.Call(
      vm, WorkspaceCall(aWorkspace, "GET", "/v1/jobs/" + aJob + "?wait_ms=30000")));
}

/** Sends a request that is not idempotent and adds a remark with the response. */
void SendBooking(fake_site& aSite,
                 std::vector<std::string>& aLines,
                 const std::string& aVm,
                 const std::string& aWorkspace,
                 const std::string& aKey,
                 bool aRepeat)
{
  const auto body = R"({"workspace":")" + aWorkspace +
                    R"(","class":"urgent","idempotent":false,"repeat":)" +
                    (aRepeat ? "true" : "false") + R"(,"payload":")" + aKey + "\"}";
  AddAnswerRemark(
    aSite,
    aLines,
    aWorkspace + " books " + aKey + " at " + aVm,
    aSite.Call(aVm, WorkspaceCall(aWorkspace, "POST", "/v1/requests", body, aKey)));
}

void RunGripfjallDay(fake_site& aSite, std::vector<std::string>& aLines)
{
  StartSite(aSite, "rosters", "renders", kRosterGuarantee);
  const auto render = SubmitJob(aSite,
                                aLines,
                                "alpha-e1",
                                "renders",
                                "wall-7",
                                JobRequestBody("renders", "batch", 24, "rack", 20'000));
  const auto roster = SubmitJob(aSite,
                                aLines,
                                "alpha-e2",
                                "rosters",
                                "crew-week-49",
                                JobRequestBody("rosters", "urgent", 16, "rack", 3'000));
  SendBooking(aSite, aLines, "alpha-e1", "renders", "redesign-12", false);
  SendBooking(aSite, aLines, "alpha-e3", "renders", "redesign-12", true);
  WaitForJobEnd(aSite, aLines, "rosters", "crew-week-49", roster);
  WaitForJobEnd(aSite, aLines, "renders", "wall-7", render);
}

void RunVerbandDay(fake_site& aSite, std::vector<std::string>& aLines)
{
  StartSite(aSite, "releases", "reports", kRosterGuarantee);
  std::vector<std::string> reports;
  for (int i = 0; i < 4; ++i) {
    reports.push_back(SubmitJob(aSite,
                                aLines,
                                "alpha-e2",
                                "reports",
                                "night-" + std::to_string(i),
                                JobRequestBody("reports", "batch", 12, "rack", 8'000)));
  }
  SendBooking(aSite, aLines, "alpha-e1", "releases", "slot-1430", false);
  SendBooking(aSite, aLines, "alpha-e2", "releases", "slot-1430", true);
  for (size_t i = 0; i < reports.size(); ++i) {
    WaitForJobEnd(aSite, aLines, "reports", "night-" + std::to_string(i), reports[i]);
  }
}

void RunStoreOutage(fake_site& aSite, std::vector<std::string>& aLines)
{
  StartSite(aSite, "rosters", "renders", kRosterGuarantee);
  const auto job = SubmitJob(aSite,
                             aLines,
                             "alpha-e1",
                             "renders",
                             "wall-7",
                             JobRequestBody("renders", "batch", 16, "rack", 40'000));
  aSite.Loop().RunFor(std::chrono::seconds(3));
  AddRemark(aSite, aLines, "the store goes down");
  store_faults down;
  down.mDown = true;
  aSite.Store().SetFaults(down);
  aSite.Loop().RunFor(std::chrono::seconds(20));
  SendBooking(aSite, aLines, "alpha-e1", "renders", "redesign-12", false);
  AddAnswerRemark(
    aSite,
    aLines,
    "renders asks at alpha-e2",
    aSite.Call("alpha-e2",
               WorkspaceCall("renders",
                             "POST",
                             "/v1/requests",
                             R"({"workspace":"renders","payload":"hold 9"})")));
  AddRemark(aSite, aLines, "the store returns");
  aSite.Store().SetFaults({});
  aSite.Loop().RunFor(std::chrono::seconds(15));
  SendBooking(aSite, aLines, "alpha-e1", "renders", "redesign-12", true);
  WaitForJobEnd(aSite, aLines, "renders", "wall-7", job);
}

void RunSchedulerLoss(fake_site& aSite, std::vector<std::string>& aLines)
{
  StartSite(aSite, "rosters", "renders", kRosterGuarantee);
  const auto leader = aSite.SchedulerVm();
  const auto submitReply =
    aSite.SendCall(leader,
                   WorkspaceCall("renders",
                                 "POST",
                                 "/v1/jobs",
                                 JobRequestBody("renders", "batch", 16, "rack", 5'000),
                                 "wall-7"));
  aSite.Loop().RunUntil([&] { return aSite.Log().Has("event=gang_committed"); },
                        std::chrono::seconds(5));
  AddRemark(aSite, aLines, "the scheduler is killed between commit and release");
  aSite.KillVm(leader);
  aSite.Loop().RunFor(std::chrono::seconds(20));
  WaitForJobEnd(aSite, aLines, "renders", "wall-7", JsonText(submitReply->mBody, "id"));
}

void RunIsolatedDataCentre(fake_site& aSite, std::vector<std::string>& aLines)
{
  StartSite(aSite, "rosters", "renders", "[]");
  const auto setPartitioned = [&](bool aPartitioned) {
    for (const auto& vm : aSite.RunningVms("beta")) {
      for (const auto& other : { std::string("store"),
                                 std::string("vms"),
                                 std::string("alpha-e1"),
                                 std::string("alpha-e2") }) {
        aPartitioned ? aSite.Disconnect(vm, other) : aSite.Reconnect(vm, other);
      }
    }
  };
  AddRemark(aSite, aLines, "beta is cut off from alpha and from the platform");
  setPartitioned(true);
  aSite.Loop().RunFor(std::chrono::seconds(15));
  const auto change = aSite.Call(
    "alpha-e1", OperatorCall("PUT", "/v1/config/defaults", R"({"job_attempts":7})"));
  AddRemark(aSite, aLines, "an operator changes a default -> " + change.mBody);
  AddAnswerRemark(
    aSite,
    aLines,
    "renders asks at beta-e1",
    aSite.Call("beta-e1",
               WorkspaceCall("renders",
                             "POST",
                             "/v1/requests",
                             R"({"workspace":"renders","payload":"hold 9"})")));
  AddRemark(aSite, aLines, "beta returns");
  setPartitioned(false);
  aSite.Loop().RunFor(std::chrono::seconds(12));
}

void RunCancellationWave(fake_site& aSite, std::vector<std::string>& aLines)
{
  StartSite(aSite, "rosters", "renders", kRosterGuarantee);
  std::vector<std::string> jobs;
  for (int i = 0; i < 6; ++i) {
    jobs.push_back(SubmitJob(aSite,
                             aLines,
                             "alpha-e1",
                             "renders",
                             "wall-" + std::to_string(i),
                             JobRequestBody("renders", "batch", 24, "rack", 60'000)));
  }
  aSite.Loop().RunFor(std::chrono::seconds(2));
  for (size_t i = 0; i < jobs.size(); ++i) {
    AddAnswerRemark(
      aSite,
      aLines,
      "renders cancels wall-" + std::to_string(i),
      aSite.Call("alpha-e2",
                 WorkspaceCall("renders", "DELETE", "/v1/jobs/" + jobs[i])));
  }
}

void RunRosterReclaim(fake_site& aSite, std::vector<std::string>& aLines)
{
  StartSite(aSite, "rosters", "renders", kRosterGuarantee);
  std::vector<std::string> renders;
  for (int i = 0; i < 8; ++i) {
    renders.push_back(SubmitJob(aSite,
                                aLines,
                                "alpha-e1",
                                "renders",
                                "wall-" + std::to_string(i),
                                JobRequestBody("renders", "batch", 8, "rack", 10'000)));
  }
  aSite.Loop().RunFor(std::chrono::seconds(3));
  const auto roster = SubmitJob(aSite,
                                aLines,
                                "alpha-e2",
                                "rosters",
                                "crew-week-49",
                                JobRequestBody("rosters", "urgent", 16, "rack", 2'000));
  WaitForJobEnd(aSite, aLines, "rosters", "crew-week-49", roster);
  for (size_t i = 0; i < renders.size(); ++i) {
    WaitForJobEnd(aSite, aLines, "renders", "wall-" + std::to_string(i), renders[i]);
  }
}

fake_settings TwoDataCentreSettings()
{
  fake_settings settings;
  settings.mDataCentres = { "alpha", "beta" };
  settings.mEntryVms = 2;
  return settings;
}

/** The first two sessions are named after the reference deployments. */
std::vector<golden_session> GoldenSessions()
{
  return { { "gripfjall-day", {}, RunGripfjallDay },
           { "verband-day", {}, RunVerbandDay },
           { "store-outage", {}, RunStoreOutage },
           { "scheduler-loss", {}, RunSchedulerLoss },
           { "cut-off-data-centre", TwoDataCentreSettings(), RunIsolatedDataCentre },
           { "cancellation-wave", {}, RunCancellationWave },
           { "roster-reclaim", {}, RunRosterReclaim } };
}

/** Merges events and remarks by time; at equal times the events come first. */
std::string MergeByTime(const std::vector<std::string>& aEvents,
                        const std::vector<std::string>& aRemarks)
{
  const auto timeOf = [](const std::string& aLine) {
    return std::strtoll(aLine.c_str() + 2, nullptr, 10);
  };
  std::vector<std::string> lines = aEvents;
  lines.insert(lines.end(), aRemarks.begin(), aRemarks.end());
  std::stable_sort(
    lines.begin(), lines.end(), [&](const auto& aLeft, const auto& aRight) {
      return timeOf(aLeft) < timeOf(aRight);
    });
  std::string text;
  for (const auto& line : lines) {
    text += line + "\n";
  }
  return text;
}

std::string ReadFile(const std::string& aPath)
{
  std::ifstream stream(aPath);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

} // namespace

TEST_CASE("whole sessions produce the logs in golden/, which tools/golden regenerates")
{
  for (const auto& item : GoldenSessions()) {
    DYNAMIC_SECTION(item.mName)
    {
      fake_site site(item.mSettings);
      std::vector<std::string> remarks;
      item.mScript(site, remarks);
      const auto actual = MergeByTime(site.Log().Lines(), remarks);
      const auto path = std::string(GOLDEN_FOLDER) + "/" + item.mName + ".log";
      if (std::getenv("ANVILDOOR_GOLDEN_WRITE") != nullptr) {
        std::ofstream(path) << actual;
      }
      CHECK(actual == ReadFile(path));
    }
  }
}
