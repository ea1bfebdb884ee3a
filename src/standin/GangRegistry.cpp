#include "standin/GangRegistry.h"

#include "scheduler/StoreKeys.h"
#include "standin/MemoryTransactionStore.h"

#include <utility>
#include <vector>

namespace anvildoor {

namespace {

/** How long a member waits for the others: gang_timeout_ms of the platform. */
constexpr duration kGangTimeout{ 3'000 };
/** Time until the other members notice that one has ended. */
constexpr duration kEndNoticeDelay{ 200 };

} // namespace

gang_registry::gang_run gang_registry::KeyOf(const task_ref& aTask, uint32_t aRun)
{
  auto first = aTask;
  first.mIndex = 0;
  return { first, aRun };
}

void gang_registry::Join(const task_ref& aTask,
                         uint32_t aRun,
                         uint32_t aSize,
                         member aMember)
{
  const auto key = KeyOf(aTask, aRun);
  auto& joined = mGangs[key];
  if (joined.mNumber == 0) {
    joined.mNumber = ++mLastNumber;
  }
  joined.mMembers[aTask] = std::move(aMember);
  if (joined.mMembers.size() < aSize) {
    const auto number = joined.mNumber;
    mLoop.RunAfter(kGangTimeout, [this, key, number, aTask] {
      const auto found = mGangs.find(key);
      if (found != mGangs.end() && !found->second.mIsWorking) {
        EndMember(key, number, aTask, run_end::kGangIncomplete);
      }
    });
    return;
  }
  joined.mIsWorking = true;
  for (const auto& [task, each] : joined.mMembers) {
    each.mBeginWork();
  }
}

void gang_registry::Leave(const task_ref& aTask, uint32_t aRun, run_end aEnd)
{
  const auto key = KeyOf(aTask, aRun);
  const auto found = mGangs.find(key);
  if (found == mGangs.end() || found->second.mMembers.erase(aTask) == 0) {
    return;
  }
  if (found->second.mMembers.empty()) {
    mGangs.erase(found);
    return;
  }
  const auto number = found->second.mNumber;
  std::vector<task_ref> others;
  for (const auto& [task, each] : found->second.mMembers) {
    others.push_back(task);
  }
  if (aEnd == run_end::kDone) {
    for (const auto& other : others) {
      EndMember(key, number, other, run_end::kDone);
    }
    return;
  }
  mLoop.RunAfter(kEndNoticeDelay, [this, key, number, others] {
    for (const auto& other : others) {
      EndMember(key, number, other, run_end::kGangBroken);
    }
  });
}

void gang_registry::EndMember(const gang_run& aKey,
                              uint64_t aNumber,
                              const task_ref& aTask,
                              run_end aEnd)
{
  const auto found = mGangs.find(aKey);
  if (found == mGangs.end() || found->second.mNumber != aNumber) {
    return;
  }
  const auto ended = found->second.mMembers.find(aTask);
  if (ended != found->second.mMembers.end()) {
    // A copy, as the member leaves meanwhile.
    const auto end = ended->second.mEnd;
    end(aEnd);
  }
}

uint32_t GangSizeOf(const memory_transaction_store& aStore, const task_ref& aTask)
{
  const auto item = aStore.Peek(store_keys::kJobs + aTask.mJob);
  if (!item) {
    return 0;
  }
  const auto job = DecodeJob(aTask.mJob, item->mValue);
  if (!job || aTask.mStep >= job->mSpec.mSteps.size()) {
    return 0;
  }
  const auto& step = job->mSpec.mSteps[aTask.mStep];
  return step.mGang ? step.mCount : 0;
}

} // namespace anvildoor
