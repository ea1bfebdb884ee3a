#pragma once

#include "base/EventLoop.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace anvildoor {

/**
 * Gang attempts that have lost a member and whose leases must not be renewed.
 * Heartbeats replicate the set to all VMs, so every member of the gang stops even if
 * there is no scheduler. Thread-safe.
 */
class broken_attempts
{
public:
  /** aLoop must outlive this object. */
  explicit broken_attempts(event_loop& aLoop);

  /** Adds an attempt. Returns true if it was not in the set. */
  bool Add(const std::string& aAttempt);

  /** Adds the attempts received from a peer. */
  void Merge(const std::vector<std::string>& aAttempts);

  /** Returns the attempts that have not expired, in lexicographic order. */
  std::vector<std::string> List() const;

private:
  event_loop& mLoop;
  mutable std::mutex mMutex;
  std::map<std::string, time_point> mExpiry;
};

} // namespace anvildoor
