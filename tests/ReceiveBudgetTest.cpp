#include "http/ReceiveBudget.h"
#include "entry/EntrySettings.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace anvildoor;

namespace {

constexpr size_t kMb = 1'048'576;

/** Opens connections and notes which of them were told to give way. */
class budget_fixture
{
public:
  explicit budget_fixture(const receive_limits& aLimits)
    : mBudget(aLimits)
  {
  }

  receive_budget::number Open()
  {
    const auto name = ++mOpened;
    const auto opened = mBudget.Open([this, name] { mGaveWay.push_back(name); });
    REQUIRE(opened);
    return *opened;
  }

  /** Opens a connection that has received aBytes of a request. */
  receive_budget::number Receive(size_t aBytes)
  {
    const auto opened = Open();
    mBudget.BeginRequest(opened);
    CHECK(mBudget.Hold(opened, aBytes));
    return opened;
  }

  receive_budget mBudget;
  std::vector<uint64_t> mGaveWay; ///< Numbers in the order of opening, from 1.

private:
  uint64_t mOpened = 0;
};

} // namespace

TEST_CASE("the requests that are received for longest give way to further bytes",
          "[receive-budget]")
{
  struct row
  {
    std::vector<size_t> mHeld; ///< By connections that receive requests.
    size_t mNext;              ///< Held by one more.
    std::vector<uint64_t> mGaveWay;
    size_t mHeldAfter;
  };
  const auto [held, next, gaveWay, heldAfter] =
    GENERATE(row{ {}, 500, {}, 500 }, // Alone: served, whatever its size.
             row{ { 40, 40 }, 20, {}, 100 },
             row{ { 40, 40 }, 21, { 1 }, 61 },
             row{ { 40, 40 }, 61, { 1, 2 }, 61 },
             row{ { 40, 40 }, 500, { 1, 2 }, 500 });
  budget_fixture fixture({ 100, 10 });
  for (const auto bytes : held) {
    fixture.Receive(bytes);
  }
  fixture.Receive(next);
  CHECK(fixture.mGaveWay == gaveWay);
  CHECK(fixture.mBudget.HeldBytes() == heldAfter);
  CHECK(fixture.mBudget.Refusals().mRequests == gaveWay.size());
}

TEST_CASE("the request that is received for longest gives way itself",
          "[receive-budget]")
{
  budget_fixture fixture({ 100, 10 });
  const auto first = fixture.Receive(50);
  fixture.Receive(50);
  CHECK_FALSE(fixture.mBudget.Hold(first, 51));
  CHECK(fixture.mGaveWay.empty());
  CHECK(fixture.mBudget.HeldBytes() == 50);
  fixture.mBudget.Close(first);
  CHECK(fixture.mBudget.Connections() == 1);
}

TEST_CASE("a request that has been received does not give way", "[receive-budget]")
{
  budget_fixture fixture({ 100, 10 });
  const auto served = fixture.Receive(90);
  fixture.mBudget.BeginServing(served);
  const auto other = fixture.Open();
  fixture.mBudget.BeginRequest(other);
  CHECK_FALSE(fixture.mBudget.Hold(other, 20));
  CHECK(fixture.mGaveWay.empty());
  fixture.mBudget.BecomeIdle(served);
  CHECK(fixture.mBudget.HeldBytes() == 0);
}

TEST_CASE("the connection that is idle for longest makes room for a new one",
          "[receive-budget]")
{
  enum class stage
  {
    kIdle,
    kReceiving,
    kServing,
  };
  struct row
  {
    std::vector<stage> mOpen;
    std::vector<uint64_t> mGaveWay;
    bool mOpened;
  };
  using enum stage;
  const auto [open, gaveWay, opened] =
    GENERATE(row{ { kIdle, kReceiving }, {}, true },
             row{ { kIdle, kIdle, kIdle }, { 1 }, true },
             row{ { kReceiving, kServing, kIdle }, { 3 }, true },
             row{ { kServing, kReceiving, kReceiving }, { 2 }, true },
             row{ { kServing, kServing, kServing }, {}, false });
  budget_fixture fixture({ 100, 3 });
  for (const auto each : open) {
    const auto connection = fixture.Open();
    if (each != kIdle) {
      fixture.mBudget.BeginRequest(connection);
    }
    if (each == kServing) {
      fixture.mBudget.BeginServing(connection);
    }
  }
  CHECK(fixture.mBudget.Open([] {}).has_value() == opened);
  CHECK(fixture.mGaveWay == gaveWay);
  CHECK(fixture.mBudget.Connections() == 3);
}

TEST_CASE(
  "limits on clients follow the VM's memory and descriptors unless they are set",
  "[receive-budget][settings]")
{
  struct row
  {
    std::string mText;
    receive_limits mCallers;
    receive_limits mInternal;
  };
  const auto [text, callers, internal] = GENERATE(
    row{ "", { 64 * kMb, 16'384 }, { 16 * kMb, 4'096 } },
    row{
      "memory_mb = 120\nmax_fds = 3075\n", { 30 * kMb, 1'537 }, { 30 * kMb / 4, 384 } },
    row{ "memory_mb = 120\nmax_fds = 3075\nreceive_mb = 4\nconnections = 100\n",
         { 4 * kMb, 100 },
         { kMb, 25 } },
    row{ "connections = 1\n", { 64 * kMb, 1 }, { 16 * kMb, 1 } });
  const auto settings = ParseEntrySettings(
    "f.ini",
    "[vm]\nname = e1\ndata_centre = z\n[listen]\njobs = 10.1.0.19:8521\n"
    "readiness = 10.1.0.19:8523\npeers = 10.1.0.19:7000\n"
    "[store]\naddress = 10.2.0.1:8524\n[limits]\n" +
      text);
  REQUIRE(settings);
  CHECK(CallerReceiveLimits(*settings) == callers);
  CHECK(InternalReceiveLimits(*settings) == internal);
}
