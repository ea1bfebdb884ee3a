#include "support/FakeInstallation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <random>

using namespace anvildoor;

namespace {

/** From the acknowledgement of a cancellation to the end of the job's last run. */
constexpr duration kCancelBound{ 3'400 };
/** From the acknowledgement of a cancellation to the job's last start. */
constexpr duration kStartBound{ 3'000 };
/** For this long after its end a disruption counts as going on. */
constexpr duration kContactTime{ 3'000 };

/** Delay before a cancellation is sent to the next VM. */
constexpr duration kRetryDelay{ 100 };

constexpr size_t kVms = 7;
constexpr size_t kWorkers = 24;
constexpr size_t kWorkersPerRack = 4;
constexpr size_t kDataCentres = 3;
constexpr size_t kJobs = 14;
constexpr uint32_t kLateSeeds = 200;

/** From what a data centre is cut off. */
enum class cut_form
{
  kFromOthers,      ///< The other data centres; the store stays reachable.
  kFromStore,       ///< The store; calls fail, and so do watches.
  kFromStoreSilent, ///< The store; watches stay silent beyond the end of the cut.
  kStoreAway,       ///< All data centres are cut off from the store.
  kStoreSilent      ///< The same, and watches stay silent beyond the end of the cut.
};

/** What happens to the scheduler's VM after the cut. */
enum class scheduler_end
{
  kNone,
  kRemoved, ///< It drains, as on SIGTERM, and exits later.
  kKilled
};

struct cut_case
{
  cut_form mForm = cut_form::kFromOthers;
  bool mHasScheduler = false; ///< Whether the scheduler's data centre is cut off.
  duration mFor{ 0 };
  scheduler_end mEnd = scheduler_end::kNone;
  duration mEndAfter{ 0 }; ///< Since the end of the cut.
  duration mLeaseMax{ 6'000 };
  duration mStaleReadAge{ 0 };
  duration mPhase{ 0 };
};

/** Returns the data centre of a VM or worker, "vm4" or "w11". */
size_t DataCentreOf(const std::string& aName)
{
  return std::stoul(aName.substr(aName.find_first_of("0123456789"))) % kDataCentres;
}

std::string JobName(size_t aNumber)
{
  const auto digits = std::to_string(aNumber);
  return "00000000000000d0" + std::string(2 - digits.size(), '0') + digits;
}

std::vector<std::string> Names(const std::string& aPrefix, size_t aCount)
{
  std::vector<std::string> names;
  for (size_t number = 0; number < aCount; ++number) {
    names.push_back(aPrefix + std::to_string(number));
  }
  return names;
}

/**
 * An installation in three data centres, one of which is cut off for a while. Gangs and
 * single tasks are cancelled before, during and after the cut.
 */
class cut_site
{
public:
  explicit cut_site(const cut_case& aCase)
    : mCase(aCase)
    , mSite(kVms, kWorkers, kWorkersPerRack, MakeBounds(aCase.mLeaseMax))
  {
    mSite.mFaults.mStaleReadAge = aCase.mStaleReadAge;
    for (const int seconds : { 2, 4, 6, 60 }) {
      mSite.mBehaviourByPayload[std::to_string(seconds)] = { duration(1'000 * seconds),
                                                             false };
    }
  }

  void Play()
  {
    constexpr duration kBefore{ 3'000 };
    constexpr duration kCancelsBefore{ 500 };
    constexpr duration kCancelsAfter{ 5'000 };
    constexpr duration kAfter{ 16'000 };
    mSite.mLoop.RunFor(duration(2'000) + mCase.mPhase);
    const auto span = kCancelsBefore + mCase.mFor + kCancelsAfter;
    for (size_t number = 0; number < kJobs; ++number) {
      const auto cancelAt =
        kBefore - kCancelsBefore +
        span * static_cast<int64_t>(number) / static_cast<int64_t>(kJobs - 1);
      const auto submitAt = number % 2 == 0
                              ? duration(200)
                              : cancelAt - duration(number % 4 == 1 ? 700 : 1'500);
      mSite.mLoop.RunAfter(submitAt, [this, number] { Submit(number); });
      mSite.mLoop.RunAfter(cancelAt, [this, number] { Cancel(number, 0); });
    }
    SubmitEnding(kBefore + mCase.mFor);
    mSite.mLoop.RunFor(kBefore);
    BeginCut();
    mSite.mLoop.RunFor(mCase.mFor);
    EndCut();
    mSite.mLoop.RunFor(mCase.mEndAfter);
    EndScheduler();
    mSite.mLoop.RunFor(kAfter - mCase.mEndAfter);
  }

  /** Returns a line for each run of a cancelled job that began or ended too late. */
  std::vector<std::string> Judge()
  {
    std::vector<std::string> wrong;
    for (const auto& trace : mSite.mTraces) {
      const auto cancelled = mSite.mCancelStoredAt.find(trace.mTask.mJob);
      if (cancelled == mSite.mCancelStoredAt.end()) {
        continue;
      }
      const auto since = std::max(cancelled->second, mCutEnd + kContactTime);
      const auto ended = trace.mEnded.value_or(mSite.mLoop.Now());
      mJudgedRuns += ended > cancelled->second ? 1 : 0;
      if (ended > cancelled->second) {
        mLongest = std::max(mLongest, ended - since);
        mLongestFromAck = std::max(mLongestFromAck, ended - cancelled->second);
      }
      if (ended - since > kCancelBound || trace.mStartedAt - since > kStartBound) {
        wrong.push_back(trace.mTask.mJob + "." + std::to_string(trace.mTask.mIndex) +
                        " run " + std::to_string(trace.mRun) + " on " + trace.mWorker +
                        " began " + Since(trace.mStartedAt) + " acknowledged " +
                        Since(cancelled->second) + " ended " + Since(ended) + " " +
                        (trace.mEnded ? ToString(trace.mEnd) : "running"));
      }
    }
    return wrong;
  }

  /** Returns the longest wait in calm of an end until a VM has its list. */
  duration LongestListing() const
  {
    duration longest{ 0 };
    for (const auto& trace : mSite.mTraces) {
      if (!trace.mEnded) {
        continue;
      }
      const auto listed = mSite.mListedAt.find({ trace.mTask, trace.mRun });
      const auto listedAt =
        listed == mSite.mListedAt.end() ? mSite.mLoop.Now() : listed->second;
      longest =
        std::max(longest, listedAt - std::max(*trace.mEnded, mCutEnd + kContactTime));
    }
    return longest;
  }

  size_t UsedWorkers() const
  {
    std::set<std::string> workers;
    for (const auto& trace : mSite.mTraces) {
      workers.insert(trace.mWorker);
    }
    return workers.size();
  }
  size_t JudgedRuns() const { return mJudgedRuns; }
  size_t CancelledJobs() const { return mCancelledAt.size(); }
  duration Longest() const { return mLongest; }
  duration LongestFromAck() const { return mLongestFromAck; }
  const fake_installation& Site() const { return mSite; }

private:
  static scheduler_bounds MakeBounds(duration aLeaseMax)
  {
    scheduler_bounds bounds;
    bounds.mRuns.mLeaseMax = aLeaseMax;
    return bounds;
  }

  std::string Since(time_point aTime) const
  {
    return std::to_string((aTime - mCutBegin).count());
  }

  void Note(const std::string& aWhat)
  {
    mSite.mLog.mLines.push_back("test " + std::to_string(mSite.mLoop.Now().count()) +
                                " " + aWhat);
  }

  /** Returns VMs that are up and stand in other data centres than the scheduler. */
  std::vector<std::string> VmsElsewhere() const
  {
    const auto scheduler = mSite.SchedulerVm();
    std::vector<std::string> vms;
    for (const auto& vm : Names("vm", kVms)) {
      if (mSite.IsUp(vm) && vm != mEnding &&
          (scheduler.empty() || DataCentreOf(vm) != DataCentreOf(scheduler))) {
        vms.push_back(vm);
      }
    }
    return vms;
  }

  void Submit(size_t aNumber)
  {
    static const char* const sPayloads[] = {
      "60", "6", "60", "4", "6", "6", "60", "2"
    };
    const bool isGang = aNumber % 3 != 0;
    auto job = fake_installation::MakeJob(JobName(aNumber), isGang ? 3 : 2, isGang);
    job.mSpec.mPayload = sPayloads[aNumber % std::size(sPayloads)];
    // A worker each, so that jobs span data centres.
    job.mSpec.mSteps.front().mPerTask.mAccelerators = 8;
    const auto vms = VmsElsewhere();
    const auto& vm = vms[aNumber % vms.size()];
    mSite.Node(vm).Jobs().Submit(
      job, mSite.mLoop.Now() + duration(3'000), [](const job_reply&) {});
  }

  /** Submits tasks that end one after the other when the cut has healed. */
  void SubmitEnding(duration aHealed)
  {
    constexpr size_t kTasks = 8;
    constexpr duration kFirst{ 2'800 };
    constexpr duration kPeriod{ 250 };
    for (size_t number = 0; number < kTasks; ++number) {
      auto job = fake_installation::MakeJob(JobName(kJobs + number), 1);
      job.mSpec.mPayload = "ending" + std::to_string(number);
      job.mSpec.mSteps.front().mPerTask.mAccelerators = 4;
      mSite.mBehaviourByPayload[job.mSpec.mPayload] = {
        aHealed + kFirst + kPeriod * static_cast<int64_t>(number), false
      };
      mSite.Node("vm1").Jobs().Submit(
        job, mSite.mLoop.Now() + duration(3'000), [](const job_reply&) {});
    }
  }

  /** Cancels at one VM after the other until that is acknowledged. */
  void Cancel(size_t aNumber, size_t aAttempt)
  {
    constexpr size_t kMaxAttempts = 60;
    const auto vms = VmsElsewhere();
    const auto& vm = vms[(aNumber + aAttempt) % vms.size()];
    mSite.Node(vm).Jobs().Cancel(
      JobName(aNumber),
      fake_installation::Caller(),
      mSite.mLoop.Now() + fake_installation::kCallersPatience,
      [this, aNumber, aAttempt, vm](const job_reply& aReply) {
        if (aReply.mAnswer == job_answer::kAccepted) {
          Note("cancelled " + JobName(aNumber) + " at " + vm);
          mCancelledAt.emplace(JobName(aNumber), mSite.mLoop.Now());
        } else if (aAttempt < kMaxAttempts) {
          mSite.mLoop.RunAfter(
            kRetryDelay, [this, aNumber, aAttempt] { Cancel(aNumber, aAttempt + 1); });
        }
      });
  }

  void BeginCut()
  {
    const auto scheduler = mSite.SchedulerVm();
    const auto ofScheduler = DataCentreOf(scheduler);
    mCut = mCase.mHasScheduler ? ofScheduler : (ofScheduler + 1) % kDataCentres;
    mCutBegin = mSite.mLoop.Now();
    mCutEnd = mCutBegin + mCase.mFor;
    Note("cut of " + std::to_string(mCut) + ", scheduler " + scheduler);
    for (const auto& vm : Names("vm", kVms)) {
      if (mCase.mForm == cut_form::kFromOthers) {
        BlockLinksAcross(vm);
      } else if (IsCutFromStore(vm)) {
        CutFromStore(vm);
      }
    }
    if (mCase.mForm == cut_form::kStoreSilent) {
      mSite.mFaults.mSilentBefore = mCutEnd;
    }
    if (mCase.mForm != cut_form::kFromOthers) {
      UnlistWorkers();
    }
  }

  bool IsCutFromStore(const std::string& aName) const
  {
    return mCase.mForm == cut_form::kStoreAway ||
           mCase.mForm == cut_form::kStoreSilent || DataCentreOf(aName) == mCut;
  }

  void BlockLinksAcross(const std::string& aVm)
  {
    auto others = Names("vm", kVms);
    const auto workers = Names("w", kWorkers);
    others.insert(others.end(), workers.begin(), workers.end());
    for (const auto& other : others) {
      if ((DataCentreOf(aVm) == mCut) != (DataCentreOf(other) == mCut)) {
        mSite.mFaults.mBlockedLinks.insert({ aVm, other });
      }
    }
  }

  void CutFromStore(const std::string& aVm)
  {
    if (mCase.mForm == cut_form::kFromStore || mCase.mForm == cut_form::kStoreAway) {
      mSite.mFaults.mBlockedLinks.insert({ aVm, "store" });
      return;
    }
    for (const auto fate : { store_fate::kUnsent, store_fate::kUnanswered }) {
      mSite.mFaults.mStoreFaults.push_back({ fate, aVm, {}, "", mCutEnd });
    }
  }

  /** Entries of workers that are cut off from the store expire; they come back. */
  void UnlistWorkers()
  {
    constexpr duration kExpiry{ 1'500 };
    constexpr duration kBackPeriod{ 120 };
    for (const auto& worker : Names("w", kWorkers)) {
      if (IsCutFromStore(worker) && mCase.mFor > kExpiry) {
        mSite.mLoop.RunAfter(
          kExpiry, [this, worker] { mSite.mStore.Remove("workers/" + worker); });
        mSite.mLoop.RunAfter(mCase.mFor + std::stol(worker.substr(1)) * kBackPeriod,
                             [this, worker] { mSite.ListWorker(worker); });
      }
    }
  }

  void EndCut()
  {
    Note("healed");
    mSite.mFaults.mBlockedLinks.clear();
    mSite.mFaults.mStoreFaults.clear();
  }

  void EndScheduler()
  {
    constexpr duration kExitDelay{ 2'000 };
    const auto vm = mSite.SchedulerVm();
    if (vm.empty() || mCase.mEnd == scheduler_end::kNone) {
      return;
    }
    mEnding = vm;
    Note((mCase.mEnd == scheduler_end::kKilled ? "killed " : "removed ") + vm);
    if (mCase.mEnd == scheduler_end::kKilled) {
      mSite.Kill(vm);
    } else {
      mSite.Node(vm).StartDraining();
      mSite.mLoop.RunAfter(kExitDelay, [this, vm] { mSite.Kill(vm); });
    }
  }

  cut_case mCase;
  fake_installation mSite;
  size_t mCut = 0;
  time_point mCutBegin{ 0 };
  time_point mCutEnd{ 0 };
  std::string mEnding;
  std::map<std::string, time_point> mCancelledAt;
  size_t mJudgedRuns = 0;
  duration mLongest{ -100'000 };
  duration mLongestFromAck{ 0 };
};

struct late_renewals
{
  duration mDisrupted{ 4'000 }; ///< For how long renewals are harmed.
  int mPercent = 50;            ///< Of the renewals.
  bool mIsRemoved = false; ///< The scheduler gives its lease back; else it is killed.
  bool mAreAllWritesLate = false;
  uint32_t mSeed = 1;
};

struct missing_scheduler
{
  duration mKeyOutlives{ 0 };  ///< From the scheduler's end to that of its key.
  duration mUnheld{ 0 };       ///< From the scheduler's end to the next one's takeover.
  duration mUnheldInCalm{ 0 }; ///< The part later than the contact time after the harm.
};

/**
 * Calls to the store are carried out 1 to 6 s late and not answered, and the scheduler
 * ends before the calls are served in time again. Returns nothing if its term had ended
 * before.
 */
std::optional<missing_scheduler> EndAmongLateCalls(const late_renewals& aCase)
{
  constexpr duration kStep{ 100 };
  constexpr duration kWatched{ 16'000 };
  std::minstd_rand random(aCase.mSeed);
  const auto below = [&](int aLimit) {
    return std::uniform_int_distribution<int>(0, aLimit - 1)(random);
  };
  fake_installation site(3, 4);
  site.mLoop.RunFor(duration(3'000 + below(400)));
  auto job = fake_installation::MakeJob(JobName(0), 3, true);
  site.mBehaviourByPayload["60"] = { duration(60'000), false };
  job.mSpec.mPayload = "60";
  site.Submit("vm1", job);
  site.mLoop.RunFor(duration(1'000));
  const auto vm = site.SchedulerVm();
  const auto begin = site.mLoop.Now();
  const auto endsAt = begin + aCase.mDisrupted - kStep * (1 + below(10));
  std::optional<time_point> ended;
  missing_scheduler seen;
  while (site.mLoop.Now() < begin + aCase.mDisrupted + kWatched) {
    const auto now = site.mLoop.Now();
    site.mFaults.mStoreFaults.clear();
    if (now < begin + aCase.mDisrupted && below(100) < aCase.mPercent) {
      store_fault fault;
      fault.mFate = store_fate::kDelayed;
      fault.mVm = vm;
      fault.mCalls = { store_call::kRenewLease };
      if (aCase.mAreAllWritesLate) {
        fault.mVm.clear();
        fault.mCalls.insert({ store_call::kEndLease, store_call::kCommit });
      }
      fault.mDelay = duration(1'000 + below(5'000));
      site.mFaults.mStoreFaults.push_back(fault);
    }
    if (!ended && now >= endsAt) {
      if (site.SchedulerVm() != vm) {
        return std::nullopt;
      }
      ended = now;
      if (aCase.mIsRemoved) {
        site.Node(vm).StartDraining();
        site.mLoop.RunAfter(duration(2'000), [&site, vm] { site.Kill(vm); });
      } else {
        site.Kill(vm);
      }
    }
    site.mLoop.RunFor(kStep / 10);
    for (int part = 1; part < 10; ++part) {
      const auto key = site.mStore.Peek("anvildoor/scheduler");
      if (ended && key && key->mValue.find("\"" + vm + "\"") != std::string::npos) {
        seen.mKeyOutlives = site.mLoop.Now() - *ended;
      }
      site.mLoop.RunFor(kStep / 10);
      if (ended && site.SchedulerVm().empty()) {
        seen.mUnheld = site.mLoop.Now() - *ended;
        seen.mUnheldInCalm = std::max(
          duration(0), site.mLoop.Now() - begin - aCase.mDisrupted - kContactTime);
      }
    }
  }
  return seen;
}

/** Returns the least, the quartiles, 90 %, 99 % and the greatest of the values. */
std::string Quantiles(std::vector<int64_t>& aValues)
{
  std::sort(aValues.begin(), aValues.end());
  std::string text;
  for (const size_t percent : { 0, 25, 50, 75, 90, 99, 100 }) {
    if (!aValues.empty()) {
      text += " " + std::to_string(aValues[(aValues.size() - 1) * percent / 100]);
    }
  }
  return text;
}

} // namespace

// Guards against keys that late renewals keep for long after their scheduler's end.
TEST_CASE("late renewals of an ended scheduler don't outlast the contact time", "[cut]")
{
  late_renewals row;
  row.mDisrupted = duration(GENERATE(4'000, 8'000));
  row.mPercent = GENERATE(15, 30, 60);
  row.mIsRemoved = GENERATE(false, true);
  row.mAreAllWritesLate = GENERATE(false, true);
  CAPTURE(row.mDisrupted.count(), row.mPercent, row.mIsRemoved, row.mAreAllWritesLate);
  std::vector<int64_t> key;
  std::vector<int64_t> unheld;
  duration longestInCalm{ 0 };
  for (row.mSeed = 1; row.mSeed <= kLateSeeds; ++row.mSeed) {
    const auto seen = EndAmongLateCalls(row);
    if (seen) {
      key.push_back(seen->mKeyOutlives.count());
      unheld.push_back(seen->mUnheld.count());
      longestInCalm = std::max(longestInCalm, seen->mUnheldInCalm);
    }
  }
  if (std::getenv("CUT_STATS") != nullptr) {
    std::cerr << "late " << row.mDisrupted.count() << " " << row.mPercent
              << "% removed " << row.mIsRemoved << " all " << row.mAreAllWritesLate
              << " n " << key.size() << " key" << Quantiles(key) << " unheld"
              << Quantiles(unheld) << " in calm " << longestInCalm.count() << "\n";
  }
  CHECK(longestInCalm < kCancelBound);
}

// Guards against runs that nobody stops after a cut of one data centre has healed.
TEST_CASE("cancelled jobs end in time after one data centre was cut off", "[cut]")
{
  cut_case row;
  row.mForm = GENERATE(cut_form::kFromOthers,
                       cut_form::kFromStore,
                       cut_form::kFromStoreSilent,
                       cut_form::kStoreAway,
                       cut_form::kStoreSilent);
  row.mHasScheduler = GENERATE(false, true);
  row.mFor = duration(GENERATE(1'000, 2'000, 3'500, 5'000, 7'000));
  row.mLeaseMax = duration(GENERATE(6'000, 10'000));
  std::tie(row.mEnd, row.mEndAfter) = GENERATE(
    table<scheduler_end, duration>({ { scheduler_end::kNone, duration(0) },
                                     { scheduler_end::kRemoved, duration(0) },
                                     { scheduler_end::kRemoved, duration(1'300) },
                                     { scheduler_end::kRemoved, duration(2'900) },
                                     { scheduler_end::kKilled, duration(0) },
                                     { scheduler_end::kKilled, duration(1'300) },
                                     { scheduler_end::kKilled, duration(2'900) } }));
  row.mStaleReadAge = duration(GENERATE(0, 5'000));
  row.mPhase = duration(GENERATE(0, 270));
  cut_site site(row);
  site.Play();
  const auto tooLong = site.Judge();
  const auto form = static_cast<int>(row.mForm);
  const auto end = static_cast<int>(row.mEnd);
  CAPTURE(form,
          row.mHasScheduler,
          row.mFor.count(),
          row.mLeaseMax.count(),
          end,
          row.mEndAfter.count(),
          row.mStaleReadAge.count(),
          row.mPhase.count(),
          tooLong);
  if (std::getenv("CUT_STATS") != nullptr) {
    std::cerr << "cut " << form << " " << row.mHasScheduler << " " << row.mFor.count()
              << " " << row.mLeaseMax.count() << " " << end << " "
              << row.mEndAfter.count() << " " << row.mStaleReadAge.count() << " "
              << row.mPhase.count() << " judged " << site.JudgedRuns() << " jobs "
              << site.CancelledJobs() << " longest " << site.Longest().count()
              << " from_ack " << site.LongestFromAck().count() << " listed "
              << site.LongestListing().count() << " workers " << site.UsedWorkers()
              << " wrong " << tooLong.size() << "\n";
  }
  if (std::getenv("CUT_TRACE") != nullptr && !tooLong.empty()) {
    for (const auto& line : site.Site().mLog.mLines) {
      std::cerr << line << "\n";
    }
  }
  CHECK(tooLong.empty());
  CHECK(site.CancelledJobs() >= kJobs / 2);
  CHECK(site.UsedWorkers() > kWorkers / 2);
}
