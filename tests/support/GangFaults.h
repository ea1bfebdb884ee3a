#pragma once

#include "support/FakeSite.h"

#include <functional>
#include <string>
#include <vector>

namespace anvildoor {

/** A fault of a fake site, with the functions that inject and remove it. */
struct gang_fault
{
  const char* mName;
  std::function<void(fake_site&)> mInject;
  std::function<void(fake_site&)> mRemove;
};

/** Returns the faults that the gang tests inject. */
const std::vector<gang_fault>& GangFaults();

} // namespace anvildoor
