#include "support/FakeInstallation.h"
#include "support/LogLines.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <optional>

using namespace anvildoor;

// Guards against elections that begin again with the read of the key.
TEST_CASE("an election goes on soon after refused steps", "[scheduler]")
{
  const auto step = GENERATE(store_call::kGrantLease, store_call::kCommit);
  const auto refused = GENERATE(3, 5, 8);
  const auto phase = GENERATE(range(0, 400, 100));
  CAPTURE(static_cast<int>(step), refused, phase);
  fake_installation site(3, 4);
  site.mLoop.RunFor(duration(3'000 + phase));
  const auto killed = site.SchedulerVm();
  site.Kill(killed);
  for (const std::string vm : { "vm0", "vm1", "vm2" }) {
    store_fault refusal{ store_fate::kRefused, vm, { step } };
    refusal.mCallsLeft = refused;
    site.mFaults.mStoreFaults.push_back(refusal);
  }
  constexpr duration kLeaseTtl{ 1'200 };
  constexpr duration kPerRefusal{ 65 };
  constexpr duration kOtherSteps{ 60 };
  CHECK(site.mLoop.RunUntil([&] { return !site.SchedulerVm().empty(); },
                            kLeaseTtl + refused * kPerRefusal + kOtherSteps));
}

// Guards against schedulers that exit soon and don't hand their term over.
TEST_CASE("a VM that drains while it is being elected gives its term back",
          "[election]")
{
  const auto drained = GENERATE(as<std::string>(), "vm1", "vm2");
  const auto after = GENERATE(range(0, 30));
  CAPTURE(drained, after);
  fake_installation site(3, 4);
  site.mLoop.RunFor(duration(3'000));
  REQUIRE(site.SchedulerVm() == "vm0");
  site.Kill("vm0");
  REQUIRE(site.mLoop.RunUntil([&] { return !site.mStore.Peek("anvildoor/scheduler"); },
                              duration(3'000)));
  site.mLoop.RunFor(duration(after));
  site.Node(drained).StartDraining();
  site.mLoop.RunFor(duration(300));
  const std::string other = drained == "vm1" ? "vm2" : "vm1";
  CHECK(site.SchedulerVm() == other);
}

TEST_CASE("the log tells what a new term has waited for", "[election]")
{
  fake_installation site(1, 4);
  site.mLoop.RunFor(duration(3'000));
  const auto first = FindLine(site, "scheduler_won");
  CAPTURE(first);
  CHECK(Number(first, "followed_ms") == 0);
  CHECK(Number(first, "since_start_ms") <= 20);
  site.Kill("vm0");
  site.mLog.mLines.clear();
  const auto killedAt = site.mLoop.Now();
  site.mLoop.RunFor(duration(300));
  site.Restart("vm0");
  const auto startedAt = site.mLoop.Now();
  std::optional<time_point> goneAt;
  REQUIRE(site.mLoop.RunUntil(
    [&] {
      if (!goneAt && !site.mStore.Peek("anvildoor/scheduler")) {
        goneAt = site.mLoop.Now();
      }
      return !site.SchedulerVm().empty();
    },
    duration(3'000)));
  const auto wonAt = site.mLoop.Now();
  site.mLoop.RunFor(duration(1'500));
  const auto gone = FindLine(site, "scheduler_gone_noticed");
  const auto won = FindLine(site, "scheduler_won");
  const auto answer = FindLine(site, "first_worker_answer");
  CAPTURE(gone, won, answer, killedAt.count(), startedAt.count(), wonAt.count());
  const auto near = [](int64_t aLogged, duration aActual) {
    return std::abs(aLogged - aActual.count()) <= 5;
  };
  CHECK(near(Number(won, "since_start_ms"), wonAt - startedAt));
  CHECK(near(Number(won, "followed_ms"), *goneAt - startedAt));
  CHECK(near(Number(won, "vacant_ms"), wonAt - *goneAt));
  CHECK(Field(gone, "followed_ms") == Field(won, "followed_ms"));
  CHECK(CountEvents(site, "first_worker_answer") == 1);
  CHECK(Field(answer, "fence") == Field(won, "fence"));
  CHECK(Number(answer, "ms") >= Number(FindLine(site, "takeover"), "ms"));
}
