#pragma once

#include "anvildoor/Error.h"
#include "jobs/JobSpec.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** One worker as the installation lists it. */
struct listed_worker
{
  std::string mId;      ///< Of one life or of several in turn; see mBornMs.
  std::string mAddress; ///< "IP:port".
  std::string mPool;
  std::string mDataCentre;
  std::string mRack;
  std::set<std::string> mLabels;
  task_resources mCapacity;
  bool mDraining = false;
  int64_t mBornMs = 0;      ///< Unix time of this life's start; 0: not said.
  uint64_t mBeat = 0;       ///< Rises each time that the worker writes its entry.
  duration mRemaining{ 0 }; ///< While draining: the least time that is left.

  auto operator<=>(const listed_worker&) const = default;
};

/** Lists the workers that have registered. One thread. */
class worker_directory
{
public:
  using done = std::function<void(const result<std::vector<listed_worker>>&)>;

  virtual ~worker_directory() = default;

  /** Reads the list; entries that cannot be read are left out. kUnavailable. */
  void List(done aDone) { OnList(std::move(aDone)); }

protected:
  virtual void OnList(done aDone) = 0;
};

} // namespace anvildoor
