#pragma once

#include "support/FakeInstallation.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/**
 * Judges the runs that the stand-in workers of an installation saw by the rules TWICE,
 * BUDGET and LOST. Not thread-safe.
 */
class run_judge
{
public:
  /** aSite must outlive the judge. Times are told since aBegin. */
  run_judge(fake_installation& aSite, time_point aBegin)
    : mSite(aSite)
    , mBegin(aBegin)
  {
  }

  /** The accepted jobs. */
  std::map<std::string, accepted_job> mJobs;
  /** Worker and time of each start that is known to break rules rightly. */
  std::set<std::pair<std::string, time_point>> mExcusedStarts;

  /** What is known of starts that were delayed, by worker and time; for texts. */
  std::map<std::pair<std::string, time_point>, std::string> mStartNotes;

  /**
   * For the next 3 s each accepted job must be done, failed or running at times, or
   * else half of the accelerators must be in use. Lets this time pass.
   */
  void JudgeCalm();
  /** Each accepted job must be done or rightly failed now. */
  void JudgeEnd();
  /** No run that was ever seen may break a rule. */
  void JudgeRuns();

  /** Returns a text with the traces of each broken case. */
  const std::vector<std::string>& Broken() const { return mBroken; }
  /** Returns the broken cases with an excused start. */
  const std::vector<std::string>& Excused() const { return mExcused; }
  size_t FailedJobs() const { return mFailedJobs; }

private:
  std::string Since(time_point aTime) const
  {
    return std::to_string((aTime - mBegin).count());
  }
  std::string TextOf(const run_trace& aTrace) const;
  bool IsExcused(const run_trace& aTrace) const;
  void Report(const std::string& aRule,
              const std::string& aJob,
              uint32_t aStep,
              bool aIsExcused = false);
  /** An end counts as noted unless the lease lapsed before it was. */
  bool IsNoted(const run_trace& aTrace) const;
  /** Returns, by run, when the first end as failed came; of all members of a gang. */
  std::map<uint32_t, time_point> FailedRuns(const task_ref& aTask,
                                            bool aIsGang,
                                            bool aOnlyNoted) const;
  /** Returns the jobs that aren't done, nor run, though half of the room is free. */
  std::set<std::string> IdleJobs() const;
  bool IsSpent(const accepted_job& aJob) const;
  void JudgePair(const run_trace& aEarlier, const run_trace& aLater);
  void JudgeAttempts(const run_trace& aStart);

  fake_installation& mSite;
  time_point mBegin;
  std::vector<std::string> mBroken;
  std::vector<std::string> mExcused;
  size_t mFailedJobs = 0;
};

} // namespace anvildoor
