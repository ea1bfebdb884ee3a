#pragma once

#include "anvildoor/Error.h"
#include "jobs/JobSpec.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** A worker's entry in the directory of the installation. */
struct listed_worker
{
  std::string mId;      ///< May be reused by later incarnations; see mStartedAtMs.
  std::string mAddress; ///< "IP:port".
  std::string mPool;
  std::string mDataCentre;
  std::string mRack;
  std::set<std::string> mLabels;
  task_resources mCapacity;
  bool mDraining = false;
  int64_t mStartedAtMs = 0; ///< Unix time at which the incarnation started; 0: unknown.
  uint64_t mHeartbeat = 0;  ///< Increases each time the worker writes its entry.
  duration mMinTimeToShutdown{ 0 }; ///< While draining: minimum time until shutdown.

  auto operator<=>(const listed_worker&) const = default;
};

/**
 * Lists the registered workers. Not thread-safe: all calls come from one thread.
 */
class worker_directory
{
public:
  using done = std::function<void(const result<std::vector<listed_worker>>&)>;

  virtual ~worker_directory() = default;

  /** Reads the list; skips unreadable entries. kUnavailable if it cannot be read. */
  void List(done aDone) { OnList(std::move(aDone)); }

protected:
  virtual void OnList(done aDone) = 0;
};

} // namespace anvildoor
