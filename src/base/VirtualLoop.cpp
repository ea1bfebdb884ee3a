#include "base/VirtualLoop.h"

#include <algorithm>

namespace anvildoor {

void virtual_loop::OnRunAfter(duration aDelay, task aTask)
{
  const auto delay = std::max(aDelay, duration::zero());
  mTasks.emplace(task_key{ mNow + delay, mSequence++ }, std::move(aTask));
}

bool virtual_loop::RunNext(time_point aEnd)
{
  if (mTasks.empty() || mTasks.begin()->first.first > aEnd) {
    return false;
  }
  auto node = mTasks.extract(mTasks.begin());
  mNow = std::max(mNow, node.key().first);
  ++mExecutedTasks;
  node.mapped()();
  return true;
}

void virtual_loop::RunFor(duration aSpan)
{
  const auto end = mNow + aSpan;
  while (RunNext(end)) {
  }
  mNow = end;
}

bool virtual_loop::RunUntil(const std::function<bool()>& aDone, duration aLimit)
{
  const auto end = mNow + aLimit;
  while (!aDone()) {
    if (!RunNext(end)) {
      mNow = end;
      return aDone();
    }
  }
  return true;
}

} // namespace anvildoor
