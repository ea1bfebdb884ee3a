#include "base/ScopedLoop.h"

#include <utility>

namespace anvildoor {

scoped_loop::scoped_loop(event_loop& aParent)
  : mParent(aParent)
  , mState(std::make_shared<state>())
{
}

scoped_loop::~scoped_loop()
{
  Stop();
}

void scoped_loop::Stop()
{
  std::lock_guard lock(mState->mMutex);
  mState->mStopped = true;
  mState->mDeferredTasks.clear();
}

void scoped_loop::Pause()
{
  std::lock_guard lock(mState->mMutex);
  mState->mPaused = true;
}

void scoped_loop::Resume()
{
  std::vector<task> deferred;
  {
    std::lock_guard lock(mState->mMutex);
    mState->mPaused = false;
    deferred.swap(mState->mDeferredTasks);
  }
  for (auto& item : deferred) {
    OnRunAfter(duration::zero(), std::move(item));
  }
}

void scoped_loop::RunOrDefer(const std::shared_ptr<state>& aState, const task& aTask)
{
  {
    std::lock_guard lock(aState->mMutex);
    if (aState->mStopped) {
      return;
    }
    if (aState->mPaused) {
      aState->mDeferredTasks.push_back(aTask);
      return;
    }
  }
  aTask();
}

void scoped_loop::OnRunAfter(duration aDelay, task aTask)
{
  mParent.RunAfter(
    aDelay, [shared = mState, item = std::move(aTask)] { RunOrDefer(shared, item); });
}

} // namespace anvildoor
