#include "support/FakeInstallation.h"
#include "support/LogLines.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace anvildoor;

namespace {

const std::string kJob = "00000000000000c1";
/** From the acknowledgement of a cancellation to the end of the job's last run. */
constexpr duration kCancelBound{ 3'400 };
/** From the acknowledgement of a cancellation to the job's last start. */
constexpr duration kStartBound{ 3'000 };
constexpr size_t kVms = 5;
constexpr size_t kWorkers = 12;
constexpr size_t kWorkersPerRack = 4;
/** The workers of the first rack stand in the data centre that is cut off. */
const std::string kCutRack = "r0";

/** How the scheduler that started the runs ceases to schedule. */
enum class term_end
{
  kDrained,    ///< As on SIGTERM.
  kHandedOver, ///< A successor has asked for the summary of the term.
  kExpired,    ///< The lease has ended at the store.
  kRegained,   ///< The same, and the VM has been elected again.
};

/** Which VM acknowledges; both stand in the data centre that is cut off. */
enum class acknowledger
{
  kStarter,
  kNeighbour,
};

struct cut_row
{
  term_end mEnd = term_end::kDrained;
  acknowledger mBy = acknowledger::kStarter;
  /** From the end of the term to the acknowledgement; negative: before. */
  duration mAckAfterEnd{ 0 };
  duration mCutAfterAck{ 0 };
  duration mCutFor{ 0 };
  duration mLeaseMax{ 10'000 };
  duration mListDelay{ 0 }; ///< Of the store, which slows the successor's takeover.
  bool mIsLocal = true;     ///< Whether all workers of the job are cut off, too.
  bool mIsGang = false;
  bool mStarterIsCut = true;
  /** Whether the times count from the storing, which is before the acknowledgement. */
  bool mIsSinceStored = true;
  /** Whether the times count from an acknowledgement that may come in the cut. */
  bool mAnswersLate = false;
  /** Of a second scheduler outside the cut, which drains, too; negative: none. */
  duration mSecondTerm{ -1 };
};

struct cut_outcome
{
  duration mLongest{ 0 }; ///< From the acknowledgement to the last end.
  duration mLongestAfterCut{ 0 };
  duration mLastStart{ -100'000 }; ///< Since the acknowledgement.
  size_t mRuns = 0;                ///< Started before the acknowledgement.
  size_t mWorkers = 0;
};

class cancelled_in_cut
{
public:
  explicit cancelled_in_cut(const cut_row& aRow)
    : mRow(aRow)
    , mSite(kVms, kWorkers, kWorkersPerRack, MakeBounds(aRow.mLeaseMax))
  {
  }

  cut_outcome Play()
  {
    constexpr duration kWatched{ 20'000 };
    constexpr uint32_t kTasks = 6;
    mSite.mLoop.RunFor(duration(2'000));
    mStarter = mSite.SchedulerVm();
    mNeighbour = mStarter == "vm3" ? "vm4" : "vm3";
    mSite.mBehaviourByPayload["60"] = { duration(60'000), false };
    auto job = fake_installation::MakeJob(kJob, kTasks, mRow.mIsGang);
    job.mSpec.mPayload = "60";
    auto& step = job.mSpec.mSteps.front();
    step.mPerTask.mAccelerators = mRow.mIsLocal ? 4 : 8;
    step.mRequiredLabel = mRow.mIsLocal ? kCutRack : "";
    REQUIRE(mSite.Submit(mNeighbour, job) == job_answer::kAccepted);
    mSite.mLoop.RunFor(duration(3'000));
    mSite.mFaults.mListDelay = mRow.mListDelay;
    REQUIRE(mSite.CountStarts(kJob) == kTasks);
    if (mRow.mAckAfterEnd < duration::zero()) {
      Acknowledge();
      mSite.mLoop.RunFor(-mRow.mAckAfterEnd);
      EndTerm();
    } else {
      EndTerm();
      mSite.mLoop.RunFor(mRow.mAckAfterEnd);
      Acknowledge();
    }
    mSite.mLoop.RunFor(std::max(
      duration::zero(), mAcknowledgedAt + mRow.mCutAfterAck - mSite.mLoop.Now()));
    BeginCut();
    mSite.mLoop.RunFor(mRow.mCutFor);
    const auto cutEnd = mSite.mLoop.Now();
    mSite.mFaults.mBlockedLinks.clear();
    mSite.mLoop.RunFor(kWatched);
    if (mRow.mAnswersLate) {
      REQUIRE(mAnsweredAt);
      mAcknowledgedAt = *mAnsweredAt;
    }
    return Judge(cutEnd);
  }

private:
  static scheduler_bounds MakeBounds(duration aLeaseMax)
  {
    scheduler_bounds bounds;
    bounds.mRuns.mLeaseMax = aLeaseMax;
    return bounds;
  }

  void Acknowledge()
  {
    const auto& vm = mRow.mBy == acknowledger::kStarter ? mStarter : mNeighbour;
    if (mRow.mAnswersLate) {
      mSite.mFaults.mLosesFirstStops = true;
      CancelRepeatedly(vm);
      REQUIRE(mSite.mLoop.RunUntil(
        [&] { return mSite.mCancelStoredAt.count(kJob) != 0; }, duration(1'000)));
      mAcknowledgedAt = mSite.mLoop.Now(); // The cut counts from now.
      return;
    }
    REQUIRE((mRow.mIsSinceStored ? mSite.StoreCancellation(vm, kJob)
                                 : mSite.Cancel(vm, kJob)) == job_answer::kAccepted);
    mAcknowledgedAt = mSite.mLoop.Now();
  }

  /** Cancels the job again after each answer that doesn't acknowledge it. */
  void CancelRepeatedly(const std::string& aVm)
  {
    const auto deadline = mSite.mLoop.Now() + fake_installation::kCallersPatience;
    mSite.Node(aVm).Jobs().Cancel(
      kJob,
      fake_installation::Caller(),
      deadline,
      [this, aVm](const job_reply& aReply) {
        if (aReply.mAnswer == job_answer::kAccepted) {
          mAnsweredAt = mSite.mLoop.Now();
        } else {
          mSite.mLoop.RunAfter(duration(100), [this, aVm] { CancelRepeatedly(aVm); });
        }
      });
  }

  void EndTerm()
  {
    constexpr duration kExitDelay{ 5'000 };
    auto& node = mSite.Node(mStarter);
    switch (mRow.mEnd) {
      case term_end::kDrained:
        node.StartDraining();
        mSite.mLoop.RunAfter(kExitDelay, [this] { mSite.Kill(mStarter); });
        if (mRow.mSecondTerm >= duration::zero()) {
          REQUIRE(mSite.mLoop.RunUntil([&] { return !mSite.SchedulerVm().empty(); },
                                       duration(2'000)));
          const auto second = mSite.SchedulerVm();
          REQUIRE(second != mNeighbour);
          mSite.mLoop.RunFor(mRow.mSecondTerm);
          mSite.Node(second).StartDraining();
        }
        break;
      case term_end::kHandedOver:
        node.SummaryForSuccessor(node.Election().Current().mFence + 1);
        break;
      case term_end::kExpired:
        mSite.mStore.EndLease(node.Election().Current().mLease,
                              [](const result<uint64_t>&) {});
        mSite.mLoop.RunUntil([&] { return !node.Election().IsHolder(); },
                             duration(1'000));
        break;
      case term_end::kRegained: {
        const auto former = node.Election().Current();
        for (size_t number = 0; number < kVms; ++number) {
          mSite.mFaults.mStoreBusyFor.insert("vm" + std::to_string(number));
        }
        mSite.mFaults.mStoreBusyFor.erase(mStarter);
        mSite.mStore.EndLease(former.mLease, [](const result<uint64_t>&) {});
        REQUIRE(mSite.mLoop.RunUntil(
          [&] {
            return node.Election().IsHolder() &&
                   node.Election().Current().mFence > former.mFence;
          },
          duration(1'000)));
        mSite.mFaults.mStoreBusyFor.clear();
        return;
      }
    }
    REQUIRE(!node.Election().IsHolder());
  }

  bool IsCut(const std::string& aName) const
  {
    return (mRow.mStarterIsCut && aName == mStarter) || aName == mNeighbour ||
           (aName.front() == 'w' && std::stoul(aName.substr(1)) < kWorkersPerRack);
  }

  void BeginCut()
  {
    std::vector<std::string> names;
    for (size_t number = 0; number < kVms; ++number) {
      names.push_back("vm" + std::to_string(number));
    }
    for (size_t number = 0; number < kWorkers; ++number) {
      names.push_back("w" + std::to_string(number));
    }
    for (size_t number = 0; number < kVms; ++number) {
      const auto& vm = names[number];
      for (const auto& other : names) {
        if (IsCut(vm) != IsCut(other)) {
          mSite.mFaults.mBlockedLinks.insert({ vm, other });
        }
      }
      if (IsCut(vm)) {
        mSite.mFaults.mBlockedLinks.insert({ vm, "store" });
      }
    }
  }

  cut_outcome Judge(time_point aCutEnd) const
  {
    cut_outcome outcome;
    std::set<std::string> workers;
    for (const auto& trace : mSite.mTraces) {
      const auto ended = trace.mEnded.value_or(mSite.mLoop.Now());
      outcome.mLongest = std::max(outcome.mLongest, ended - mAcknowledgedAt);
      outcome.mLongestAfterCut =
        std::max(outcome.mLongestAfterCut, ended - std::max(mAcknowledgedAt, aCutEnd));
      outcome.mLastStart =
        std::max(outcome.mLastStart, trace.mStartedAt - mAcknowledgedAt);
      outcome.mRuns += ended > mAcknowledgedAt ? 1 : 0;
      workers.insert(trace.mWorker);
    }
    outcome.mWorkers = workers.size();
    return outcome;
  }

  cut_row mRow;
  fake_installation mSite;
  std::string mStarter;
  std::string mNeighbour;
  time_point mAcknowledgedAt{ 0 };
  std::optional<time_point> mAnsweredAt; ///< See cut_row::mAnswersLate.
};

/** Plays a row in which all workers of the job are cut off, and checks the bounds. */
void CheckEndsInTime(const cut_row& aRow)
{
  const auto by = static_cast<int>(aRow.mBy);
  const auto outcome = cancelled_in_cut(aRow).Play();
  CAPTURE(by,
          aRow.mAckAfterEnd.count(),
          aRow.mCutAfterAck.count(),
          aRow.mListDelay.count(),
          aRow.mSecondTerm.count(),
          aRow.mIsGang,
          outcome.mLongest.count(),
          outcome.mLastStart.count());
  CHECK(outcome.mLongest <= kCancelBound);
  CHECK(outcome.mLastStart <= kStartBound);
  CHECK(outcome.mRuns > 0);
}

} // namespace

// Guards against runs that go on to the end of a cut although VMs beside them know.
TEST_CASE("a cancelled job's runs end in time in the data centre of a former scheduler",
          "[cancel-cut]")
{
  cut_row row;
  row.mEnd = GENERATE(term_end::kDrained, term_end::kHandedOver, term_end::kExpired);
  row.mBy = GENERATE(acknowledger::kStarter, acknowledger::kNeighbour);
  row.mAckAfterEnd = duration(GENERATE(-20, 0, 20, 150));
  row.mCutAfterAck = duration(GENERATE(0, 5, 60, 300));
  std::tie(row.mCutFor, row.mLeaseMax) = GENERATE(table<duration, duration>(
    { { duration(5'300), duration(6'000) }, { duration(6'500), duration(10'000) } }));
  row.mListDelay = duration(GENERATE(0, 120));
  row.mIsLocal = GENERATE(true, false);
  row.mIsGang = GENERATE(false, true);
  cancelled_in_cut site(row);
  const auto outcome = site.Play();
  const auto end = static_cast<int>(row.mEnd);
  const auto by = static_cast<int>(row.mBy);
  const auto longest = (row.mIsLocal ? outcome.mLongest : outcome.mLongestAfterCut);
  CAPTURE(end,
          by,
          row.mAckAfterEnd.count(),
          row.mCutAfterAck.count(),
          row.mCutFor.count(),
          row.mLeaseMax.count(),
          row.mListDelay.count(),
          row.mIsLocal,
          row.mIsGang,
          longest.count(),
          outcome.mLastStart.count());
  CHECK(longest <= kCancelBound);
  CHECK(outcome.mLastStart <= kStartBound);
  CHECK(outcome.mRuns > 0);
  CHECK(outcome.mWorkers >= (row.mIsLocal ? 3 : 6));
}

// Guards against a VM that forgets its runs when it is elected again.
TEST_CASE(
  "a cancelled job's runs end in time in the data centre of a scheduler that has "
  "not taken over from itself",
  "[cancel-cut]")
{
  cut_row row;
  row.mEnd = term_end::kRegained;
  row.mBy = GENERATE(acknowledger::kStarter, acknowledger::kNeighbour);
  row.mAckAfterEnd = duration(GENERATE(0, 20));
  row.mCutAfterAck = duration(GENERATE(5, 30));
  row.mCutFor = duration(6'500);
  row.mListDelay = duration(GENERATE(0, 120));
  row.mIsGang = GENERATE(false, true);
  CheckEndsInTime(row);
}

// Guards against former schedulers that aren't told since another one came after them.
TEST_CASE("a cancelled job's runs end in time in the data centre of a scheduler whose "
          "successor has soon ceased to be it",
          "[cancel-cut]")
{
  cut_row row;
  row.mBy = acknowledger::kNeighbour;
  row.mCutAfterAck = duration(5);
  row.mCutFor = duration(6'500);
  row.mIsGang = GENERATE(false, true);
  std::tie(row.mListDelay, row.mSecondTerm, row.mAckAfterEnd) =
    GENERATE(table<duration, duration, duration>({
      { duration(60), duration(40), duration(110) },
      { duration(60), duration(40), duration(150) },
      { duration(60), duration(60), duration(100) },
      { duration(120), duration(80), duration(190) },
      { duration(120), duration(100), duration(180) },
      { duration(120), duration(120), duration(170) },
    }));
  CheckEndsInTime(row);
}

// Guards against cancellations that wait for one scheduler, which a cut then parts from
// the workers, if the former one stands on its side.
TEST_CASE("a cancelled job's runs end in time in a data centre without the former "
          "scheduler",
          "[cancel-cut]")
{
  cut_row row;
  row.mIsSinceStored = false;
  row.mBy = acknowledger::kNeighbour;
  row.mStarterIsCut = false;
  row.mCutFor = duration(6'500);
  std::tie(row.mListDelay, row.mAckAfterEnd, row.mCutAfterAck) =
    GENERATE(table<duration, duration, duration>({
      { duration(0), duration(5), duration(5) },
      { duration(60), duration(70), duration(60) },
      { duration(120), duration(240), duration(5) },
      { duration(120), duration(190), duration(60) },
    }));
  CheckEndsInTime(row);
}

// Guards against acknowledgements on a confirmation from before the cut.
TEST_CASE("a cancelled job's runs end in time after an acknowledgement in a cut",
          "[cancel-cut]")
{
  cut_row row;
  row.mAnswersLate = true;
  row.mBy = acknowledger::kNeighbour;
  row.mStarterIsCut = false;
  row.mCutFor = duration(6'500);
  row.mIsGang = GENERATE(false, true);
  row.mListDelay = duration(GENERATE(0, 60, 120));
  row.mAckAfterEnd = duration(GENERATE(5, 70, 190, 240, 1'000));
  row.mCutAfterAck = duration(GENERATE(0, 1, 2, 3, 5, 20, 60));
  const auto by = row.mAckAfterEnd.count();
  const auto outcome = cancelled_in_cut(row).Play();
  CAPTURE(by,
          row.mIsGang,
          row.mListDelay.count(),
          row.mCutAfterAck.count(),
          outcome.mLongest.count());
  CHECK(outcome.mLongest <= kCancelBound);
  CHECK(outcome.mLastStart <= kStartBound);
}
