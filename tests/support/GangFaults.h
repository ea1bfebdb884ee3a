#pragma once

#include "support/FakeSite.h"

#include <functional>
#include <string>
#include <vector>

namespace anvildoor {

/** One fault with its end, in terms of a fake site whose gang is about to start. */
struct gang_fault
{
  const char* mName;
  std::function<void(fake_site&)> mBegin;
  std::function<void(fake_site&)> mEnd;
};

/** Returns the faults that a gang may meet. */
const std::vector<gang_fault>& GangFaults();

} // namespace anvildoor
