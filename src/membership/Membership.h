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

/** How this process presents itself. */
struct vm_identity
{
  std::string mVm;
  uint64_t mIncarnation = 0;
  std::string mDataCentre;
  std::string mAddress; ///< Where other entry VMs reach it.

  auto operator<=>(const vm_identity&) const = default;
};

/** The scheduler that this process follows. */
struct scheduler_location
{
  uint64_t mEpoch = 0;
  std::string mVm;
  std::string mAddress;

  auto operator<=>(const scheduler_location&) const = default;
};

/**
 * The entry VMs of one data centre: the platform's lagging list joined with direct
 * heartbeats. Thread-safe.
 */
class membership
{
public:
  /** Fills the parts of a heartbeat that other controllers know. */
  using state_filler = std::function<void(peer_state&)>;
  using state_listener = std::function<void(const peer_state&)>;
  using change_listener = std::function<void()>;

  /** The references must outlive the membership. */
  membership(event_loop& aLoop,
             peer_port& aPort,
             vm_directory& aDirectory,
             event_log& aLog,
             vm_identity aIdentity);

  /** Call these before Start. */
  void SetFiller(state_filler aFiller);
  void AddStateListener(state_listener aListener);
  void AddChangeListener(change_listener aListener);

  /** Begins to send heartbeats each second. */
  void Start();

  /** Sends heartbeats at once, because something in the state has changed. */
  void Announce();

  /** Takes in a peer's heartbeat and returns the own state. */
  peer_state OnHeartbeat(const peer_state& aState);

  /** Tells the peers that this process is leaving. */
  void SetLeaving();

  bool IsLeaving() const;
  const vm_identity& Identity() const { return mIdentity; }

  /** Returns the ids of live VMs that are not leaving, this one included, in order. */
  std::vector<std::string> LiveVms() const;

  /** Returns the states of the live peers, this process not included. */
  std::vector<peer_state> LivePeers() const;

  /** Returns the scheduler with the highest epoch that a live VM claims to be. */
  std::optional<scheduler_location> Scheduler() const;

  /** Returns the lowest configuration version among the live VMs, this one included. */
  uint64_t VersionInForce() const;

private:
  struct peer
  {
    peer_state mState;
    time_point mHeard{};
  };

  peer_state OwnState() const;
  void Beat(bool aToAll);
  bool IsTheirTurn(const peer& aPeer) const;
  void TakeIn(const peer_state& aState);
  bool IsLive(const peer& aPeer) const;
  void NoteChanges();

  event_loop& mLoop;
  peer_port& mPort;
  vm_directory& mDirectory;
  event_log& mLog;
  vm_identity mIdentity;
  state_filler mFiller;
  std::vector<state_listener> mStateListeners;
  std::vector<change_listener> mChangeListeners;
  mutable std::mutex mMutex;
  std::map<std::string, peer> mPeers;
  std::vector<std::string> mLastLive;
  bool mLeaving = false;
};

} // namespace anvildoor
