#include "anvildoor/Settings.h"
#include "config/FleetConfig.h"
#include "gang/JobRecord.h"
#include "http/ApiSupport.h"
#include "support/FakeSite.h"
#include "support/Samples.h"

#include <catch2/catch.hpp>
#include <functional>
#include <rapidcheck.h>

using namespace anvildoor;

namespace {

/** Returns valid texts, so that mutations reach deep into the parsers. */
std::vector<std::string> SeedTexts()
{
  return { ToJsonText(SampleConfig(3)),
           EncodeBucket({ { "j-1", SampleRecord(1) } }, "1.1"),
           R"({"workspace":"gyms","tasks":4,"accelerators_per_task":1,"payload":"p"})",
           R"({"workspace":"gyms","idempotent":false,"deadline_ms":100})",
           "[node]\nvm = e1\nthreads = 2\n[http]\nbody_limit = 64KB\n" };
}

std::string Mutate(std::string aText)
{
  const int mutationCount = *rc::gen::inRange(0, 6);
  for (int i = 0; i < mutationCount && !aText.empty(); ++i) {
    const auto position = *rc::gen::inRange<size_t>(0, aText.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        aText[position] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        aText.erase(position, *rc::gen::inRange<size_t>(1, 20));
        break;
      case 2:
        aText.insert(
          position,
          *rc::gen::elementOf(std::vector<std::string>{
            "null", "-1", "1e999", "[[", "{}", "\"", "99999999999999999999" }));
        break;
      default:
        aText += aText.substr(position);
        break;
    }
  }
  return aText;
}

} // namespace

TEST_CASE(
  "mutated text does not crash a parser, and parsed values survive a round trip")
{
  const bool passed = rc::check([] {
    const auto text = Mutate(*rc::gen::elementOf(SeedTexts()));
    if (const auto config = ParseFleetConfig(text)) {
      RC_ASSERT(ParseFleetConfig(ToJsonText(*config)) == *config);
      RC_ASSERT(!ApplyPatch(*config, text) || !text.empty());
    }
    if (const auto records = DecodeBucket(text)) {
      RC_ASSERT(DecodeBucket(EncodeBucket(*records, "1.2")) == *records);
    }
    ParseJobSpec(text);
    ParseSettings("fuzz.ini", text);
    SplitTarget(text);
    ApplyChange(SampleConfig(1),
                { "c", config_kind::kWorkspace, "w", text, false, {} });
  });
  CHECK(passed);
}

TEST_CASE("mutated calls do not crash a VM, and each receives an HTTP status")
{
  fake_site site;
  site.StartAll();
  REQUIRE(site.WaitForScheduler());
  REQUIRE(site.PutWorkspace("alpha-e1", "gyms").mStatus == 200);
  const bool passed = rc::check([&site] {
    auto call = WorkspaceCall(
      "gyms",
      *rc::gen::elementOf(
        std::vector<std::string>{ "GET", "POST", "PUT", "DELETE", "X" }),
      Mutate(*rc::gen::elementOf(std::vector<std::string>{ "/v1/jobs",
                                                           "/v1/jobs/j-1?wait_ms=5",
                                                           "/v1/requests",
                                                           "/v1/config/defaults",
                                                           "/v1/config/workspaces/x",
                                                           "/v1/explain/jobs/j-1",
                                                           "/metrics" })),
      Mutate(*rc::gen::elementOf(SeedTexts())),
      *rc::gen::elementOf(std::vector<std::string>{ "", "k", std::string(300, 'k') }));
    if (*rc::gen::arbitrary<bool>()) {
      call.mToken = OperatorCall("GET", "/").mToken;
    }
    RC_PRE(call.mTarget.find("drain") == std::string::npos);
    const auto answer = site.Call("alpha-e1", call, std::chrono::seconds(40));
    RC_ASSERT(answer.mStatus >= 200);
    RC_ASSERT(answer.mStatus < 600);
  });
  CHECK(passed);
}
