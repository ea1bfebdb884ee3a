#pragma once

#include <optional>
#include <string>

namespace anvildoor {

/** Keys and key prefixes in the store, shared by all their users. */
namespace store_keys {

/** Accepted jobs and cancellations, written by entry VMs, watched by the scheduler. */
inline const std::string kInbox = "anvildoor/in/";
inline const std::string kJobs = kInbox + "job/";
inline const std::string kCancels = kInbox + "cancel/";
/** Progress records of jobs; only the scheduler writes them. */
inline const std::string kProgress = "anvildoor/progress/";
/** The scheduler's leased key; the revision of its creation is the fencing token. */
inline const std::string kScheduler = "anvildoor/scheduler";
/**
 * Serialises the scheduler's transactions: each one rewrites this key on condition that
 * it still has the previous revision.
 */
inline const std::string kWriter = "anvildoor/writer";

/**
 * Whether the scheduler takes further jobs: absent or kIntakeOpen, or kIntakeClosed
 * while the accepted ones take all the memory that a VM has for them. Begins with
 * kScheduler, so that one list shows both.
 */
inline const std::string kIntake = kScheduler + "-intake";
inline const std::string kIntakeOpen = "open";
inline const std::string kIntakeClosed = "closed";

/**
 * The last term of which its scheduler has said that it can't do a part of its work;
 * see impaired_term. Begins with kScheduler, so that one list shows both.
 */
inline const std::string kImpairedTerm = kScheduler + "-impaired";

/** What is known of the workers' paces; see worker_paces. Only the scheduler writes it.
 */
inline const std::string kPaces = "anvildoor/paces";

/** Returns the part of aKey after aPrefix, or nothing if aKey has another prefix. */
inline std::optional<std::string> StripPrefix(const std::string& aKey,
                                              const std::string& aPrefix)
{
  if (aKey.compare(0, aPrefix.size(), aPrefix) != 0) {
    return std::nullopt;
  }
  return aKey.substr(aPrefix.size());
}

} // namespace store_keys

} // namespace anvildoor
