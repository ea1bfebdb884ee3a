#pragma once

#include "base/EventLog.h"
#include "membership/PeerPort.h"
#include "membership/VmDirectory.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/** The identity under which this process is known to its peers. */
struct vm_identity
{
  std::string mVm;
  uint64_t mIncarnation = 0;
  std::string mDataCentre;
  std::string mAddress; ///< Address for calls from other entry VMs.

  auto operator<=>(const vm_identity&) const = default;
};

/** The current scheduler of the data centre, as seen by this process. */
struct scheduler_location
{
  uint64_t mEpoch = 0;
  std::string mVm;
  std::string mAddress;

  auto operator<=>(const scheduler_location&) const = default;
};

/**
 * Tracks the live entry VMs of one data centre. Combines the platform's VM list, which
 * is updated with a delay, with direct heartbeats between the VMs. Thread-safe.
 */
class membership
{
public:
  /** Fills in the fields of a heartbeat that other controllers own. */
  using state_filler = std::function<void(peer_state&)>;
  using state_listener = std::function<void(const peer_state&)>;
  using change_listener = std::function<void()>;

  /** The references must outlive this object. */
  membership(event_loop& aLoop,
             peer_port& aPort,
             vm_directory& aDirectory,
             event_log& aLog,
             vm_identity aIdentity);

  /** Sets the function that completes each heartbeat. Must be called before Start. */
  void SetStateFiller(state_filler aFiller);

  /** Adds a listener for the states that peers send. Must be called before Start. */
  void AddStateListener(state_listener aListener);

  /** Adds a listener for changes of LiveVms. Must be called before Start. */
  void AddChangeListener(change_listener aListener);

  /** Starts to send heartbeats every second. */
  void Start();

  /** Sends a heartbeat to all peers at once. Call after a change of this VM's state. */
  void Announce();

  /** Records the state from a peer's heartbeat and returns this VM's state. */
  peer_state OnHeartbeat(const peer_state& aState);

  /** Marks this VM as leaving and announces it to the peers. */
  void SetLeaving();

  bool IsLeaving() const;
  const vm_identity& Identity() const { return mIdentity; }

  /** Returns the sorted ids of live VMs that are not leaving, including this one. */
  std::vector<std::string> LiveVms() const;

  /** Returns the states of the live peers, excluding this VM. */
  std::vector<peer_state> LivePeers() const;

  /** Returns the live VM that reports itself as scheduler with the highest epoch. */
  std::optional<scheduler_location> Scheduler() const;

  /** Returns the lowest configuration version of all live VMs, including this one. */
  uint64_t VersionInForce() const;

private:
  struct peer
  {
    peer_state mState;
    time_point mLastHeartbeat{};
  };

  peer_state OwnState() const;
  void SendHeartbeats(bool aToAll);
  bool PeerInitiatesHeartbeat(const peer& aPeer) const;
  void RecordPeerState(const peer_state& aState);
  bool IsLive(const peer& aPeer) const;
  void UpdateLiveVms();

  event_loop& mLoop;
  peer_port& mPort;
  vm_directory& mDirectory;
  event_log& mLog;
  vm_identity mIdentity;
  state_filler mStateFiller;
  std::vector<state_listener> mStateListeners;
  std::vector<change_listener> mChangeListeners;
  mutable std::mutex mMutex;
  std::map<std::string, peer> mPeers;
  std::vector<std::string> mPreviousLiveVms;
  bool mLeaving = false;
};

} // namespace anvildoor
