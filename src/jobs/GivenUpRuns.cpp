#include "jobs/GivenUpRuns.h"

#include <algorithm>

namespace anvildoor {

void given_up_runs::AddRange(const run_range& aRuns)
{
  const bool isAscending = mRanges.empty() || aRuns.first >= mRanges.back().second;
  if (aRuns.first > aRuns.second || !isAscending) {
    return;
  }
  // The sum of a stored run and 1 may wrap around, the difference doesn't.
  if (!mRanges.empty() && aRuns.first - mRanges.back().second <= 1) {
    mRanges.back().second = aRuns.second;
    return;
  }
  mRanges.push_back(aRuns);
  DropOldest();
}

bool given_up_runs::Remove(uint32_t aRun)
{
  const auto found =
    std::find_if(mRanges.begin(), mRanges.end(), [aRun](const run_range& aRange) {
      return aRange.first <= aRun && aRun <= aRange.second;
    });
  if (found == mRanges.end()) {
    return false;
  }
  const auto [first, last] = *found;
  if (first == last) {
    mRanges.erase(found);
  } else if (aRun == first) {
    ++found->first;
  } else if (aRun == last) {
    --found->second;
  } else {
    found->second = aRun - 1;
    mRanges.insert(found + 1, { aRun + 1, last });
    DropOldest();
  }
  return true;
}

void given_up_runs::DropOldest()
{
  if (mRanges.size() > kMaxRanges) {
    mRanges.erase(mRanges.begin());
  }
}

} // namespace anvildoor
