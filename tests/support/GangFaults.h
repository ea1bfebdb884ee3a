#pragma once

#include "support/FakeSite.h"

#include <functional>
#include <string>
#include <vector>

namespace anvildoor {

/** A fault to inject into a fake site, and its removal. */
struct gang_fault
{
  const char* mName;
  std::function<void(fake_site&)> mInject;
  std::function<void(fake_site&)> mIsRemoval;
};

/** Returns the faults that the gang tests inject. */
const std::vector<gang_fault>& GangFaults();

} // namespace anvildoor
