#pragma once

#include "membership/Membership.h"
#include "membership/PeerPort.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace anvildoor {

/**
 * Waits until a configuration version is in force in every data centre that can be
 * reached, within the bound of 4 s. Thread-safe.
 */
class in_force_wait : public std::enable_shared_from_this<in_force_wait>
{
public:
  /** Gets per data centre "in_force", "not_yet" or "unreachable". */
  using done = std::function<void(const std::map<std::string, std::string>&)>;

  /** The references must outlive the wait. */
  in_force_wait(event_loop& aLoop,
                peer_port& aPeers,
                membership& aMembers,
                const vm_directory& aDirectory,
                uint64_t aVersion,
                done aDone);

  /** Asks until every data centre has answered or the bound has passed. Call it once.
   */
  void Run();

private:
  void AskAll();
  void Ask(const std::string& aDataCentre);
  void OnVersion(const std::string& aDataCentre, const result<uint64_t>& aAnswer);
  bool FinishIfDone();

  event_loop& mLoop;
  peer_port& mPeers;
  membership& mMembers;
  const vm_directory& mDirectory;
  uint64_t mVersion;
  done mDone;
  time_point mDeadline;
  std::mutex mMutex;
  std::map<std::string, std::string> mState;
  std::map<std::string, size_t> mAsked;
  bool mFinished = false;
};

} // namespace anvildoor
