#include "scheduler/InboxReader.h"
#include "scheduler/StoreKeys.h"
#include "standin/MemoryTransactionStore.h"
#include "support/FakeInstallation.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace anvildoor;

namespace {

constexpr duration kNever{ 1'000'000 };

/** What happens to the calls of one kind. */
enum class call_fault
{
  kNone,
  kSilent,  ///< No answer until the caller's timeout.
  kRefused, ///< Answered at once with an error.
};

/** Passes on calls to a store in memory, with faults by kind of call. */
class faulty_store : public memory_transaction_store
{
public:
  explicit faulty_store(virtual_loop& aLoop)
    : memory_transaction_store(aLoop)
    , mLoop(aLoop)
  {
  }

  call_fault mWatchFault = call_fault::kNone;
  call_fault mListFault = call_fault::kNone;
  time_point mFaultsUntil{ kNever };
  int mLists = 0;

protected:
  void OnWatch(const std::string& aPrefix,
               uint64_t aRevision,
               duration aWait,
               done<stored_changes> aDone) override
  {
    constexpr duration kTimeoutMargin{ 1'500 };
    if (!Fails<stored_changes>(mWatchFault, aWait + kTimeoutMargin, aDone)) {
      memory_transaction_store::OnWatch(aPrefix, aRevision, aWait, std::move(aDone));
    }
  }

  void OnList(const std::string& aPrefix,
              bool aMayBeStale,
              done<stored_range> aDone) override
  {
    ++mLists;
    constexpr duration kTimeout{ 1'000 };
    if (!Fails<stored_range>(mListFault, kTimeout, aDone)) {
      memory_transaction_store::OnList(aPrefix, aMayBeStale, std::move(aDone));
    }
  }

private:
  template<typename T>
  bool Fails(call_fault aFault, duration aTimeout, const done<T>& aDone)
  {
    if (aFault == call_fault::kNone || mLoop.Now() >= mFaultsUntil) {
      return false;
    }
    mLoop.RunAfter(aFault == call_fault::kSilent ? aTimeout : duration(1), [aDone] {
      aDone(Fail(error_code::kUnavailable, "store", "store", "fault"));
    });
    return true;
  }

  virtual_loop& mLoop;
};

/** A reader on a store, and what it has read. */
class reader_site
{
public:
  size_t CountReads(const std::string& aKey) const
  {
    return static_cast<size_t>(std::count(mRead.begin(), mRead.end(), aKey));
  }

  virtual_loop mLoop{ time_point(10'000) };
  faulty_store mStore{ mLoop };
  recording_log mLog;
  std::vector<std::string> mRead;
  std::vector<std::string> mRemoved;
  int mHistoryLosses = 0;
  int mListsEnded = 0;
  metrics mMetrics;
  inbox_monitor mMonitor{ mLog, mMetrics };
  inbox_reader mReader{ mLoop,
                        mStore,
                        mLog,
                        mMonitor,
                        { [this](const stored_item& aItem, inbox_source) {
                           mRead.push_back(aItem.mKey);
                         },
                          [this](const std::string& aKey) { mRemoved.push_back(aKey); },
                          [this] { ++mHistoryLosses; },
                          [this] { ++mListsEnded; } } };
};

const std::string kCancelKey = store_keys::kCancels + "00000000000000a1";
const std::string kJobKey = store_keys::kJobs + "00000000000000a1";

} // namespace

// Guards against a cancellation that stays unread behind a silent or refused watch.
TEST_CASE("a cancellation is read within 2 s whatever happens to watches",
          "[scheduler]")
{
  struct row
  {
    call_fault mWatches;
    call_fault mLists;
    int mFaultsLastMs;
  };
  const auto [watches, lists, faultsLastMs] =
    GENERATE(row{ call_fault::kNone, call_fault::kNone, 0 },
             row{ call_fault::kSilent, call_fault::kNone, 1'000'000 },
             row{ call_fault::kRefused, call_fault::kNone, 1'000'000 },
             row{ call_fault::kSilent, call_fault::kSilent, 500 },
             row{ call_fault::kSilent, call_fault::kRefused, 500 },
             row{ call_fault::kNone, call_fault::kSilent, 1'000'000 });
  const auto writtenAfter = GENERATE(0, 100, 500, 990, 1'290, 1'310, 2'600, 7'000);
  CAPTURE(watches, lists, faultsLastMs, writtenAfter);
  reader_site site;
  site.mStore.mWatchFault = watches;
  site.mStore.mListFault = lists;
  site.mStore.mFaultsUntil = site.mLoop.Now() + duration(faultsLastMs);
  site.mReader.Begin(site.mStore.Revision());
  site.mLoop.RunFor(duration(writtenAfter));
  site.mStore.Put(kCancelKey, "1");
  site.mLoop.RunFor(duration(2'000));
  CHECK(site.CountReads(kCancelKey) >= 1);
}

TEST_CASE("a job is read although the watch of the inbox fails for long", "[scheduler]")
{
  const auto fault = GENERATE(call_fault::kSilent, call_fault::kRefused);
  const auto writtenAfter = GENERATE(0, 3'000);
  reader_site site;
  site.mStore.mWatchFault = fault;
  site.mReader.Begin(site.mStore.Revision());
  site.mLoop.RunFor(duration(writtenAfter));
  site.mStore.Put(kJobKey, "{}");
  site.mLoop.RunFor(duration(3'500));
  CHECK(site.CountReads(kJobKey) >= 1);
  const auto lists = site.mStore.mLists;
  site.mLoop.RunFor(duration(20'000));
  CHECK(site.CountReads(kJobKey) <= 12);
  CHECK(site.mStore.mLists - lists <= 41);
}

TEST_CASE("a job is read once the watch of the inbox is answered again", "[scheduler]")
{
  const auto fault = GENERATE(call_fault::kSilent, call_fault::kRefused);
  reader_site site;
  site.mStore.mWatchFault = fault;
  site.mStore.mFaultsUntil = site.mLoop.Now() + duration(6'000);
  site.mReader.Begin(site.mStore.Revision());
  site.mLoop.RunFor(duration(3'000));
  site.mStore.Put(kJobKey, "{}");
  site.mLoop.RunFor(duration(4'500));
  const auto reads = site.CountReads(kJobKey);
  CHECK(reads >= 1);
  site.mLoop.RunFor(duration(10'000));
  CHECK(site.CountReads(kJobKey) == reads);
}

TEST_CASE("an inbox that can be watched is not listed", "[scheduler]")
{
  reader_site site;
  site.mReader.Begin(site.mStore.Revision());
  site.mLoop.RunFor(duration(20'000));
  CHECK(site.mStore.mLists == 0);
}

TEST_CASE("lists of cancellations stay rare while watches are refused", "[scheduler]")
{
  reader_site site;
  site.mStore.mWatchFault = call_fault::kRefused;
  site.mReader.Begin(site.mStore.Revision());
  constexpr int kSeconds = 20;
  site.mLoop.RunFor(std::chrono::seconds(kSeconds));
  CHECK(site.mStore.mLists <= 2 * kSeconds + 1);
}

TEST_CASE("the inbox is listed once the store's history is lost", "[scheduler]")
{
  reader_site site;
  site.mReader.Begin(site.mStore.Revision());
  site.mStore.SuspendWatches();
  site.mStore.Put(kJobKey, "{}");
  site.mStore.Put(kCancelKey, "1");
  site.mLoop.RunFor(duration(300));
  CHECK(site.mRead.empty());
  site.mStore.Compact();
  site.mLoop.RunFor(duration(100));
  CHECK(site.CountReads(kJobKey) == 1);
  CHECK(site.CountReads(kCancelKey) >= 1);
  CHECK_FALSE(site.mReader.IsListing());
  CHECK(site.mListsEnded >= 1);
  CHECK(site.mHistoryLosses == 1);
}

TEST_CASE("an ended reader reads nothing", "[scheduler]")
{
  reader_site site;
  site.mStore.mWatchFault = GENERATE(call_fault::kNone, call_fault::kRefused);
  site.mReader.Begin(site.mStore.Revision());
  site.mLoop.RunFor(duration(300));
  site.mReader.End();
  const auto calls = site.mStore.CallCount();
  site.mStore.Put(kCancelKey, "1");
  site.mLoop.RunFor(duration(5'000));
  CHECK(site.mRead.empty());
  CHECK(site.mStore.CallCount() == calls);
}
