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
  record_writer mWriter{ mLoop,
                         mStore,
                         mLog,
                         { [this](const std::string& aKey) { return mValues.at(aKey); },
                           [](const std::string&) { FAIL("the term has ended"); } } };
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
  // Records are sent together again, and the refused one once it is small enough.
  const auto transactions = site.mWriter.TransactionCount();
  site.mStored.clear();
  for (size_t number = 0; number < records; ++number) {
    site.Write(keyOf(number), 10);
  }
  site.mLoop.RunFor(duration(2'000));
  CHECK(site.mStored.size() == records);
  CHECK(site.mWriter.TransactionCount() - transactions <= 2);
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
