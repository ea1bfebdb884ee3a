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
 * Waits until a configuration version is in force in every data centre, for at most
 * 4 s. Thread-safe.
 */
class in_force_wait : public std::enable_shared_from_this<in_force_wait>
{
public:
  /** Receives "in_force", "not_yet" or "unreachable" for each data centre. */
  using done = std::function<void(const std::map<std::string, std::string>&)>;

  /** The references must outlive this object. */
  in_force_wait(event_loop& aLoop,
                peer_port& aPeers,
                membership& aMembership,
                const vm_directory& aDirectory,
                uint64_t aVersion,
                done aDone);

  /** Polls until the version is in force everywhere or the time is up. Call it once. */
  void Run();

private:
  void QueryUnconfirmed();
  void QueryDataCentre(const std::string& aDataCentre);
  void OnVersion(const std::string& aDataCentre, const result<uint64_t>& aAnswer);
  bool FinishIfDone();

  event_loop& mLoop;
  peer_port& mPeers;
  membership& mMembership;
  const vm_directory& mDirectory;
  uint64_t mVersion;
  done mDone;
  time_point mDeadline;
  std::mutex mMutex;
  std::map<std::string, std::string> mDataCentreStates;
  std::map<std::string, size_t> mQueryCounts;
  bool mIsFinished = false;
};

} // namespace anvildoor
