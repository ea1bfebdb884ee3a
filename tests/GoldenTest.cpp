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
struct session
{
  const char* mName;
  fake_settings mSettings;
  std::function<void(fake_site&, std::vector<std::string>&)> mScript;
};

void Say(fake_site& aSite, std::vector<std::string>& aLines, const std::string& aText)
{
  const auto at = aSite.Loop().Now() - std::chrono::hours(24);
  aLines.push_back("t=" + std::to_string(at.count()) + " # " + aText);
}

void SayAnswer(fake_site& aSite,
               std::vector<std::string>& aLines,
               const std::string& aWhat,
               const api_response& aAnswer)
{
  const auto outcome = JsonText(aAnswer.mBody, "outcome");
  const auto state = JsonText(aAnswer.mBody, "state");
  Say(aSite,
      aLines,
      aWhat + " -> " + std::to_string(aAnswer.mStatus) + " " + state + " " + outcome +
        " " + JsonText(aAnswer.mBody, "result"));
}

std::string Job(const std::string& aWorkspace,
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

void Open(fake_site& aSite,
          const std::string& aLarge,
          const std::string& aSmall,
          const std::string& aGuarantee)
{
  aSite.StartAll();
  for (const auto& vm : aSite.RunningVms()) {
    REQUIRE(aSite.WaitForScheduler(vm.substr(0, vm.find('-'))));
  }
  const auto vm = aSite.RunningVms().front();
  REQUIRE(aSite.PutWorkspace(vm, aLarge, aGuarantee).mStatus == 200);
  REQUIRE(aSite.PutWorkspace(vm, aSmall).mStatus == 200);
  aSite.Loop().RunFor(std::chrono::seconds(12));
}

const std::string kRosterGuarantee =
  R"([{"count":1,"tasks":16,"accelerators_per_task":1,"cores_per_task":1,
       "adjacency":"rack"}])";

/** Submits one job, adds a remark with the response and returns the job ID. */
std::string SubmitAndSay(fake_site& aSite,
                         std::vector<std::string>& aLines,
                         const std::string& aVm,
                         const std::string& aWorkspace,
                         const std::string& aKey,
                         const std::string& aBody)
{
  const auto answer =
    aSite.Call(aVm, WorkspaceCall(aWorkspace, "POST", "/v1/jobs", aBody, aKey));
  SayAnswer(aSite, aLines, aWorkspace + " submits " + aKey, answer);
  return JsonText(answer.mBody, "id");
}

void SayEnd(fake_site& aSite,
            std::vector<std::string>& aLines,
            const std::string& aWorkspace,
            const std::string& aKey,
            const std::string& aJob)
{
  const auto vm = aSite.RunningVms().front();
  SayAnswer(
    aSite,
    aLines,
    aWorkspace + " waits for " + aKey,
    aSite.Call(
      vm, WorkspaceCall(aWorkspace, "GET", "/v1/jobs/" + aJob + "?wait_ms=30000")));
}

void Book(fake_site& aSite,
          std::vector<std::string>& aLines,
          const std::string& aVm,
          const std::string& aWorkspace,
          const std::string& aKey,
          bool aRepeat)
{
  const auto body = R"({"workspace":")" + aWorkspace +
                    R"(","class":"urgent","idempotent":false,"repeat":)" +
                    (aRepeat ? "true" : "false") + R"(,"payload":")" + aKey + "\"}";
  SayAnswer(
    aSite,
    aLines,
    aWorkspace + " books " + aKey + " at " + aVm,
    aSite.Call(aVm, WorkspaceCall(aWorkspace, "POST", "/v1/requests", body, aKey)));
}

void GymsDay(fake_site& aSite, std::vector<std::string>& aLines)
{
  Open(aSite, "rosters", "renders", kRosterGuarantee);
  const auto render = SubmitAndSay(aSite,
                                   aLines,
                                   "alpha-e1",
                                   "renders",
                                   "wall-7",
                                   Job("renders", "batch", 24, "rack", 20'000));
  const auto roster = SubmitAndSay(aSite,
                                   aLines,
                                   "alpha-e2",
                                   "rosters",
                                   "crew-week-49",
                                   Job("rosters", "urgent", 16, "rack", 3'000));
  Book(aSite, aLines, "alpha-e1", "renders", "redesign-12", false);
  Book(aSite, aLines, "alpha-e3", "renders", "redesign-12", true);
  SayEnd(aSite, aLines, "rosters", "crew-week-49", roster);
  SayEnd(aSite, aLines, "renders", "wall-7", render);
}

void DepotsDay(fake_site& aSite, std::vector<std::string>& aLines)
{
  Open(aSite, "releases", "reports", kRosterGuarantee);
  std::vector<std::string> reports;
  for (int i = 0; i < 4; ++i) {
    reports.push_back(SubmitAndSay(aSite,
                                   aLines,
                                   "alpha-e2",
                                   "reports",
                                   "night-" + std::to_string(i),
                                   Job("reports", "batch", 12, "rack", 8'000)));
  }
  Book(aSite, aLines, "alpha-e1", "releases", "slot-1430", false);
  Book(aSite, aLines, "alpha-e2", "releases", "slot-1430", true);
  for (size_t i = 0; i < reports.size(); ++i) {
    SayEnd(aSite, aLines, "reports", "night-" + std::to_string(i), reports[i]);
  }
}

void StoreOutage(fake_site& aSite, std::vector<std::string>& aLines)
{
  Open(aSite, "rosters", "renders", kRosterGuarantee);
  const auto job = SubmitAndSay(aSite,
                                aLines,
                                "alpha-e1",
                                "renders",
                                "wall-7",
                                Job("renders", "batch", 16, "rack", 40'000));
  aSite.Loop().RunFor(std::chrono::seconds(3));
  Say(aSite, aLines, "the store goes down");
  store_faults down;
  down.mDown = true;
  aSite.Store().SetFaults(down);
  aSite.Loop().RunFor(std::chrono::seconds(20));
  Book(aSite, aLines, "alpha-e1", "renders", "redesign-12", false);
  SayAnswer(aSite,
            aLines,
            "renders asks at alpha-e2",
            aSite.Call("alpha-e2",
                       WorkspaceCall("renders",
                                     "POST",
                                     "/v1/requests",
                                     R"({"workspace":"renders","payload":"hold 9"})")));
  Say(aSite, aLines, "the store returns");
  aSite.Store().SetFaults({});
  aSite.Loop().RunFor(std::chrono::seconds(15));
  Book(aSite, aLines, "alpha-e1", "renders", "redesign-12", true);
  SayEnd(aSite, aLines, "renders", "wall-7", job);
}

void SchedulerLoss(fake_site& aSite, std::vector<std::string>& aLines)
{
  Open(aSite, "rosters", "renders", kRosterGuarantee);
  const auto leader = aSite.SchedulerVm();
  const auto begun =
    aSite.Begin(leader,
                WorkspaceCall("renders",
                              "POST",
                              "/v1/jobs",
                              Job("renders", "batch", 16, "rack", 5'000),
                              "wall-7"));
  aSite.Loop().RunUntil([&] { return aSite.Log().Has("event=gang_committed"); },
                        std::chrono::seconds(5));
  Say(aSite, aLines, "the scheduler is killed between commit and release");
  aSite.KillVm(leader);
  aSite.Loop().RunFor(std::chrono::seconds(20));
  SayEnd(aSite, aLines, "renders", "wall-7", JsonText(begun->mBody, "id"));
}

void CutOffDataCentre(fake_site& aSite, std::vector<std::string>& aLines)
{
  Open(aSite, "rosters", "renders", "[]");
  const auto cut = [&](bool aCut) {
    for (const auto& vm : aSite.RunningVms("beta")) {
      for (const auto& other : { std::string("store"),
                                 std::string("vms"),
                                 std::string("alpha-e1"),
                                 std::string("alpha-e2") }) {
        aCut ? aSite.Disconnect(vm, other) : aSite.Reconnect(vm, other);
      }
    }
  };
  Say(aSite, aLines, "beta is cut off from alpha and from the platform");
  cut(true);
  aSite.Loop().RunFor(std::chrono::seconds(15));
  const auto change = aSite.Call(
    "alpha-e1", OperatorCall("PUT", "/v1/config/defaults", R"({"job_attempts":7})"));
  Say(aSite, aLines, "an operator changes a default -> " + change.mBody);
  SayAnswer(aSite,
            aLines,
            "renders asks at beta-e1",
            aSite.Call("beta-e1",
                       WorkspaceCall("renders",
                                     "POST",
                                     "/v1/requests",
                                     R"({"workspace":"renders","payload":"hold 9"})")));
  Say(aSite, aLines, "beta returns");
  cut(false);
  aSite.Loop().RunFor(std::chrono::seconds(12));
}

void CancellationWave(fake_site& aSite, std::vector<std::string>& aLines)
{
  Open(aSite, "rosters", "renders", kRosterGuarantee);
  std::vector<std::string> jobs;
  for (int i = 0; i < 6; ++i) {
    jobs.push_back(SubmitAndSay(aSite,
                                aLines,
                                "alpha-e1",
                                "renders",
                                "wall-" + std::to_string(i),
                                Job("renders", "batch", 24, "rack", 60'000)));
  }
  aSite.Loop().RunFor(std::chrono::seconds(2));
  for (size_t i = 0; i < jobs.size(); ++i) {
    SayAnswer(aSite,
              aLines,
              "renders cancels wall-" + std::to_string(i),
              aSite.Call("alpha-e2",
                         WorkspaceCall("renders", "DELETE", "/v1/jobs/" + jobs[i])));
  }
}

void RosterReclaim(fake_site& aSite, std::vector<std::string>& aLines)
{
  Open(aSite, "rosters", "renders", kRosterGuarantee);
  std::vector<std::string> renders;
  for (int i = 0; i < 8; ++i) {
    renders.push_back(SubmitAndSay(aSite,
                                   aLines,
                                   "alpha-e1",
                                   "renders",
                                   "wall-" + std::to_string(i),
                                   Job("renders", "batch", 8, "rack", 10'000)));
  }
  aSite.Loop().RunFor(std::chrono::seconds(3));
  const auto roster = SubmitAndSay(aSite,
                                   aLines,
                                   "alpha-e2",
                                   "rosters",
                                   "crew-week-49",
                                   Job("rosters", "urgent", 16, "rack", 2'000));
  SayEnd(aSite, aLines, "rosters", "crew-week-49", roster);
  for (size_t i = 0; i < renders.size(); ++i) {
    SayEnd(aSite, aLines, "renders", "wall-" + std::to_string(i), renders[i]);
  }
}

fake_settings TwoSites()
{
  fake_settings settings;
  settings.mDataCentres = { "alpha", "beta" };
  settings.mEntryVms = 2;
  return settings;
}

std::vector<session> Sessions()
{
  return { { "gripfjall-day", {}, GymsDay },
           { "verband-day", {}, DepotsDay },
           { "store-outage", {}, StoreOutage },
           { "scheduler-loss", {}, SchedulerLoss },
           { "cut-off-data-centre", TwoSites(), CutOffDataCentre },
           { "cancellation-wave", {}, CancellationWave },
           { "roster-reclaim", {}, RosterReclaim } };
}

/** Merges events and remarks by time; at equal times the events come first. */
std::string Merge(const std::vector<std::string>& aEvents,
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

TEST_CASE("whole sessions read as they did: see golden/, tools/golden regenerates them")
{
  for (const auto& item : Sessions()) {
    DYNAMIC_SECTION(item.mName)
    {
      fake_site site(item.mSettings);
      std::vector<std::string> remarks;
      item.mScript(site, remarks);
      const auto seen = Merge(site.Log().Lines(), remarks);
      const auto path = std::string(GOLDEN_FOLDER) + "/" + item.mName + ".log";
      if (std::getenv("ANVILDOOR_GOLDEN_WRITE") != nullptr) {
        std::ofstream(path) << seen;
      }
      CHECK(seen == ReadFile(path));
    }
  }
}
