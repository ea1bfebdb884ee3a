#include "support/FakeInstallation.h"
#include "support/RunJudge.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <random>

using namespace anvildoor;

namespace {

constexpr size_t kVms = 4;
constexpr size_t kWorkers = 8;
/** Troubles and submissions begin within this time. */
constexpr int kTroubledMs = 26'000;
/** After so much calm, no job that isn't done waits long for a run. */
constexpr duration kCalm{ 30'000 };
/** Then all end within this time. */
constexpr duration kRest{ 90'000 };
/** The directory removes no entry that was renewed within this time. */
constexpr duration kExpiry{ 4'500 };
/** Calls that are carried out later than this have been given up by their sender. */
constexpr duration kCallTimeout{ 900 };
const std::string kEvacuationPrefix = "evacuate/";
constexpr duration kEvacuationBound{ 5'000 };
constexpr size_t kWorkersPerRack = 4;

/** What a scan draws beside workers that start again. */
struct scan_options
{
  bool mGangsFail = false;
  bool mIsUneven = false; ///< Uneven paces, and evacuations.
};

struct scan_counts
{
  size_t mJobs = 0;
  size_t mRuns = 0;
  size_t mRestarts = 0;
  size_t mFailedJobs = 0; ///< Rightly.
  size_t mLapsedRuns = 0;
  size_t mLateOnUnknownLife = 0; ///< Starts as of the known limit.
  size_t mExcused = 0;           ///< Broken cases with such a start.
  size_t mEvacuations = 0;
};

/** Draws jobs and troubles around workers that start again under their ids. */
class reborn_worker_mix
{
public:
  reborn_worker_mix(uint32_t aSeed, const scan_options& aOptions)
    : mRandom(aSeed)
    , mUnevenRandom(aSeed)
    , mGangsFail(aOptions.mGangsFail)
    , mIsUneven(aOptions.mIsUneven)
    , mSite(kVms, kWorkers, kWorkersPerRack, DrawBounds())
  {
    if (mIsUneven) {
      DrawPaces();
    }
    mSite.mFaults.mFateOfOrder = [this](const std::string& aWorker,
                                        const std::string& aOrder) {
      const auto found = mOrderFaults.find({ aWorker, aOrder });
      return found == mOrderFaults.end() || found->second.mUntil <= mSite.mLoop.Now()
               ? order_fate()
               : FateBy(found->second, aWorker, aOrder);
    };
    for (const auto& [id, worker] : mSite.mWorkers) {
      if (Chance(30)) {
        mSite.mFaults.mSlowClockWorkers.insert(id);
        worker->SetClockRate(0.98);
      }
    }
  }

  /** Plays the mix; returns a text for each broken rule. */
  std::vector<std::string> Play()
  {
    mSite.mLoop.RunFor(duration(2'500 + Below(1'000)));
    mBegin = mSite.mLoop.Now();
    mJudge.emplace(mSite, mBegin);
    mTroubledUntil = mBegin + duration(kTroubledMs);
    const auto jobs = 3 + Below(6);
    for (int number = 0; number < jobs; ++number) {
      After(Below(kTroubledMs / 2), [this] { BeginJob(); });
    }
    for (auto series = 1 + Below(4); series > 0; --series) {
      After(Below(kTroubledMs - 4'000), [this] { BeginSeries(); });
    }
    const auto kinds = Below(16);
    for (auto troubles = Below(8); troubles > 0; --troubles) {
      After(Below(kTroubledMs), [this, kinds] { BeginTrouble(kinds); });
    }
    if (mIsUneven) {
      PlanEvacuations();
    }
    while (mSite.mLoop.Now() < mTroubledUntil) {
      mSite.mLoop.RunFor(mTroubledUntil - mSite.mLoop.Now());
    }
    mSite.mLoop.RunFor(kCalm);
    mJudge->JudgeCalm();
    mSite.mLoop.RunFor(kRest);
    mJudge->JudgeEnd();
    mJudge->JudgeRuns();
    Count();
    auto broken = mJudge->Broken();
    JudgeEvacuations(broken);
    return broken;
  }

  const scan_counts& Counts() const { return mCounts; }
  const std::vector<std::string>& Excused() const { return mJudge->Excused(); }
  const recording_log& Log() const { return mSite.mLog; }

private:
  struct order_fault
  {
    int mKind = 0;
    time_point mUntil{ 0 };
    int mMaxDelayMs = 0;
  };

  scheduler_bounds DrawBounds()
  {
    scheduler_bounds bounds;
    bounds.mRuns.mLeaseMax = duration(Chance(50) ? 6'000 : 10'000);
    if (mIsUneven) {
      bounds.mEvacuations = { kEvacuationPrefix, kEvacuationBound };
    }
    return bounds;
  }
  int Below(int aLimit)
  {
    return std::uniform_int_distribution<int>(0, aLimit - 1)(mRandom);
  }
  bool Chance(int aPercent) { return Below(100) < aPercent; }
  std::string DrawWorker() { return "w" + std::to_string(Below(kWorkers)); }

  void After(int aMs, std::function<void()> aEvent)
  {
    mSite.mLoop.RunAfter(duration(aMs), std::move(aEvent));
  }
  /** Notes a trouble in the log, which lasts for aForMs from now on. */
  void Note(const std::string& aWhat, int aForMs = 0)
  {
    mTroubledUntil = std::max(mTroubledUntil, mSite.mLoop.Now() + duration(aForMs));
    mSite.mLog.mLines.push_back("test " + Since(mSite.mLoop.Now()) + " " + aWhat +
                                " for " + std::to_string(aForMs));
  }
  std::string Since(time_point aTime) const
  {
    return std::to_string((aTime - mBegin).count());
  }

  std::string DrawVm()
  {
    std::vector<std::string> up;
    for (size_t number = 0; number < kVms; ++number) {
      const auto vm = "vm" + std::to_string(number);
      if (mSite.IsUp(vm) && mLeavingVms.count(vm) == 0) {
        up.push_back(vm);
      }
    }
    return up[static_cast<size_t>(Below(static_cast<int>(up.size())))];
  }

  void Count()
  {
    const auto& traces = mSite.mTraces;
    mCounts.mJobs = mJudge->mJobs.size();
    mCounts.mRuns = traces.size();
    mCounts.mFailedJobs = mJudge->FailedJobs();
    mCounts.mLapsedRuns = static_cast<size_t>(
      std::count_if(traces.begin(), traces.end(), [](const run_trace& aTrace) {
        return aTrace.mEnd == run_end::kLeaseExpired;
      }));
    mCounts.mLateOnUnknownLife = mJudge->mExcusedStarts.size();
    mCounts.mExcused = mJudge->Excused().size();
  }

  // Jobs

  void BeginJob()
  {
    static constexpr duration kRunTimes[] = {
      duration(20'000), duration(9'000), duration(2'000), duration(150), duration(20)
    };
    const auto number = std::to_string(10 + mNextJob++);
    auto job = fake_installation::MakeJob("00000000000001b0" + number, 1, false);
    job.mMaxAttempts = 2 + Below(2);
    const bool isGang = Chance(mGangsFail ? 80 : 30);
    auto& step = job.mSpec.mSteps.front();
    step.mGang = isGang;
    step.mCount = static_cast<uint32_t>(isGang ? 2 + Below(3) : 1 + Below(4));
    const auto accelerators = Chance(30) ? 8 : 1 + Below(3);
    step.mPerTask = { int64_t{ 4'000 } * accelerators, 1'000, accelerators };
    job.mSpec.mPayload = job.mId;
    const bool fails = isGang ? mGangsFail && Chance(80) : Chance(20);
    const auto runTime = kRunTimes[fails ? 2 + Below(3) : Below(5)];
    mSite.mBehaviourByPayload[job.mId] = { runTime, fails };
    Note("job " + job.mId + (isGang ? " gang of " : " tasks ") +
         std::to_string(step.mCount) + " run time " + std::to_string(runTime.count()) +
         (fails ? " fails" : ""));
    if (Chance(20)) {
      auto next = step;
      next.mDependsOn = { 0 };
      job.mSpec.mSteps.push_back(next);
    }
    Submit(job, 0);
  }

  void Submit(const accepted_job& aJob, int aAttempt)
  {
    constexpr int kMaxAttempts = 40;
    mSite.Node(DrawVm()).Jobs().Submit(
      aJob,
      mSite.mLoop.Now() + duration(3'000),
      [this, aJob, aAttempt](const job_reply& aReply) {
        if (aReply.mAnswer == job_answer::kAccepted) {
          mJudge->mJobs.emplace(aJob.mId, aJob);
        } else if (aAttempt < kMaxAttempts) {
          After(200, [this, aJob, aAttempt] { Submit(aJob, aAttempt + 1); });
        }
      });
  }

  // Uneven workers and evacuations

  struct evacuation
  {
    std::string mDataCentre;
    time_point mBegin{ 0 };
    time_point mEnd{ 0 };
  };

  int BelowOfUneven(int aLimit)
  {
    return std::uniform_int_distribution<int>(0, aLimit - 1)(mUnevenRandom);
  }

  void DrawPaces()
  {
    static constexpr double kSlowdowns[] = { 1.0 / 0.6, 1.0, 1.0, 1.0 / 1.6 };
    for (const auto& [id, worker] : mSite.mWorkers) {
      mSite.mFaults.mSlowdownFactors[id] =
        kSlowdowns[BelowOfUneven(std::size(kSlowdowns))];
    }
  }

  /** Requests follow each other in each data centre, and may overlap between them. */
  void PlanEvacuations()
  {
    for (const auto* dataCentre : { "dc-r0", "dc-r1" }) {
      auto beginMs = BelowOfUneven(kTroubledMs);
      for (auto count = BelowOfUneven(3); count > 0; --count) {
        const auto forMs = 1'000 + BelowOfUneven(20'000);
        After(beginMs, [this, dataCentre, forMs] { Evacuate(dataCentre, forMs); });
        beginMs += forMs + 1 + BelowOfUneven(3'000);
      }
    }
  }

  void Evacuate(const std::string& aDataCentre, int aForMs)
  {
    Note("evacuate " + aDataCentre, aForMs);
    ++mCounts.mEvacuations;
    const auto begin = mSite.mLoop.Now();
    mEvacuations.push_back({ aDataCentre, begin, begin + duration(aForMs) });
    mSite.mStore.Put(kEvacuationPrefix + aDataCentre, "{}");
    After(aForMs, [this, aDataCentre] {
      mSite.mStore.Remove(kEvacuationPrefix + aDataCentre);
    });
  }

  /** Adds a text for each start in a data centre that had been evacuated for long. */
  void JudgeEvacuations(std::vector<std::string>& aBroken) const
  {
    for (const auto& trace : mSite.mTraces) {
      const auto rack = std::stoul(trace.mWorker.substr(1)) / kWorkersPerRack;
      const auto dataCentre = "dc-r" + std::to_string(rack);
      for (const auto& each : mEvacuations) {
        if (each.mDataCentre == dataCentre &&
            trace.mStartedAt > each.mBegin + kEvacuationBound &&
            trace.mStartedAt < each.mEnd &&
            mJudge->mExcusedStarts.count({ trace.mWorker, trace.mStartedAt }) == 0) {
          aBroken.push_back("EVAC " + trace.mTask.mJob + " on " + trace.mWorker +
                            " start " + Since(trace.mStartedAt) + " evacuated " +
                            Since(each.mBegin));
        }
      }
    }
  }

  // Troubles

  /** Workers crash, are back under their ids and perhaps are cut off soon after. */
  void BeginSeries()
  {
    std::set<std::string> workers;
    for (auto count = Chance(30) ? 1 : 2 + Below(kWorkers); count > 0; --count) {
      workers.insert(DrawWorker());
    }
    const auto darkMs = Chance(50) ? 0 : 50 + Below(1'500);
    const bool isTwice = Chance(30);
    const auto againMs = darkMs + 1 + Below(2'000);
    const auto cutMs = (isTwice ? againMs : darkMs) + Below(3'000);
    const auto cutForMs = Chance(70) ? 1'000 + Below(11'001) : 0;
    if (Chance(60)) { // Orders that are on their way.
      HarmOrders(workers, Chance(50) ? "start" : "", 900);
    }
    if (Chance(50)) {
      BeginJob();
    }
    if (Chance(50)) {
      After(Below(darkMs + 1'500), [this] { BeginJob(); });
    }
    const auto crashMs = Below(900);
    for (const auto& worker : workers) {
      After(crashMs, [this, worker, darkMs] { Crash(worker, darkMs); });
      if (isTwice) {
        After(crashMs + againMs, [this, worker] { Crash(worker, 0); });
      }
      if (cutForMs > 0) {
        After(crashMs + cutMs, [this, worker, cutForMs] { CutOff(worker, cutForMs); });
      }
    }
  }

  void Crash(const std::string& aWorker, int aDarkMs)
  {
    Note("crash " + aWorker, aDarkMs);
    ++mCounts.mRestarts;
    mSite.mWorkers.erase(aWorker);
    const auto restart = [this, aWorker] {
      Note("back " + aWorker);
      mSite.CrashWorker(aWorker, true);
    };
    if (aDarkMs == 0) {
      restart();
    } else {
      After(aDarkMs, restart);
    }
  }

  void CutOff(const std::string& aWorker, int aForMs)
  {
    Note("cut " + aWorker, aForMs);
    for (size_t number = 0; number < kVms; ++number) {
      Block({ "vm" + std::to_string(number), aWorker }, aForMs);
    }
  }

  void Block(const std::pair<std::string, std::string>& aLink, int aForMs)
  {
    const auto until = mSite.mLoop.Now() + duration(aForMs);
    mBlockedUntil[aLink] = std::max(mBlockedUntil[aLink], until);
    mSite.mFaults.mBlockedLinks.insert(aLink);
    After(aForMs, [this, aLink] {
      if (mBlockedUntil[aLink] <= mSite.mLoop.Now()) {
        mSite.mFaults.mBlockedLinks.erase(aLink);
      }
    });
  }

  /** Harms the orders of one kind, or of any kinds, to some workers. */
  void HarmOrders(const std::set<std::string>& aWorkers,
                  const std::string& aOrder,
                  int aMaxDelayMs)
  {
    constexpr int kLastsMs = 3'000;
    for (const auto* order : { "start", "stop", "hold" }) {
      if (aOrder.empty() ? Chance(50) : aOrder == order) {
        const auto kind = aMaxDelayMs < 1'000 ? 3 : Below(4);
        const auto lastsMs = 100 + Below(kLastsMs);
        Note(std::string("orders ") + order + " kind " + std::to_string(kind),
             lastsMs + aMaxDelayMs);
        for (const auto& worker : aWorkers) {
          mOrderFaults[{ worker, order }] = { kind,
                                              mSite.mLoop.Now() + duration(lastsMs),
                                              aMaxDelayMs };
        }
      }
    }
  }

  order_fate FateBy(const order_fault& aFault,
                    const std::string& aWorker,
                    const std::string& aOrder)
  {
    order_fate fate;
    switch (aFault.mKind) {
      case 0:
        fate.mIsLost = true;
        break;
      case 1:
        fate.mIsAnswered = false;
        break;
      case 2: // Answers overtake each other.
        fate.mAnswerDelay = duration(Below(850));
        break;
      default:
        fate.mIsAnswered = false;
        fate.mDelay = duration(1 + Below(aFault.mMaxDelayMs));
        break;
    }
    if (fate.mDelay > duration::zero()) {
      Note(aOrder + " to " + aWorker + " delayed",
           static_cast<int>(fate.mDelay.count()));
    }
    const auto life = mSite.StartedAtMsOf(aWorker);
    fate.mOnCarriedOut =
      [this, aWorker, life, delay = fate.mDelay](run_request_status aStatus) {
        if (aStatus == run_request_status::kAccepted) {
          OnLateStart(aWorker, life, delay);
        }
      };
    return fate;
  }

  void OnLateStart(const std::string& aWorker, int64_t aLifeThen, duration aDelay)
  {
    const auto life = mSite.StartedAtMsOf(aWorker);
    const bool isKnown = mSite.mLifeKnownAt.count(life) != 0;
    const std::pair start(aWorker, mSite.mLoop.Now());
    mJudge->mStartNotes[start] = " (sent " + std::to_string(aDelay.count()) +
                                 " ms before, to " +
                                 (life == aLifeThen ? "this"
                                  : isKnown         ? "another life, this known"
                                                    : "another life, this unknown") +
                                 ")";
    if (aDelay > kCallTimeout && life != aLifeThen && !isKnown) {
      mJudge->mExcusedStarts.insert(start);
    }
  }

  void BeginTrouble(int aKinds)
  {
    const auto kind = Below(4);
    const auto forMs = 500 + Below(5'500);
    if ((aKinds & (1 << kind)) == 0) {
      return;
    }
    if (kind == 0) {
      std::set<std::string> workers;
      for (auto count = 1 + Below(kWorkers); count > 0; --count) {
        workers.insert(DrawWorker());
      }
      HarmOrders(workers, "", Chance(30) ? 1'500 : 12'000);
    } else if (kind == 1) {
      HarmDirectory(forMs);
    } else if (kind == 2) {
      HarmScheduler(forMs);
    } else if (Chance(50)) {
      Note("store away", forMs);
      mSite.mFaults.mStoreFaults.push_back(
        { store_fate::kUnsent, "", {}, "", mSite.mLoop.Now() + duration(forMs) });
    } else {
      const auto vm = mSite.SchedulerVm();
      Note("store away for " + vm, forMs);
      Block({ vm, "store" }, forMs);
    }
  }

  void HarmDirectory(int aForMs)
  {
    if (Chance(50)) {
      Note("directory away", aForMs);
      for (size_t number = 0; number < kVms; ++number) {
        Block({ "vm" + std::to_string(number), "directory" }, aForMs);
      }
      return;
    }
    const auto worker = DrawWorker();
    const auto relisted = mRelistedAt.find(worker);
    if (relisted != mRelistedAt.end() &&
        mSite.mLoop.Now() - relisted->second < kExpiry) {
      return;
    }
    Note("entry gone of " + worker, aForMs);
    mRelistedAt[worker] = mSite.mLoop.Now() + duration(aForMs);
    mSite.mStore.Remove("workers/" + worker);
    After(aForMs, [this, worker] { mSite.ListWorker(worker); });
  }

  void HarmScheduler(int aForMs)
  {
    const auto vm = mSite.SchedulerVm();
    if (vm.empty() || mLeavingVms.size() >= 2 || !mLeavingVms.insert(vm).second) {
      return;
    }
    const auto killMs = Chance(50) ? 0 : 2'000;
    Note((killMs == 0 ? "kill " : "drain ") + vm, killMs + aForMs);
    if (killMs > 0) {
      mSite.Node(vm).StartDraining();
    }
    After(killMs, [this, vm] { mSite.Kill(vm); });
    After(killMs + aForMs, [this, vm] {
      mSite.Restart(vm);
      mLeavingVms.erase(vm);
    });
  }

  std::mt19937 mRandom;
  std::mt19937 mUnevenRandom; ///< Draws paces and evacuations.
  bool mGangsFail;
  bool mIsUneven;
  fake_installation mSite;
  time_point mBegin{ 0 };
  time_point mTroubledUntil{ 0 };
  int mNextJob = 0;
  std::map<std::pair<std::string, std::string>, order_fault> mOrderFaults;
  std::map<std::pair<std::string, std::string>, time_point> mBlockedUntil;
  std::map<std::string, time_point> mRelistedAt;
  std::set<std::string> mLeavingVms;
  std::vector<evacuation> mEvacuations;
  std::optional<run_judge> mJudge; ///< Set when the play begins.
  scan_counts mCounts;
};

/** Returns a number of the environment, or aDefault. */
uint32_t NumberFrom(const char* aName, uint32_t aDefault)
{
  const auto* text = std::getenv(aName);
  return text == nullptr ? aDefault : static_cast<uint32_t>(std::stoul(text));
}

void Scan(const scan_options& aOptions, uint32_t aSeeds)
{
  const auto first = NumberFrom("REBORN_FIRST_SEED", 1);
  const auto seeds = NumberFrom("REBORN_SEEDS", aSeeds);
  const bool isTraced = std::getenv("REBORN_TRACE") != nullptr;
  scan_counts all;
  for (auto seed = first; seed < first + seeds; ++seed) {
    reborn_worker_mix mix(seed, aOptions);
    const auto broken = mix.Play();
    const auto& counts = mix.Counts();
    all.mJobs += counts.mJobs;
    all.mRuns += counts.mRuns;
    all.mRestarts += counts.mRestarts;
    all.mFailedJobs += counts.mFailedJobs;
    all.mLapsedRuns += counts.mLapsedRuns;
    all.mLateOnUnknownLife += counts.mLateOnUnknownLife;
    all.mExcused += counts.mExcused;
    all.mEvacuations += counts.mEvacuations;
    for (const auto& text : mix.Excused()) {
      std::cout << "known limit, seed " << seed << ": " << text << "\n";
    }
    for (const auto& text : broken) {
      CAPTURE(seed);
      FAIL_CHECK(text);
    }
    if (isTraced) {
      for (const auto& line : mix.Log().mLines) {
        std::cerr << line << "\n";
      }
    }
  }
  std::cout << "reborn seeds " << seeds << " jobs " << all.mJobs << " runs "
            << all.mRuns << " restarts " << all.mRestarts << " failed jobs "
            << all.mFailedJobs << " lapsed runs " << all.mLapsedRuns
            << " late on unknown lives " << all.mLateOnUnknownLife
            << " of these broken " << all.mExcused << " evacuations "
            << all.mEvacuations << "\n";
  CHECK(all.mJobs > seeds);
  CHECK(all.mRestarts > seeds);
}

} // namespace

// Guards against faults of workers that start again under their old ids (issue 44).
TEST_CASE("no task runs twice nor is lost around workers that start again",
          "[reborn-scan]")
{
  Scan({}, 100);
}

// Guards against a gang's run that is counted by its members (issue 44).
TEST_CASE("gangs have all their attempts around workers that start again",
          "[reborn-scan]")
{
  Scan({ .mGangsFail = true }, 50);
}

// Guards against starts in evacuated data centres (issue 47).
TEST_CASE("nothing starts in evacuated data centres around workers that start again",
          "[reborn-scan]")
{
  Scan({ .mIsUneven = true }, 50);
}
