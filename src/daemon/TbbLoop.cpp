#include "daemon/TbbLoop.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/task_arena.h>
#include <thread>

namespace anvildoor {

namespace {

using steady = std::chrono::steady_clock;

/** Limits delays so that the steady clock does not overflow. */
constexpr duration kMaxDelay = std::chrono::hours(24 * 365);

} // namespace

struct tbb_loop::state
{
  explicit state(int aThreads)
    : mParallelism(tbb::global_control::max_allowed_parallelism,
                   static_cast<size_t>(aThreads) + 1)
    , mArena(aThreads, 0)
    , mWallAtStart(std::chrono::duration_cast<duration>(
        std::chrono::system_clock::now().time_since_epoch()))
    , mSteadyAtStart(steady::now())
  {
  }

  void Enqueue(task aTask)
  {
    mArena.enqueue([this, item = std::move(aTask)] {
      if (BeginTask()) {
        item();
        EndTask();
      }
    });
  }

  bool BeginTask()
  {
    std::lock_guard lock(mMutex);
    if (mStopped) {
      return false;
    }
    ++mRunningTasks;
    return true;
  }

  void EndTask()
  {
    std::lock_guard lock(mMutex);
    if (--mRunningTasks == 0) {
      mChanged.notify_all();
    }
  }

  void RunTimers()
  {
    std::unique_lock lock(mMutex);
    while (!mStopped) {
      if (mTimers.empty()) {
        mChanged.wait(lock);
        continue;
      }
      const auto next = mTimers.begin()->first;
      if (steady::now() < next) {
        mChanged.wait_until(lock, next);
        continue;
      }
      auto node = mTimers.extract(mTimers.begin());
      lock.unlock();
      Enqueue(std::move(node.mapped()));
      lock.lock();
    }
  }

  tbb::global_control mParallelism;
  tbb::task_arena mArena;
  duration mWallAtStart;
  steady::time_point mSteadyAtStart;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::multimap<steady::time_point, task> mTimers;
  int mRunningTasks = 0;
  bool mStopped = false;
  std::thread mTimerThread;
};

tbb_loop::tbb_loop(int aThreads)
  : mState(std::make_unique<state>(aThreads))
{
  mState->mTimerThread = std::thread([shared = mState.get()] { shared->RunTimers(); });
}

tbb_loop::~tbb_loop()
{
  Stop();
}

void tbb_loop::Stop()
{
  {
    std::unique_lock lock(mState->mMutex);
    mState->mStopped = true;
    mState->mTimers.clear();
    mState->mChanged.notify_all();
    mState->mChanged.wait(lock, [this] { return mState->mRunningTasks == 0; });
  }
  if (mState->mTimerThread.joinable()) {
    mState->mTimerThread.join();
  }
}

time_point tbb_loop::OnNow() const
{
  return mState->mWallAtStart +
         std::chrono::duration_cast<duration>(steady::now() - mState->mSteadyAtStart);
}

void tbb_loop::OnRunAfter(duration aDelay, task aTask)
{
  if (aDelay.count() <= 0) {
    mState->Enqueue(std::move(aTask));
    return;
  }
  const auto due = steady::now() + std::min(aDelay, kMaxDelay);
  std::lock_guard lock(mState->mMutex);
  if (mState->mStopped) {
    return;
  }
  const auto item = mState->mTimers.emplace(due, std::move(aTask));
  if (item == mState->mTimers.begin()) {
    mState->mChanged.notify_all();
  }
}

} // namespace anvildoor
