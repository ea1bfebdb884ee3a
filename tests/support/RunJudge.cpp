#include "support/RunJudge.h"

#include <algorithm>
#include <iterator>

namespace anvildoor {

std::string run_judge::TextOf(const run_trace& aTrace) const
{
  const auto at = [this](const std::optional<time_point>& aTime) {
    return aTime ? Since(*aTime) : std::string("-");
  };
  const auto note = mStartNotes.find({ aTrace.mWorker, aTrace.mStartedAt });
  return "\n  " + std::to_string(aTrace.mTask.mStep) + "." +
         std::to_string(aTrace.mTask.mIndex) + " run " + std::to_string(aTrace.mRun) +
         " on " + aTrace.mWorker + (note == mStartNotes.end() ? "" : note->second) +
         " start " + Since(aTrace.mStartedAt) + " end " + at(aTrace.mEnded) + " " +
         (aTrace.mEnded ? ToString(aTrace.mEnd) : "running") + " listed " +
         at(aTrace.mListed) + " noted " + at(aTrace.mNoted);
}

bool run_judge::IsExcused(const run_trace& aTrace) const
{
  return mExcusedStarts.count({ aTrace.mWorker, aTrace.mStartedAt }) != 0;
}

void run_judge::Report(const std::string& aRule,
                       const std::string& aJob,
                       uint32_t aStep,
                       bool aIsExcused)
{
  auto text = aRule + " " + aJob;
  for (const auto& trace : mSite.mTraces) {
    if (trace.mTask.mJob == aJob && trace.mTask.mStep == aStep) {
      text += TextOf(trace);
    }
  }
  (aIsExcused ? mExcused : mBroken).push_back(text);
}

bool run_judge::IsNoted(const run_trace& aTrace) const
{
  const auto lapses = mSite.mLapses.find(aTrace.mWorker);
  const auto isBetween = [&](time_point aLapse) {
    return aLapse >= *aTrace.mEnded && aLapse <= *aTrace.mNoted;
  };
  return aTrace.mNoted &&
         (lapses == mSite.mLapses.end() ||
          std::none_of(lapses->second.begin(), lapses->second.end(), isBetween));
}

std::set<std::string> run_judge::IdleJobs() const
{
  constexpr int64_t kOfWorker = 8;
  int64_t used = 0;
  std::set<std::string> idle;
  for (const auto& [id, job] : mJobs) {
    const auto state = mSite.StateAt("vm0", id);
    if (state != "done" && state != "failed") {
      idle.insert(id);
    }
  }
  for (const auto& trace : mSite.mTraces) {
    const auto job = mJobs.find(trace.mTask.mJob);
    if (!trace.mEnded && job != mJobs.end()) {
      used += job->second.mSpec.mSteps[trace.mTask.mStep].mPerTask.mAccelerators;
      idle.erase(job->first);
    }
  }
  const auto all = kOfWorker * static_cast<int64_t>(mSite.mWorkers.size());
  return 2 * used < all ? idle : std::set<std::string>();
}

void run_judge::JudgeCalm()
{
  constexpr duration kMaxIdle{ 3'000 };
  constexpr duration kSamplePeriod{ 100 };
  auto idle = IdleJobs();
  for (const auto until = mSite.mLoop.Now() + kMaxIdle; mSite.mLoop.Now() < until;) {
    mSite.mLoop.RunFor(kSamplePeriod);
    const auto now = IdleJobs();
    std::set<std::string> still;
    std::set_intersection(idle.begin(),
                          idle.end(),
                          now.begin(),
                          now.end(),
                          std::inserter(still, still.end()));
    idle = still;
  }
  for (const auto& id : idle) {
    Report("LOST: nothing runs in calm", id, 0);
  }
}

std::map<uint32_t, time_point> run_judge::FailedRuns(const task_ref& aTask,
                                                     bool aIsGang,
                                                     bool aOnlyNoted) const
{
  std::map<uint32_t, time_point> failed;
  for (const auto& trace : mSite.mTraces) {
    auto task = trace.mTask;
    task.mIndex = aIsGang ? aTask.mIndex : task.mIndex;
    if (task == aTask && trace.mEnded && trace.mEnd == run_end::kFailed &&
        (!aOnlyNoted || IsNoted(trace))) {
      const auto first = failed.emplace(trace.mRun, *trace.mEnded).first;
      first->second = std::min(first->second, *trace.mEnded);
    }
  }
  return failed;
}

bool run_judge::IsSpent(const accepted_job& aJob) const
{
  return std::any_of(
    mSite.mTraces.begin(), mSite.mTraces.end(), [&](const run_trace& aTrace) {
      return aTrace.mTask.mJob == aJob.mId &&
             static_cast<int64_t>(
               FailedRuns(
                 aTrace.mTask, aJob.mSpec.mSteps[aTrace.mTask.mStep].mGang, false)
                 .size()) >= aJob.mMaxAttempts;
    });
}

void run_judge::JudgeEnd()
{
  for (const auto& [id, job] : mJobs) {
    const auto state = mSite.StateAt("vm0", id);
    if (state == "failed") {
      ++mFailedJobs;
      if (!IsSpent(job)) {
        Report("LOST: failed with attempts left", id, 0);
      }
    } else if (state != "done") {
      Report("LOST: at the end shown as " + state, id, 0);
    }
  }
}

void run_judge::JudgePair(const run_trace& aEarlier, const run_trace& aLater)
{
  const bool isExcused = IsExcused(aEarlier) || IsExcused(aLater);
  const auto& task = aLater.mTask;
  if (!aEarlier.mEnded || *aEarlier.mEnded > aLater.mStartedAt) {
    Report("TWICE: two runs at once", task.mJob, task.mStep, isExcused);
  } else if (aEarlier.mEnd == run_end::kDone && IsNoted(aEarlier)) {
    Report("TWICE: start after done", task.mJob, task.mStep, isExcused);
  }
}

void run_judge::JudgeAttempts(const run_trace& aStart)
{
  const auto& task = aStart.mTask;
  const auto job = mJobs.find(task.mJob);
  if (job == mJobs.end()) {
    return;
  }
  const bool isGang = job->second.mSpec.mSteps[task.mStep].mGang;
  const auto failed = FailedRuns(task, isGang, true);
  const auto before = std::count_if(
    failed.begin(), failed.end(), [&](const std::pair<uint32_t, time_point>& aRun) {
      return aRun.first != aStart.mRun && aRun.second < aStart.mStartedAt;
    });
  if (before >= job->second.mMaxAttempts) {
    Report(
      "BUDGET: start after the attempts", task.mJob, task.mStep, IsExcused(aStart));
  }
}

void run_judge::JudgeRuns()
{
  const auto& traces = mSite.mTraces;
  for (size_t later = 0; later < traces.size(); ++later) {
    for (size_t earlier = 0; earlier < later; ++earlier) {
      if (traces[earlier].mTask == traces[later].mTask) {
        JudgePair(traces[earlier], traces[later]);
      }
    }
    JudgeAttempts(traces[later]);
  }
}

} // namespace anvildoor
