#pragma once

#include "base/EventLoop.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace anvildoor {

/**
 * Attempts that have lost a member and whose leases no VM may renew. The set travels
 * with the heartbeats, so that a gang is stopped whole even without a scheduler.
 * Thread-safe.
 */
class broken_attempts
{
public:
  /** aLoop must outlive the set. */
  explicit broken_attempts(event_loop& aLoop);

  /** Adds an attempt; returns whether it is new here. */
  bool Add(const std::string& aAttempt);

  /** Adds what a peer has told. */
  void Merge(const std::vector<std::string>& aAttempts);

  /** Returns the attempts that are still to be told, in order. */
  std::vector<std::string> List() const;

private:
  event_loop& mLoop;
  mutable std::mutex mMutex;
  std::map<std::string, time_point> mUntil;
};

} // namespace anvildoor
