#include "base/EventLoop.h"

#include <memory>

namespace anvildoor {

namespace {

void RunAndRearm(event_loop& aLoop, duration aPeriod, std::shared_ptr<task> aTask)
{
  (*aTask)();
  aLoop.RunAfter(aPeriod,
                 [&aLoop, aPeriod, aTask] { RunAndRearm(aLoop, aPeriod, aTask); });
}

} // namespace

void RunEvery(event_loop& aLoop, duration aPeriod, task aTask)
{
  auto shared = std::make_shared<task>(std::move(aTask));
  aLoop.RunAfter(aPeriod,
                 [&aLoop, aPeriod, shared] { RunAndRearm(aLoop, aPeriod, shared); });
}

} // namespace anvildoor
