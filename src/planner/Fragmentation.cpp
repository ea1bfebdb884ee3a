#include "planner/Fragmentation.h"

#include "planner/Packing.h"

#include <algorithm>

namespace anvildoor {

namespace {

constexpr int64_t kUnbounded = INT64_MAX;

} // namespace

double FragmentationFor(const fleet_view& aFleet,
                        const worker_amounts& aUsed,
                        const gang_shape& aShape)
{
  const auto spare = [&](size_t aWorker) {
    const auto& worker = aFleet.At(aWorker);
    return worker.mUsable ? worker.mCapacity - aUsed.At(aWorker) : resources{};
  };
  int64_t free = 0;
  int64_t usable = 0;
  for (const auto& rack : aFleet.Racks()) {
    int64_t tasks = 0;
    for (const size_t worker : rack) {
      free += std::max<int64_t>(0, spare(worker).mAccelerators);
      const auto fitting = CountFitting(aShape.mPerTask, spare(worker), kUnbounded);
      tasks += aShape.mPerTask.mAccelerators > 0 ? fitting : 0;
    }
    usable += tasks / aShape.mTasks * aShape.Accelerators();
  }
  if (free == 0) {
    return 0.0;
  }
  return 1.0 - static_cast<double>(usable) / static_cast<double>(free);
}

} // namespace anvildoor
