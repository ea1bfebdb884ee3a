#pragma once

#include <compare>
#include <cstdint>

namespace anvildoor {

/** An amount of each resource type. */
struct resources
{
  int64_t mAccelerators = 0;
  int64_t mCores = 0;
  int64_t mMemoryMb = 0;

  auto operator<=>(const resources&) const = default;
};

inline resources operator+(const resources& aLeft, const resources& aRight)
{
  return { aLeft.mAccelerators + aRight.mAccelerators,
           aLeft.mCores + aRight.mCores,
           aLeft.mMemoryMb + aRight.mMemoryMb };
}

inline resources operator-(const resources& aLeft, const resources& aRight)
{
  return { aLeft.mAccelerators - aRight.mAccelerators,
           aLeft.mCores - aRight.mCores,
           aLeft.mMemoryMb - aRight.mMemoryMb };
}

inline resources operator*(const resources& aEach, int64_t aCount)
{
  return { aEach.mAccelerators * aCount,
           aEach.mCores * aCount,
           aEach.mMemoryMb * aCount };
}

/** Returns whether every amount of aNeed is within aHave. */
inline bool FitsIn(const resources& aNeed, const resources& aHave)
{
  return aNeed.mAccelerators <= aHave.mAccelerators && aNeed.mCores <= aHave.mCores &&
         aNeed.mMemoryMb <= aHave.mMemoryMb;
}

/** Returns how many times aEach fits into aHave, at most aLimit. */
inline int64_t CountFitting(const resources& aEach,
                            const resources& aHave,
                            int64_t aLimit)
{
  int64_t count = aLimit;
  const auto bound = [&count](int64_t aNeed, int64_t aAmount) {
    if (aNeed > 0) {
      const int64_t fitting = aAmount < 0 ? 0 : aAmount / aNeed;
      count = fitting < count ? fitting : count;
    }
  };
  bound(aEach.mAccelerators, aHave.mAccelerators);
  bound(aEach.mCores, aHave.mCores);
  bound(aEach.mMemoryMb, aHave.mMemoryMb);
  return count;
}

/** Whether the tasks of a gang must share a rack. */
enum class adjacency
{
  kAny,
  kRack,
};

/** The size of a gang or guarantee: a number of equal tasks and their adjacency. */
struct gang_shape
{
  int64_t mTasks = 1;
  resources mPerTask;
  adjacency mAdjacency = adjacency::kAny;

  auto operator<=>(const gang_shape&) const = default;

  /** Returns the total number of accelerators. */
  int64_t Accelerators() const { return mTasks * mPerTask.mAccelerators; }
};

} // namespace anvildoor
