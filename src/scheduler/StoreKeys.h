#pragma once

#include <optional>
#include <string>

namespace anvildoor {

/** Where things lie in the store. One place, so that no two users of a key differ. */
namespace store_keys {

/** Accepted jobs and cancels: what entry VMs write and the scheduler watches. */
inline const std::string kInbox = "anvildoor/in/";
inline const std::string kJobs = kInbox + "job/";
inline const std::string kCancels = kInbox + "cancel/";
/** Progress of jobs; only the scheduler writes it. */
inline const std::string kProgress = "anvildoor/progress/";
/** The scheduler's leased key; the revision of its creation is the fence. */
inline const std::string kScheduler = "anvildoor/scheduler";
/** Orders the scheduler's writes: each one rewrites it under the former revision. */
inline const std::string kWriter = "anvildoor/writer";

/** Returns what follows aPrefix in aKey, or nothing if it does not begin so. */
inline std::optional<std::string> After(const std::string& aKey,
                                        const std::string& aPrefix)
{
  if (aKey.compare(0, aPrefix.size(), aPrefix) != 0) {
    return std::nullopt;
  }
  return aKey.substr(aPrefix.size());
}

} // namespace store_keys

} // namespace anvildoor
