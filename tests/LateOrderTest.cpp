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
/** For this long after its end a disruption counts as going on. */
constexpr duration kContactTime{ 3'000 };
/** A cancellation that has waited for this long without disruption binds, too. */
constexpr duration kAckTimeout{ 4'000 };

/** Random faults of several jobs' workers, VMs and store calls around cancellations. */
class late_order_mix
{
public:
  explicit late_order_mix(uint32_t aSeed)
    : mRandom(aSeed)
    , mSite(kVms, kWorkers, 4, MakeBounds())
  {
    mSite.mFaults.mStaleReadAge = duration(Chance(30) ? 5'000 : 0);
    mSite.mFaults.mLosesNotifications = Chance(20);
    mSite.mFaults.mFateOfOrder = [this](const std::string& aWorker,
                                        const std::string& aOrder) {
      const auto found = mOrderFaults.find({ aWorker, aOrder });
      return found == mOrderFaults.end() || found->second.mUntil <= mSite.mLoop.Now()
               ? order_fate()
               : FateBy(found->second, aWorker);
    };
    for (size_t number = 0; number < kWorkers; ++number) {
      if (Chance(30)) {
        const auto worker = "w" + std::to_string(number);
        mSite.mFaults.mSlowClockWorkers.insert(worker);
        mSite.mWorkers.at(worker)->SetClockRate(0.98);
      }
    }
  }

  /** Plays the mix; returns a line for each run that went on for too long. */
  std::vector<std::string> Play()
  {
    PlanJobs();
    const auto kinds = static_cast<int>(Below(8));
    PlanFaults(kinds);
    std::stable_sort(
      mEvents.begin(), mEvents.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first < aRight.first;
      });
    for (const auto& [time, event] : mEvents) {
      mSite.mLoop.RunFor(std::max(duration(0), time - mSite.mLoop.Now()));
      event();
    }
    constexpr duration kLongestDelay{ 12'000 };
    mSite.mLoop.RunFor(kLongestDelay + duration(10'000));
    return Judge();
  }

  /** Returns the number of runs that went on after their job had been cancelled. */
  size_t JudgedRuns() const { return mJudgedRuns; }
  /** Returns how many of these began late. */
  size_t LateRuns() const { return mLateRuns; }
  /** Returns the number of cancellations that bound before they were answered. */
  size_t SilentCancellations() const { return mSilentCancellations; }

private:
  static constexpr size_t kVms = 4;
  static constexpr size_t kWorkers = 8;
  static constexpr size_t kJobs = 4;

  struct order_fault
  {
    int mKind = 0;
    time_point mUntil{ 0 };
    int64_t mMaxDelayMs = 0;
  };

  struct cancellation
  {
    time_point mSentAt{ 0 };
    std::optional<time_point> mAnsweredAt;
    std::string mVm;
    bool mIsLost = false; ///< Its VM has ended before it answered.
  };

  scheduler_bounds MakeBounds()
  {
    scheduler_bounds bounds;
    bounds.mRuns.mLeaseMax = duration(Chance(50) ? 6'000 : 10'000);
    return bounds;
  }

  int64_t Below(int64_t aLimit)
  {
    return std::uniform_int_distribution<int64_t>(0, aLimit - 1)(mRandom);
  }
  bool Chance(int64_t aPercent) { return Below(100) < aPercent; }
  static std::string JobName(size_t aNumber)
  {
    return "00000000000000a" + std::to_string(aNumber);
  }
  std::string AnyVm() { return "vm" + std::to_string(Below(kVms)); }
  std::string AnyWorker() { return "w" + std::to_string(Below(kWorkers)); }
  bool IsServing(const std::string& aVm) const
  {
    return mSite.IsUp(aVm) && !mSite.IsFrozen(aVm);
  }

  void At(int64_t aAfterMs, std::function<void()> aEvent)
  {
    mEvents.emplace_back(mSite.mLoop.Now() + duration(aAfterMs), std::move(aEvent));
  }

  void Disrupt(const std::string& aWorker, duration aFor)
  {
    auto& until = mDisruptedUntil[aWorker];
    until = std::max(until, mSite.mLoop.Now() + aFor);
  }

  void PlanJobs()
  {
    const int64_t spanMs = Chance(50) ? 22'000 : 9'000;
    mSpanMs = spanMs;
    for (size_t number = 0; number < kJobs; ++number) {
      auto job = fake_installation::MakeJob(JobName(number), 1, Chance(70));
      auto& step = job.mSpec.mSteps.front();
      step.mCount = static_cast<uint32_t>(step.mGang ? 2 + Below(4) : 1 + Below(3));
      step.mPerTask = { 4'000, 1'000, Chance(50) ? 8 : 3 };
      job.mSpec.mPayload = JobName(number);
      if (Chance(30)) {
        auto next = step;
        next.mDependsOn = { 0 };
        job.mSpec.mSteps.push_back(next);
      }
      static constexpr duration kRunTimes[] = { duration(1'500),
                                                duration(4'000),
                                                duration(60'000) };
      mSite.mBehaviourByPayload[JobName(number)] = {
        kRunTimes[Chance(60) ? 2 : Below(2)], Chance(10)
      };
      const auto submittedMs = Chance(50) ? 0 : Below(spanMs);
      At(submittedMs, [this, job] { Submit(job); });
      const auto cancelledMs =
        submittedMs + 20 + Below(Chance(30) ? 600 : spanMs + 5'000);
      At(cancelledMs, [this, number] { Cancel(number); });
      if (Chance(15)) { // The VM that is to answer freezes.
        At(cancelledMs + Below(6), [this, number] { FreezeAnswering(number); });
      }
    }
  }

  void PlanFaults(int aKinds)
  {
    if ((aKinds & 1) != 0 || aKinds == 0) {
      for (auto faults = Below(14); faults > 0; --faults) {
        At(Below(mSpanMs), [this] { HarmWorkers(); });
      }
    }
    if ((aKinds & 2) != 0) {
      for (auto faults = 1 + Below(3); faults > 0; --faults) {
        At(Below(mSpanMs), [this] { HarmVm(); });
      }
    }
    if ((aKinds & 4) != 0) {
      for (auto faults = 1 + Below(4); faults > 0; --faults) {
        At(Below(mSpanMs), [this] { HarmStore(); });
      }
    }
  }

  void Submit(const accepted_job& aJob)
  {
    if (Chance(40)) {
      DelayStarts();
    }
    for (size_t vm = 0; vm < kVms; ++vm) {
      const auto name = "vm" + std::to_string(vm);
      if (IsServing(name)) {
        mSite.Node(name).Jobs().Submit(
          aJob, mSite.mLoop.Now() + duration(3'000), [](const job_reply&) {});
        return;
      }
    }
  }

  /** The starts of the next moments are carried out late on many workers. */
  void DelayStarts()
  {
    constexpr duration kLasts{ 300 };
    const auto maxDelayMs = Chance(30) ? 1'500 : 12'000;
    for (size_t number = 0; number < kWorkers; ++number) {
      const auto worker = "w" + std::to_string(number);
      if (Chance(70)) {
        mOrderFaults[{ worker, "start" }] = { 4,
                                              mSite.mLoop.Now() + kLasts,
                                              maxDelayMs };
        Disrupt(worker, kLasts);
      }
      if (Chance(20)) { // The worker's next life knows none of its stops.
        mSite.mLoop.RunAfter(duration(500 + Below(6'000)), [this, worker] {
          if (mSite.mWorkers.count(worker) != 0) {
            mSite.CrashWorker(worker, true);
            Disrupt(worker, duration(0));
          }
        });
      }
    }
  }

  void Cancel(size_t aNumber)
  {
    std::vector<std::string> vms;
    for (size_t vm = 0; vm < kVms; ++vm) {
      const auto name = "vm" + std::to_string(vm);
      if (IsServing(name) && (name != mSite.SchedulerVm() || Chance(10))) {
        vms.push_back(name);
      }
    }
    if (vms.empty()) {
      return;
    }
    const auto vm = vms[static_cast<size_t>(Below(static_cast<int64_t>(vms.size())))];
    auto& cancel = mCancellations[JobName(aNumber)];
    cancel.mVm = vm;
    cancel.mSentAt = mSite.mLoop.Now();
    mSite.Node(vm).Jobs().Cancel(JobName(aNumber),
                                 fake_installation::Caller(),
                                 mSite.mLoop.Now() +
                                   fake_installation::kCallersPatience,
                                 [this, &cancel](const job_reply& aReply) {
                                   if (aReply.mAnswer == job_answer::kAccepted ||
                                       aReply.mAnswer == job_answer::kNotFound) {
                                     cancel.mAnsweredAt = mSite.mLoop.Now();
                                   } else {
                                     cancel.mIsLost = true;
                                   }
                                 });
  }

  void FreezeAnswering(size_t aNumber)
  {
    const auto found = mCancellations.find(JobName(aNumber));
    if (found != mCancellations.end() && IsServing(found->second.mVm)) {
      Freeze(found->second.mVm, duration(500 + Below(9'500)));
    }
  }

  void Freeze(const std::string& aVm, duration aFor)
  {
    mSite.Freeze(aVm);
    Disrupt("", aFor);
    mSite.mLoop.RunAfter(aFor, [this, aVm] { mSite.Thaw(aVm); });
  }

  /** Lets a VM work in short turns only. */
  void SlowDown(const std::string& aVm, int aTurns)
  {
    constexpr duration kHalt{ 270 };
    constexpr duration kTurn{ 30 };
    if (aTurns == 0 || !IsServing(aVm)) {
      return;
    }
    Freeze(aVm, kHalt);
    mSite.mLoop.RunAfter(kHalt + kTurn,
                         [this, aVm, aTurns] { SlowDown(aVm, aTurns - 1); });
  }

  void EndVm(const std::string& aVm)
  {
    for (auto& [job, cancel] : mCancellations) {
      cancel.mIsLost |= cancel.mVm == aVm && !cancel.mAnsweredAt;
    }
    mSite.Kill(aVm);
  }

  void HarmVm()
  {
    const auto scheduler = mSite.SchedulerVm();
    const auto vm = scheduler.empty() || Chance(30) ? AnyVm() : scheduler;
    if (!IsServing(vm)) {
      return;
    }
    switch (Below(6)) {
      case 0:
        EndVm(vm);
        Disrupt("", duration(0));
        if (Chance(60)) {
          mSite.mLoop.RunAfter(duration(1 + Below(5'000)), [this, vm] {
            Disrupt("", duration(0));
            mSite.Restart(vm);
          });
        }
        break;
      case 1: // Removed for good or restarted; not a disruption.
        mSite.Node(vm).StartDraining();
        mSite.mLoop.RunAfter(duration(5'000), [this, vm] {
          if (mSite.IsUp(vm)) {
            EndVm(vm);
            mSite.Restart(vm);
          }
        });
        break;
      case 2:
        Freeze(vm, duration(200 + Below(9'000)));
        break;
      case 3:
        SlowDown(vm, 1 + static_cast<int>(Below(15)));
        break;
      case 4:
        mSite.mFaults.mUnixStepsMs[vm] += Below(4'000'001) - 2'000'000;
        Disrupt("", duration(0));
        break;
      default: {
        const auto lasts = duration(200 + Below(6'000));
        mSite.mFaults.mBlockedLinks.insert({ vm, "store" });
        mSite.mLoop.RunAfter(lasts, [this, vm] {
          mSite.mFaults.mBlockedLinks.erase({ vm, "store" });
        });
        Disrupt("", lasts);
        break;
      }
    }
  }

  void HarmStore()
  {
    store_fault fault;
    fault.mFate = static_cast<store_fate>(Below(6));
    fault.mVm = Chance(50) ? "" : Chance(50) ? mSite.SchedulerVm() : AnyVm();
    if (Chance(70)) {
      fault.mCalls = { static_cast<store_call>(Below(8)) };
    }
    fault.mCallsLeft = Chance(40) ? 1 + static_cast<int>(Below(3)) : 1'000'000;
    fault.mEvery = 1 + static_cast<int>(Below(2));
    fault.mDelay = duration(1 + Below(6'000));
    const auto lasts = duration(200 + Below(5'800));
    fault.mUntil = mSite.mLoop.Now() + lasts;
    mSite.mFaults.mStoreFaults.push_back(fault);
    Disrupt("",
            lasts + (fault.mFate == store_fate::kDelayed ? fault.mDelay : duration(0)));
  }

  /** Harms one worker, or several in the same way at once. */
  void HarmWorkers()
  {
    const duration lasts(200 + Below(3'800));
    const auto kind = Below(12);
    const auto factor = 1 + Below(3);
    std::vector<std::pair<std::string, int>> faults;
    for (const auto* order : { "start", "stop", "hold" }) {
      if (Chance(50)) {
        faults.emplace_back(order, static_cast<int>(Below(5)));
      }
    }
    const auto maxDelayMs = Chance(50) ? 1'500 : 12'000;
    for (auto count = Chance(40) ? 1 : 2 + Below(7); count > 0; --count) {
      const auto worker = AnyWorker();
      if (mSite.mWorkers.count(worker) == 0) {
        continue;
      }
      if (kind < 2) {
        mSite.CrashWorker(worker, kind == 0 || Chance(50));
        Disrupt(worker, duration(0));
      } else if (kind == 2) {
        mSite.mStore.Remove("workers/" + worker);
        mSite.mLoop.RunAfter(lasts, [this, worker] {
          if (mSite.mWorkers.count(worker) != 0) {
            mSite.ListWorker(worker);
          }
        });
        Disrupt(worker, lasts);
      } else if (kind == 3) {
        SetReachable(worker, false);
        mSite.mLoop.RunAfter(lasts * factor,
                             [this, worker] { SetReachable(worker, true); });
        Disrupt(worker, lasts * factor);
      } else if (kind == 4) { // It leaves; not a disruption.
        mSite.ListWorker(worker, true);
        mSite.mLoop.RunAfter(lasts, [this, worker] {
          if (mSite.mWorkers.count(worker) != 0) {
            mSite.CrashWorker(worker, false);
          }
        });
      } else {
        for (const auto& [order, fault] : faults) {
          mOrderFaults[{ worker, order }] = { fault,
                                              mSite.mLoop.Now() + lasts,
                                              maxDelayMs };
        }
        Disrupt(worker, lasts);
      }
    }
  }

  void SetReachable(const std::string& aWorker, bool aReachable)
  {
    for (size_t vm = 0; vm < kVms; ++vm) {
      const auto link = std::pair("vm" + std::to_string(vm), aWorker);
      if (aReachable) {
        mSite.mFaults.mBlockedLinks.erase(link);
      } else {
        mSite.mFaults.mBlockedLinks.insert(link);
      }
    }
  }

  order_fate FateBy(const order_fault& aFault, const std::string& aWorker)
  {
    order_fate fate;
    switch (aFault.mKind) {
      case 0:
        fate.mIsRefused = true;
        break;
      case 1:
        fate.mIsLost = true;
        break;
      case 2:
        fate.mIsAnswered = false;
        break;
      case 3: // Answers overtake each other.
        fate.mAnswerDelay = duration(Below(850));
        break;
      default:
        fate.mIsAnswered = false;
        fate.mDelay = duration(1 + Below(aFault.mMaxDelayMs));
        fate.mOnCarriedOut = [this, aWorker](run_request_status aStatus) {
          if (aStatus == run_request_status::kAccepted) {
            mLateStarts.insert({ aWorker, mSite.mLoop.Now() });
          }
        };
        break;
    }
    return fate;
  }

  /** Returns from when on a cancellation binds, or nothing. */
  std::optional<time_point> BindsFrom(const std::string& aJob,
                                      const cancellation& aCancel)
  {
    const auto stored = StoredOrAnsweredAt(aJob, aCancel);
    if (aCancel.mIsLost) {
      return stored;
    }
    const auto steadyFrom = mDisruptedUntil[""] + kContactTime;
    const auto waited = std::max(aCancel.mSentAt, steadyFrom) + kAckTimeout;
    return std::min(stored.value_or(waited), waited);
  }

  /** Returns when a VM knew that the cancellation is stored, or had answered. */
  std::optional<time_point> StoredOrAnsweredAt(const std::string& aJob,
                                               const cancellation& aCancel) const
  {
    const auto stored = mSite.mCancelStoredAt.find(aJob);
    return stored == mSite.mCancelStoredAt.end() ? aCancel.mAnsweredAt : stored->second;
  }

  std::vector<std::string> Judge()
  {
    std::vector<std::string> wrong;
    for (const auto& [job, cancel] : mCancellations) {
      const auto binds = BindsFrom(job, cancel);
      mSilentCancellations += binds && binds != StoredOrAnsweredAt(job, cancel) ? 1 : 0;
    }
    for (const auto& trace : mSite.mTraces) {
      const auto found = mCancellations.find(trace.mTask.mJob);
      if (found == mCancellations.end()) {
        continue;
      }
      const auto cancelled = BindsFrom(found->first, found->second);
      if (!cancelled) {
        continue;
      }
      auto since = std::max(
        *cancelled,
        std::max(mDisruptedUntil[trace.mWorker], mDisruptedUntil[""]) + kContactTime);
      const bool isLate = mLateStarts.count({ trace.mWorker, trace.mStartedAt }) != 0;
      if (isLate) {
        since = std::max(since, trace.mStartedAt + kContactTime);
      }
      const auto ended = trace.mEnded.value_or(mSite.mLoop.Now());
      mJudgedRuns += ended > *cancelled ? 1 : 0;
      mLateRuns += isLate && ended > *cancelled ? 1 : 0;
      if (ended - since > kCancelBound) {
        wrong.push_back(
          trace.mTask.mJob + " step " + std::to_string(trace.mTask.mStep) + "." +
          std::to_string(trace.mTask.mIndex) + " run " + std::to_string(trace.mRun) +
          " on " + trace.mWorker + " began " +
          std::to_string(trace.mStartedAt.count()) + " binds " +
          std::to_string(cancelled->count()) + " since " +
          std::to_string(since.count()) + " ended " + std::to_string(ended.count()) +
          " " + (trace.mEnded ? ToString(trace.mEnd) : "running"));
      }
    }
    return wrong;
  }

  std::minstd_rand mRandom;
  fake_installation mSite;
  int64_t mSpanMs = 0;
  std::vector<std::pair<time_point, std::function<void()>>> mEvents;
  std::map<std::pair<std::string, std::string>, order_fault> mOrderFaults;
  std::map<std::string, time_point> mDisruptedUntil;  ///< By worker; "": all.
  std::map<std::string, cancellation> mCancellations; ///< By job.
  std::set<std::pair<std::string, time_point>> mLateStarts;
  size_t mJudgedRuns = 0;
  size_t mLateRuns = 0;
  size_t mSilentCancellations = 0;
};

} // namespace

TEST_CASE(
  "cancelled gangs stop in time beside late orders, reborn workers and halted VMs",
  "[stop]")
{
  const char* const first = std::getenv("LATE_MIX_FIRST");
  const char* const count = std::getenv("LATE_MIX_COUNT");
  const auto from = static_cast<uint32_t>(first == nullptr ? 1 : std::atoi(first));
  const auto seeds = static_cast<uint32_t>(count == nullptr ? 400 : std::atoi(count));
  size_t judged = 0;
  size_t late = 0;
  size_t silent = 0;
  for (auto seed = from; seed < from + seeds; ++seed) {
    late_order_mix mix(seed);
    const auto tooLong = mix.Play();
    CAPTURE(seed, tooLong);
    CHECK(tooLong.empty());
    judged += mix.JudgedRuns();
    late += mix.LateRuns();
    silent += mix.SilentCancellations();
  }
  if (std::getenv("LATE_MIX_STATS") != nullptr) {
    std::cout << "judged " << judged << " late " << late << " silent " << silent
              << "\n";
  }
  CHECK(judged > seeds);
}
