#include "scheduler/RecordWriter.h"
#include "scheduler/StoreKeys.h"
#include "support/FakeInstallation.h"

#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

/** A writer in its term, on a store that has the scheduler's key. */
class writer_site
{
public:
  writer_site()
  {
    scheduler_term term;
    term.mFence = mStore.Put(store_keys::kScheduler, "vm0");
    term.mRevision = term.mFence;
    mWriter.Begin(term, 0);
  }

  /** Writes a record of a size and notes its key once it is stored. */
  void Write(const std::string& aKey, size_t aBytes)
  {
    mValues[aKey] = std::string(aBytes, 'x');
    mWriter.Write(aKey, record_writer::urgency::kBatched, [this, aKey] {
      mStored.push_back(aKey);
    });
  }

  virtual_loop mLoop;
  memory_transaction_store mStore{ mLoop };
  recording_log mLog;
  std::map<std::string, std::string> mValues;
  std::vector<std::string> mStored;
  std::vector<std::string> mRefused;
  record_writer mWriter{ mLoop,
                         mStore,
                         mLog,
                         { [this](const std::string& aKey) { return mValues.at(aKey); },
                           [](const std::string&) { FAIL("the term has ended"); },
                           [this](const std::string& aKey) {
                             mRefused.push_back(aKey);
                           } } };
};

} // namespace

// Guards against one record that the store refuses and that holds up all others.
TEST_CASE("a record that the store refuses holds up no other record", "[scheduler]")
{
  struct row
  {
    size_t mRecords;
    size_t mTooLarge; // Number of the record that is refused.
  };
  const auto [records, tooLarge] =
    GENERATE(row{ 1, 0 }, row{ 5, 0 }, row{ 5, 3 }, row{ 40, 39 });
  CAPTURE(records, tooLarge);
  writer_site site;
  site.mStore.SetMaxValueBytes(1'000);
  const auto keyOf = [](size_t aNumber) { return "key" + std::to_string(aNumber); };
  for (size_t number = 0; number < records; ++number) {
    site.Write(keyOf(number), number == tooLarge ? 1'001 : 10);
  }
  site.mStore.Put("removed", "1");
  site.mWriter.Remove({ "removed" }, [&] { site.mStored.push_back("removed"); });
  site.mLoop.RunFor(duration(20'000));
  CHECK(site.mStored.size() == records); // All but one, and the removal.
  CHECK_FALSE(site.mStore.Peek("removed"));
  CHECK_FALSE(site.mStore.Peek(keyOf(tooLarge)));
  CHECK(site.mLog.CountLines("event=record_refused key=" + keyOf(tooLarge)) == 1);
  // Records are sent together again, and the refused one, small enough, by itself.
  const auto transactions = site.mWriter.TransactionCount();
  site.mStored.clear();
  for (size_t number = 0; number < records; ++number) {
    site.Write(keyOf(number), 10);
  }
  site.mLoop.RunFor(duration(2'000));
  CHECK(site.mStored.size() == records + 1); // Also what waited for the refused value.
  constexpr auto kMost = record_writer::kMaxRecordsPerTransaction;
  CHECK(site.mWriter.TransactionCount() - transactions ==
        1 + (records - 1 + kMost - 1) / kMost);
}

// Guards against ends that are never acknowledged, and runs that never start.
TEST_CASE("what waits for a refused record is told and runs once it is stored",
          "[scheduler]")
{
  struct row
  {
    bool
      mIsWrittenAgain; // With a value that the store takes; else it takes larger ones.
    duration mCuredAfter;
    duration mStoredWithin; // Since then.
  };
  const auto [isWrittenAgain, curedAfter, storedWithin] =
    GENERATE(row{ true, duration(300), duration(1'500) },
             row{ true, duration(4'000), duration(1'500) },
             row{ false, duration(300), duration(11'000) },
             row{ false, duration(30'000), duration(11'000) });
  CAPTURE(isWrittenAgain, curedAfter.count());
  writer_site site;
  site.mStore.SetMaxValueBytes(1'000);
  site.Write("large", 1'001);
  int waitersRun = 0;
  site.mWriter.WhenStored("large", [&] { ++waitersRun; });
  site.mLoop.RunFor(curedAfter);
  CHECK_FALSE(site.mRefused.empty());
  // Nothing counts as stored that isn't, whoever asks for it and when.
  site.mWriter.WhenStored("large", [&] { ++waitersRun; });
  site.mLoop.RunFor(duration(10));
  CHECK(site.mStored.empty());
  CHECK(waitersRun == 0);
  CHECK_FALSE(site.mWriter.IsStored("large"));
  CHECK(site.mWriter.UnconfirmedKeys() == std::vector<std::string>{ "large" });
  if (isWrittenAgain) {
    site.Write("large", 10);
  } else {
    site.mStore.SetMaxValueBytes(2'000);
  }
  site.mLoop.RunFor(storedWithin);
  CHECK(site.mStore.Peek("large"));
  CHECK(waitersRun == 2);
  CHECK(site.mStored.size() == (isWrittenAgain ? 2 : 1));
  CHECK(site.mWriter.IsStored("large"));
  CHECK(site.mWriter.UnconfirmedKeys().empty());
  // It isn't sent again once it is stored.
  const auto transactions = site.mWriter.TransactionCount();
  site.mLoop.RunFor(duration(30'000));
  CHECK(site.mWriter.TransactionCount() == transactions);
}

// Guards against refused records whose repetition delays the others.
TEST_CASE("records are stored in time beside others that are refused again and again",
          "[scheduler]")
{
  const auto refused = GENERATE(1, 5, 20);
  const auto changeEvery = GENERATE(duration(50), duration(700), duration(60'000));
  CAPTURE(refused, changeEvery.count());
  writer_site site;
  site.mStore.SetMaxValueBytes(1'000);
  const auto writeRefused = [&] {
    for (int number = 0; number < refused; ++number) {
      site.Write("large" + std::to_string(number), 1'001);
    }
  };
  writeRefused();
  site.mLoop.RunFor(duration(5'000));
  site.mStored.clear();
  const auto transactions = site.mWriter.TransactionCount();
  constexpr int kRecords = 100;
  duration longest{ 0 };
  auto changedAt = site.mLoop.Now();
  for (int number = 0; number < kRecords; ++number) {
    if (site.mLoop.Now() - changedAt >= changeEvery) {
      changedAt = site.mLoop.Now();
      writeRefused();
    }
    const auto writtenAt = site.mLoop.Now();
    site.Write("small" + std::to_string(number), 10);
    REQUIRE(site.mLoop.RunUntil(
      [&] { return site.mStored.size() == static_cast<size_t>(number) + 1; },
      duration(5'000)));
    longest = std::max(longest, site.mLoop.Now() - writtenAt);
  }
  CAPTURE(longest.count());
  CHECK(longest <= duration(200)); // The delay of records that aren't urgent is 120 ms.
  CHECK(site.mWriter.TransactionCount() - transactions <= 2 * kRecords + 10);
}

// Guards against transactions that no link carries within the timeout of the call.
TEST_CASE("large records are spread over several transactions", "[scheduler]")
{
  struct row
  {
    size_t mRecords;
    size_t mBytes;
    uint64_t mTransactions;
  };
  const auto [records, bytes, transactions] =
    GENERATE(row{ 20, 1'000, 1 }, row{ 20, 100'000, 7 }, row{ 3, 700'000, 3 });
  writer_site site;
  for (size_t number = 0; number < records; ++number) {
    site.Write("key" + std::to_string(number), bytes);
  }
  site.mLoop.RunFor(duration(5'000));
  CHECK(site.mStored.size() == records);
  CHECK(site.mWriter.TransactionCount() == transactions);
}

TEST_CASE("a callback waits for earlier writes of its record only", "[scheduler]")
{
  struct row
  {
    bool mIsPending;  // A write of the record waits to be sent.
    bool mIsInFlight; // A write of the record awaits its answer.
  };
  const auto [isPending, isInFlight] =
    GENERATE(row{ false, false }, row{ true, false }, row{ false, true });
  CAPTURE(isPending, isInFlight);
  writer_site site;
  site.Write(isPending || isInFlight ? "key" : "other", 10);
  if (isInFlight) {
    site.mLoop.RunUntil([&] { return site.mWriter.TransactionCount() == 1; },
                        duration(1'000));
  }
  REQUIRE(site.mStored.empty());
  CHECK(site.mWriter.IsStored("key") == !(isPending || isInFlight));
  const bool waits = isPending || isInFlight;
  bool wasRun = false;
  site.mWriter.WhenStored("key", [&] {
    wasRun = true;
    CHECK(site.mStored.empty() != waits);
  });
  CHECK_FALSE(wasRun);
  site.mLoop.RunFor(duration(1'000));
  CHECK(wasRun);
}

// Guards against accelerators that are kept for runs which can't be recorded.
TEST_CASE("a job whose record the store refuses holds up no other job", "[scheduler]")
{
  constexpr uint32_t kLargeTasks = 24;
  constexpr size_t kMaxBytes = 400;
  constexpr int kSmallJobs = 12; // With the large job, more than there is room for.
  const auto isGang = GENERATE(false, true);
  const auto isCancelled = GENERATE(false, true);
  CAPTURE(isGang, isCancelled);
  fake_installation site(3, 4);
  site.mBehaviourByPayload["long"] = { duration(60'000), false };
  site.mLoop.RunFor(duration(3'000));
  site.mStore.SetMaxValueBytes(kMaxBytes);
  const std::string large = "00000000000000a0";
  auto job = fake_installation::MakeJob(large, kLargeTasks, isGang);
  job.mSpec.mPayload = "long";
  REQUIRE(site.Submit("vm1", job) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(500));
  REQUIRE(site.mLog.CountLines("event=record_refused key=" + store_keys::kProgress) ==
          1);
  for (int number = 0; number < kSmallJobs; ++number) {
    auto small =
      fake_installation::MakeJob("00000000000000" + std::to_string(10 + number), 1);
    small.mSpec.mPayload = "long";
    REQUIRE(site.Submit("vm1", small) == job_answer::kAccepted);
  }
  site.mLoop.RunFor(duration(2'000));
  CHECK(site.mTraces.size() == kSmallJobs);
  if (isCancelled) {
    REQUIRE(site.StoreCancellation("vm2", large) == job_answer::kAccepted);
  }
  site.mLoop.RunFor(duration(15'000));
  CHECK(site.CountStarts(large) == 0);
  site.mStore.SetMaxValueBytes(1'048'576);
  CHECK(site.ReachesState(
    "vm2", large, isCancelled ? "cancelled" : "queued", duration(15'000)));
  site.mLoop.RunFor(duration(60'000)); // Until the small jobs have ended.
  CHECK(site.CountStarts(large) == (isCancelled ? 0 : kLargeTasks));
  CHECK(site.MaxConcurrentRuns() == 1);
}

// Guards against ends that are never acknowledged, as nothing writes their record
// again.
TEST_CASE("ends are acknowledged once the store takes their record", "[scheduler]")
{
  const auto refusedFor = GENERATE(duration(3'000), duration(25'000));
  CAPTURE(refusedFor.count());
  fake_installation site(3, 4);
  site.mBehaviourByPayload["short"] = { duration(2'000), false };
  const std::string ending = "00000000000000a0";
  auto job = fake_installation::MakeJob(ending, 3);
  job.mSpec.mPayload = "short";
  REQUIRE(site.Submit("vm1", job) == job_answer::kAccepted);
  site.mLoop.RunFor(duration(1'000));
  REQUIRE(site.CountStarts(ending) == 3);
  site.mStore.SetMaxValueBytes(10);
  site.mLoop.RunFor(duration(1'000) + refusedFor);
  CHECK(site.StateAt("vm2", ending) == "running");
  site.mStore.SetMaxValueBytes(1'048'576);
  CHECK(site.ReachesState("vm2", ending, "done", duration(11'000)));
  CHECK(site.CountStarts(ending) == 3);
}
