#pragma once

#include "base/EventLoop.h"
#include "jobs/JobState.h"

#include <functional>
#include <map>
#include <string>

namespace anvildoor {

class memory_transaction_store;

/**
 * Couples the members of gangs that run on several workers of a stand-in: they begin to
 * work when all members of a run are present, and end together. Not thread-safe.
 */
class gang_registry
{
public:
  /** One member, as a run of its worker. */
  struct member
  {
    std::function<void()> mBeginWork; ///< Called once all members are present.
    std::function<void(run_end)> mEnd;

    member() = default;
    member(std::function<void()> aBeginWork, std::function<void(run_end)> aEnd)
      : mBeginWork(std::move(aBeginWork))
      , mEnd(std::move(aEnd))
    {
    }
  };

  /** aLoop must outlive the registry, and the registry its pending timers. */
  explicit gang_registry(event_loop& aLoop)
    : mLoop(aLoop)
  {
  }

  /**
   * Adds a member of a gang of aSize tasks. It ends as kGangIncomplete if the others
   * don't come within 3 s. aSize must be the same for all members.
   */
  void Join(const task_ref& aTask, uint32_t aRun, uint32_t aSize, member aMember);

  /**
   * Removes a member that has ended. The others end, too: at once as done if it did,
   * as kGangBroken a little later otherwise.
   */
  void Leave(const task_ref& aTask, uint32_t aRun, run_end aEnd);

private:
  /** A run of a gang: its first task and the run's number. */
  using gang_run = std::pair<task_ref, uint32_t>;

  struct gang
  {
    uint64_t mNumber = 0; ///< Tells it from an earlier gang of the same run.
    bool mIsWorking = false;
    std::map<task_ref, member> mMembers;
  };

  static gang_run KeyOf(const task_ref& aTask, uint32_t aRun);
  /** Ends a member unless it has left. */
  void EndMember(const gang_run& aKey,
                 uint64_t aNumber,
                 const task_ref& aTask,
                 run_end aEnd);

  event_loop& mLoop;
  uint64_t mLastNumber = 0;
  std::map<gang_run, gang> mGangs;
};

/**
 * Returns the number of tasks of the gang that aTask belongs to, as its job is stored
 * in aStore; 0 if it belongs to none. Not thread-safe.
 */
uint32_t GangSizeOf(const memory_transaction_store& aStore, const task_ref& aTask);

} // namespace anvildoor
