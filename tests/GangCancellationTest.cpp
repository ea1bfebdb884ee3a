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
/** How long a worker goes on at least after it has reported that it drains. */
constexpr duration kDrainTimeout{ 2'000 };
/** From the end of a worker's heartbeats to the removal of its entry, at most. */
constexpr int64_t kSilenceMs = 1'500;

constexpr size_t kWorkers = 8;
const std::string kGang = "00000000000000a1";

const std::vector<std::string> kVms{ "vm0", "vm1", "vm2" };

/** What befalls the calls between the VMs and a worker. */
enum class cut
{
  kNone,
  kBoth,     ///< Calls arrive nowhere.
  kRequests, ///< Calls are lost on their way to the worker.
  kAnswers,  ///< Calls are carried out, but not answered.
  kSomeVms   ///< One VM doesn't reach the worker.
};

/**
 * An installation whose workers drain, leave and are cut off, and whose scheduler is
 * removed, while jobs of gangs are cancelled. Notes what counts as a disruption.
 */
class leaving_site
{
public:
  leaving_site(duration aLeaseMax, size_t aWorkersPerRack)
    : mSite(kVms.size(), kWorkers, aWorkersPerRack, MakeBounds(aLeaseMax))
  {
    mSite.mFaults.mFateOfOrder = [this](const std::string& aWorker,
                                        const std::string& aOrder) {
      return FateOf(aWorker, aOrder);
    };
    Beat();
  }

  /** Runs aEvent outside of the loop's callbacks, when RunUntilQuiet gets there. */
  void At(time_point aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }
  void After(duration aDelay, std::function<void()> aEvent)
  {
    At(mSite.mLoop.Now() + aDelay, std::move(aEvent));
  }

  /** Runs all events, and aMore after the last one. */
  void RunUntilQuiet(duration aMore)
  {
    while (!mEvents.empty()) {
      const auto [time, event] = *mEvents.begin();
      mEvents.erase(mEvents.begin());
      mSite.mLoop.RunFor(std::max(duration(0), time - mSite.mLoop.Now()));
      event();
    }
    mSite.mLoop.RunFor(aMore);
  }

  /** The worker reports that it drains, exits after aExitAfter, and is unlisted. */
  void Drain(const std::string& aWorker, duration aExitAfter, duration aUnlistedAfter)
  {
    if (mSite.mWorkers.count(aWorker) == 0 || !mLeaving.insert(aWorker).second) {
      return;
    }
    mSite.ListWorker(aWorker, true, aExitAfter);
    const auto exit = [this, aWorker, aUnlistedAfter] {
      Note("exit " + aWorker);
      mSite.mWorkers.erase(aWorker);
      After(aUnlistedAfter, [this, aWorker] {
        if (mSite.mWorkers.count(aWorker) == 0) {
          mSite.mStore.Remove("workers/" + aWorker);
        }
      });
    };
    Note("drain " + aWorker);
    After(aExitAfter, exit);
  }

  /** Starts a worker again that has left, after aDelay. */
  void ComeBackAfter(const std::string& aWorker, duration aDelay)
  {
    After(aDelay, [this, aWorker] {
      if (mSite.mWorkers.count(aWorker) == 0) {
        Note("new " + aWorker);
        mLeaving.erase(aWorker);
        mSite.CrashWorker(aWorker, true);
      }
    });
  }

  /** Ends a worker without a report; it counts as a disruption at that worker. */
  void Reclaim(const std::string& aWorker, bool aRestarts)
  {
    if (mSite.mWorkers.count(aWorker) != 0 && mLeaving.count(aWorker) == 0) {
      Note("reclaim " + aWorker);
      Disrupt(aWorker, duration(0));
      mSite.CrashWorker(aWorker, aRestarts);
    }
  }

  /** Cuts a worker off; aIsUnlisted: its entry expires, and is back after the cut. */
  void Cut(const std::string& aWorker, cut aCut, duration aFor, bool aIsUnlisted)
  {
    if (mSite.mWorkers.count(aWorker) == 0 || mCuts.count(aWorker) != 0) {
      return;
    }
    Note("cut " + std::to_string(static_cast<int>(aCut)) + " " + aWorker);
    constexpr duration kListedAfter{ 400 };
    Disrupt(aWorker, aFor + (aIsUnlisted ? kListedAfter : duration(0)));
    mCuts[aWorker] = aCut;
    SetLinks(aWorker, aCut, true);
    if (aIsUnlisted && aFor > duration(kSilenceMs)) {
      mSilent.insert(aWorker);
      After(duration(kSilenceMs),
            [this, aWorker] { mSite.mStore.Remove("workers/" + aWorker); });
      After(aFor + kListedAfter, [this, aWorker] {
        mSilent.erase(aWorker);
        if (mSite.mWorkers.count(aWorker) != 0) {
          mSite.ListWorker(aWorker, mLeaving.count(aWorker) != 0);
        }
      });
    }
    After(aFor, [this, aWorker, aCut] {
      Note("joined " + aWorker);
      SetLinks(aWorker, aCut, false);
      mCuts.erase(aWorker);
    });
  }

  /** Starts at a worker are carried out late, or not at all, and not answered. */
  void HarmStarts(const std::string& aWorker, duration aFor, duration aDelay)
  {
    Note("starts " + aWorker);
    Disrupt(aWorker, aFor);
    mLateStartsUntil[aWorker] = { mSite.mLoop.Now() + aFor, aDelay };
  }

  /** Some calls of the scheduler to the store take effect, but aren't answered. */
  void HarmCommits(duration aFor)
  {
    Note("commits");
    Disrupt("", aFor);
    mSite.mFaults.mStoreFaults.push_back({ store_fate::kUnanswered,
                                           "",
                                           { store_call::kCommit },
                                           "",
                                           mSite.mLoop.Now() + aFor });
  }

  /** Removes the scheduler's VM as a SIGTERM does. */
  void Terminate(duration aExitAfter, duration aBackAfter)
  {
    const auto vm = mSite.SchedulerVm();
    if (vm.empty() || CountCalmVms() < 2 || mEnding.count(vm) != 0) {
      return;
    }
    Note("sigterm " + vm);
    mEnding.insert(vm);
    mSite.Node(vm).StartDraining();
    After(aExitAfter, [this, vm] { mSite.Kill(vm); });
    After(aExitAfter + aBackAfter, [this, vm] {
      mEnding.erase(vm);
      mSite.Restart(vm);
    });
  }

  void KillScheduler()
  {
    const auto vm = mSite.SchedulerVm();
    if (vm.empty() || CountCalmVms() < 2 || mEnding.count(vm) != 0) {
      return;
    }
    Note("kill " + vm);
    Disrupt("", duration(0));
    mSite.Kill(vm);
    mSite.Restart(vm);
  }

  /** Cancels at a VM that isn't the scheduler, until that is answered. */
  void Cancel(const std::string& aJob, int aAttempts = 50)
  {
    constexpr duration kRetryDelay{ 100 };
    for (const auto& vm : kVms) {
      if (mSite.IsUp(vm) && mEnding.count(vm) == 0 && vm != mSite.SchedulerVm()) {
        const auto answer = mSite.StoreCancellation(vm, aJob);
        if (answer == job_answer::kAccepted) {
          Note("cancelled " + aJob);
          mCancelledAt.emplace(aJob, mSite.mLoop.Now());
        }
        if (answer == job_answer::kAccepted || answer == job_answer::kNotFound) {
          return;
        }
        break;
      }
    }
    if (aAttempts > 1) {
      After(kRetryDelay, [this, aJob, aAttempts] { Cancel(aJob, aAttempts - 1); });
    }
  }

  /** Returns a line for each run of a cancelled job that began or ended too late. */
  std::vector<std::string> Judge()
  {
    std::vector<std::string> wrong;
    for (const auto& trace : mSite.mTraces) {
      const auto cancelled = mCancelledAt.find(trace.mTask.mJob);
      if (cancelled == mCancelledAt.end()) {
        continue;
      }
      auto since = std::max(
        cancelled->second,
        std::max(mDisruptedUntil[trace.mWorker], mDisruptedUntil[""]) + kContactTime);
      const bool isLate = mLateStarts.count({ trace.mWorker, trace.mStartedAt }) != 0;
      if (isLate) {
        since = std::max(since, trace.mStartedAt + kContactTime);
      }
      const auto ended = trace.mEnded.value_or(mSite.mLoop.Now());
      mJudgedRuns += ended > cancelled->second ? 1 : 0;
      mLongest = std::max(
        mLongest, ended > cancelled->second ? ended - since : duration(-100'000));
      if (ended - since > kCancelBound || trace.mStartedAt - since > kStartBound) {
        wrong.push_back(
          trace.mTask.mJob + " " + std::to_string(trace.mTask.mStep) + "." +
          std::to_string(trace.mTask.mIndex) + " run " + std::to_string(trace.mRun) +
          " on " + trace.mWorker + " began " +
          std::to_string((trace.mStartedAt - cancelled->second).count()) + " ended " +
          std::to_string((ended - cancelled->second).count()) + " owed " +
          std::to_string((since - cancelled->second).count()) + " " +
          (trace.mEnded ? ToString(trace.mEnd) : "running"));
      }
    }
    return wrong;
  }

  /** Returns the number of runs that went on after their job had been cancelled. */
  size_t JudgedRuns() const { return mJudgedRuns; }
  duration Longest() const { return mLongest; }
  fake_installation& Site() { return mSite; }

private:
  static scheduler_bounds MakeBounds(duration aLeaseMax)
  {
    scheduler_bounds bounds;
    bounds.mRuns.mLeaseMax = aLeaseMax;
    return bounds;
  }

  void Note(const std::string& aWhat)
  {
    mSite.mLog.mLines.push_back("test " + std::to_string(mSite.mLoop.Now().count()) +
                                " " + aWhat);
  }

  size_t CountCalmVms() const
  {
    return static_cast<size_t>(
      std::count_if(kVms.begin(), kVms.end(), [this](const std::string& aVm) {
        return mSite.IsUp(aVm) && mEnding.count(aVm) == 0;
      }));
  }

  void Disrupt(const std::string& aWorker, duration aFor)
  {
    auto& until = mDisruptedUntil[aWorker];
    until = std::max(until, mSite.mLoop.Now() + aFor);
  }

  /** Workers write their entries unless they are away from the store. */
  void Beat()
  {
    constexpr duration kHeartbeatPeriod{ 500 };
    for (const auto& [id, worker] : mSite.mWorkers) {
      if (mSilent.count(id) == 0) {
        mSite.ListWorker(id, mLeaving.count(id) != 0);
      }
    }
    mSite.mLoop.RunAfter(kHeartbeatPeriod, [this] { Beat(); });
  }

  void SetLinks(const std::string& aWorker, cut aCut, bool aIsBlocked)
  {
    for (const auto& vm : kVms) {
      if (aCut == cut::kBoth || (aCut == cut::kSomeVms && vm == "vm0")) {
        if (aIsBlocked) {
          mSite.mFaults.mBlockedLinks.insert({ vm, aWorker });
        } else {
          mSite.mFaults.mBlockedLinks.erase({ vm, aWorker });
        }
      }
    }
  }

  order_fate FateOf(const std::string& aWorker, const std::string& aOrder)
  {
    order_fate fate;
    const auto found = mCuts.find(aWorker);
    fate.mIsLost = found != mCuts.end() && found->second == cut::kRequests;
    fate.mIsAnswered = found == mCuts.end() || found->second != cut::kAnswers;
    const auto& [until, delay] = mLateStartsUntil[aWorker];
    if (aOrder == "start" && mSite.mLoop.Now() < until) {
      fate.mIsAnswered = false;
      fate.mDelay = delay;
      fate.mOnCarriedOut = [this, aWorker](run_request_status aStatus) {
        if (aStatus == run_request_status::kAccepted) {
          mLateStarts.insert({ aWorker, mSite.mLoop.Now() });
        }
      };
    }
    return fate;
  }

  fake_installation mSite;
  std::multimap<time_point, std::function<void()>> mEvents;
  std::set<std::string> mLeaving; ///< Workers that drain, or have left after it.
  std::set<std::string> mSilent;  ///< Workers cut off from the store.
  std::set<std::string> mEnding;  ///< VMs that have got a SIGTERM.
  std::map<std::string, cut> mCuts;
  std::map<std::string, std::pair<time_point, duration>> mLateStartsUntil;
  std::map<std::string, time_point> mDisruptedUntil; ///< By worker; "": all.
  std::map<std::string, time_point> mCancelledAt;
  std::set<std::pair<std::string, time_point>> mLateStarts;
  size_t mJudgedRuns = 0;
  duration mLongest{ -100'000 };
};

/** A job of a gang whose members have a worker each. */
accepted_job MakeGang(const std::string& aId, uint32_t aTasks)
{
  auto job = fake_installation::MakeJob(aId, aTasks, true);
  job.mSpec.mPayload = "long";
  job.mSpec.mSteps.front().mPerTask = { 4'000, 1'000, 8 };
  return job;
}

/** Random leaves, cuts and removals around the cancellations of gangs. */
class leave_mix
{
public:
  explicit leave_mix(uint32_t aSeed)
    : mRandom(aSeed)
    , mSite(duration(Chance(50) ? 6'000 : 10'000), Chance(50) ? 4 : 2)
  {
  }

  /** Plays the mix; returns a line for each run that went on for too long. */
  std::vector<std::string> Play()
  {
    const int64_t spanMs = Chance(50) ? 25'000 : 9'000;
    mStart = mSite.Site().mLoop.Now();
    mGraceful = Chance(40);
    mSite.Site().mFaults.mLosesNotifications = Chance(30);
    mSite.Site().mFaults.mStaleReadAge = duration(Chance(30) ? 5'000 : 0);
    mSite.Site().mBehaviourByPayload["long"] = { duration(Chance(60) ? 60'000 : 2'500),
                                                 Chance(5) };
    for (size_t number = 0; number < kJobs; ++number) {
      const auto submitted = Chance(50) ? duration(0) : duration(Below(spanMs));
      mSite.At(mStart + submitted, [this, number] { Submit(number); });
      CancelNear(number, submitted + duration(Below(3'000)));
    }
    for (auto leaves = 1 + Below(5); leaves > 0; --leaves) {
      const duration at(Below(spanMs));
      mSite.At(mStart + at, [this] { Leave(); });
      if (Chance(40)) {
        CancelNear(Below(kJobs), at + duration(Below(5'000)) - duration(1'500));
      }
    }
    for (auto ends = Below(3); ends > 0; --ends) {
      const duration at(Below(spanMs));
      mSite.At(mStart + at, [this] { EndScheduler(); });
      if (Chance(40)) {
        CancelNear(Below(kJobs), at + duration(Below(4'000)) - duration(1'000));
      }
    }
    for (auto faults = mGraceful ? 0 : Below(8); faults > 0; --faults) {
      mSite.At(mStart + duration(Below(spanMs)), [this] { Harm(); });
    }
    for (size_t number = 0; number < kJobs; ++number) {
      if (mCancelAt.count(number) == 0) {
        CancelNear(number, duration(Below(spanMs)));
      }
      mSite.At(mStart + mCancelAt.at(number),
               [this, number] { mSite.Cancel(JobName(number)); });
    }
    mSite.RunUntilQuiet(duration(24'000));
    return mSite.Judge();
  }

  leaving_site& Leaving() { return mSite; }

private:
  static constexpr size_t kJobs = 3;

  int64_t Below(int64_t aLimit)
  {
    return std::uniform_int_distribution<int64_t>(0, aLimit - 1)(mRandom);
  }
  bool Chance(int64_t aPercent) { return Below(100) < aPercent; }
  std::string AnyWorker() { return "w" + std::to_string(Below(kWorkers)); }
  static std::string JobName(size_t aNumber)
  {
    return "00000000000000a" + std::to_string(aNumber);
  }

  /** The last call for a job counts. */
  void CancelNear(size_t aNumber, duration aAfter)
  {
    mCancelAt[aNumber] = std::max(duration(0), aAfter);
  }

  void Submit(size_t aNumber)
  {
    auto job = MakeGang(JobName(aNumber), static_cast<uint32_t>(2 + Below(3)));
    if (Chance(30)) {
      job.mSpec.mSteps.front().mPerTask.mAccelerators = 4;
    }
    if (Chance(30)) {
      auto next = job.mSpec.mSteps.front();
      next.mDependsOn = { 0 };
      next.mGang = Chance(50);
      job.mSpec.mSteps.push_back(next);
    }
    for (const auto& vm : kVms) {
      if (mSite.Site().IsUp(vm)) {
        mSite.Site().Submit(vm, job);
        return;
      }
    }
  }

  /** One or several workers drain and leave, and may come back. */
  void Leave()
  {
    for (auto workers = Chance(60) ? 1 : 1 + Below(4); workers > 0; --workers) {
      const auto worker = AnyWorker();
      const bool isShort = Chance(30);
      const auto exitAfter = isShort      ? duration(Below(1'000))
                             : Chance(70) ? kDrainTimeout + duration(Below(1'000))
                                          : kDrainTimeout + duration(Below(9'000));
      mSite.Drain(worker, exitAfter, duration(Chance(50) ? 0 : Below(kSilenceMs)));
      mSite.ComeBackAfter(worker, exitAfter + duration(100 + Below(8'000)));
    }
  }

  void EndScheduler()
  {
    if (mGraceful || Chance(75)) {
      mSite.Terminate(duration(500 + Below(5'000)), duration(200 + Below(4'000)));
    } else {
      mSite.KillScheduler();
    }
  }

  void Harm()
  {
    const duration lasts(200 + Below(Chance(30) ? 14'000 : 4'000));
    switch (Below(8)) {
      case 0:
        mSite.Reclaim(AnyWorker(), Chance(50));
        break;
      case 1:
        mSite.HarmStarts(
          AnyWorker(), lasts, duration(1 + Below(Chance(50) ? 1'500 : 9'000)));
        break;
      case 2:
        mSite.HarmCommits(duration(200 + Below(2'500)));
        break;
      default:
        for (auto workers = 1 + Below(4); workers > 0; --workers) {
          mSite.Cut(AnyWorker(), static_cast<cut>(1 + Below(4)), lasts, Chance(30));
        }
        break;
    }
  }

  std::minstd_rand mRandom;
  leaving_site mSite;
  time_point mStart{ 0 };
  bool mGraceful = false; ///< Nothing happens that counts as a disruption.
  std::map<size_t, duration> mCancelAt;
};

/** What befalls the workers of a gang of three, w0 to w2, around its cancellation. */
struct leave_row
{
  const char* mName;
  std::function<void(leaving_site&)> mBegin;
};

std::vector<leave_row> LeaveRows()
{
  constexpr duration kAtOnce{ 0 };
  constexpr duration kGone{ kSilenceMs };
  constexpr duration kStay{ 5'000 };
  const auto drain = [=](leaving_site& aSite, size_t aCount, duration aExitAfter) {
    for (size_t number = 0; number < aCount; ++number) {
      aSite.Drain("w" + std::to_string(number), aExitAfter, kAtOnce);
    }
  };
  return {
    { "one drains", [=](auto& aSite) { drain(aSite, 1, kDrainTimeout); } },
    { "all drain", [=](auto& aSite) { drain(aSite, 3, kDrainTimeout); } },
    { "all drain and stay", [=](auto& aSite) { drain(aSite, 3, kStay); } },
    { "one leaves at short notice",
      [=](auto& aSite) { aSite.Drain("w1", duration(300), kGone); } },
    { "one drains, the scheduler is removed",
      [=](auto& aSite) {
        drain(aSite, 1, kDrainTimeout);
        aSite.After(duration(500),
                    [&aSite] { aSite.Terminate(duration(2'000), duration(1'000)); });
      } },
    { "all drain, the scheduler is removed",
      [=](auto& aSite) {
        drain(aSite, 3, kStay);
        aSite.After(duration(1'500),
                    [&aSite] { aSite.Terminate(duration(2'000), duration(1'000)); });
      } },
    { "the scheduler is removed, then all drain",
      [=](auto& aSite) {
        aSite.Terminate(duration(500), duration(1'000));
        aSite.After(duration(300), [=, &aSite] { drain(aSite, 3, kDrainTimeout); });
      } },
    { "one drains, one is cut off",
      [=](auto& aSite) {
        drain(aSite, 1, kDrainTimeout);
        aSite.Cut("w1", cut::kBoth, duration(2'500), true);
      } },
    { "two are cut off, one of them in one direction",
      [=](auto& aSite) {
        aSite.Cut("w1", cut::kAnswers, duration(8'000), false);
        aSite.Cut("w2", cut::kRequests, duration(4'000), true);
      } },
  };
}

uint32_t NumberFrom(const char* aVariable, uint32_t aDefault)
{
  const char* const text = std::getenv(aVariable);
  return text == nullptr ? aDefault : static_cast<uint32_t>(std::atoi(text));
}

} // namespace

// Guards against gangs that go on at the workers that stay or haven't left yet.
TEST_CASE("a cancelled gang ends in time before, while and after workers leave",
          "[gang-cancel]")
{
  const auto row = GENERATE(from_range(LeaveRows()));
  const auto leaseMs = GENERATE(6'000, 10'000);
  const auto cancelAfterMs = GENERATE(range(-500, 5'500, 150));
  CAPTURE(row.mName, leaseMs, cancelAfterMs);
  constexpr duration kBegin{ 1'500 };
  leaving_site site(duration(leaseMs), 4);
  site.Site().mBehaviourByPayload["long"] = { duration(60'000), false };
  REQUIRE(site.Site().Submit("vm0", MakeGang(kGang, 3)) == job_answer::kAccepted);
  site.Site().mLoop.RunFor(duration(800));
  std::set<std::string> workers;
  for (const auto& trace : site.Site().mTraces) {
    workers.insert(trace.mWorker);
  }
  REQUIRE(workers == std::set<std::string>{ "w0", "w1", "w2" });
  site.After(kBegin, [&] { row.mBegin(site); });
  site.After(kBegin + duration(cancelAfterMs), [&] { site.Cancel(kGang); });
  site.RunUntilQuiet(duration(15'000));
  const auto tooLong = site.Judge();
  CAPTURE(tooLong);
  CHECK(tooLong.empty());
  CHECK(site.Site().CountStarts(kGang) >= 3);
}

TEST_CASE("cancelled gangs end in time while their workers leave or are cut off",
          "[gang-cancel]")
{
  const auto from = NumberFrom("GANG_MIX_FIRST", 1);
  const auto seeds = NumberFrom("GANG_MIX_COUNT", 100);
  size_t judged = 0;
  std::map<std::string, size_t> ends;
  duration longest{ -100'000 };
  for (auto seed = from; seed < from + seeds; ++seed) {
    leave_mix mix(seed);
    const auto tooLong = mix.Play();
    CAPTURE(seed, tooLong);
    CHECK(tooLong.empty());
    judged += mix.Leaving().JudgedRuns();
    longest = std::max(longest, mix.Leaving().Longest());
    for (const auto& trace : mix.Leaving().Site().mTraces) {
      ++ends[trace.mEnded ? ToString(trace.mEnd) : "running"];
    }
    if (std::getenv("GANG_MIX_TRACE") != nullptr && !tooLong.empty()) {
      for (const auto& line : mix.Leaving().Site().mLog.mLines) {
        std::cerr << line << "\n";
      }
    }
  }
  if (std::getenv("GANG_MIX_STATS") != nullptr) {
    std::cerr << "judged " << judged << " longest " << longest.count();
    for (const auto& [end, count] : ends) {
      std::cerr << " " << end << "=" << count;
    }
    std::cerr << "\n";
  }
  CHECK(judged > seeds);
}
