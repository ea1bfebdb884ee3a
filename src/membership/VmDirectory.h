#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"
#include "planner/Resources.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

enum class vm_kind
{
  kEntry,
  kUpstream,
  kWorker,
};

/** One VM in the platform's VM list, which is updated with a delay. */
struct vm_record
{
  std::string mId;
  vm_kind mKind = vm_kind::kEntry;
  std::string mDataCentre;
  std::string mAddress;     ///< IP address and port.
  std::string mRack;        ///< Workers only.
  resources mCapacity;      ///< Workers only.
  int64_t mSlots = 0;       ///< Upstreams only.
  int64_t mConnections = 0; ///< Upstreams only.
  bool mLeaving = false;

  auto operator<=>(const vm_record&) const = default;
};

/** The changes to the VM list since a given version. */
struct vm_list_delta
{
  uint64_t mVersion = 0;
  std::vector<vm_record> mChanged;
  std::vector<std::string> mRemoved;

  auto operator<=>(const vm_list_delta&) const = default;
};

/** Reads the platform's VM list. Callbacks run on the event loop. Thread-safe. */
class vm_list_port
{
public:
  using done = std::function<void(result<vm_list_delta>)>;

  virtual ~vm_list_port() = default;

  /**
   * Reads the changes after version aSince among the entry VMs of all data centres and
   * the other VMs of aDataCentre.
   */
  void List(const std::string& aDataCentre, uint64_t aSince, done aDone)
  {
    OnList(aDataCentre, aSince, std::move(aDone));
  }

protected:
  virtual void OnList(const std::string& aDataCentre, uint64_t aSince, done aDone) = 0;
};

/** Polls the platform's VM list and keeps a copy. Thread-safe. */
class vm_directory
{
public:
  using listener = std::function<void()>;

  /** The references must outlive the directory. */
  vm_directory(event_loop& aLoop, vm_list_port& aPort, std::string aDataCentre);

  /** Adds a listener for changes of the list. Must be called before Start. */
  void AddListener(listener aListener);

  /** Polls immediately and then every aPeriod. */
  void Start(duration aPeriod);

  /** Returns the VMs of one kind in a data centre, sorted by id. */
  std::vector<vm_record> List(vm_kind aKind, const std::string& aDataCentre) const;

  /** Returns the VM with the given id, if it is listed. */
  std::optional<vm_record> Find(const std::string& aId) const;

  /** Returns the sorted names of the data centres that have entry VMs. */
  std::vector<std::string> DataCentres() const;

private:
  void Poll();

  event_loop& mLoop;
  vm_list_port& mPort;
  std::string mDataCentre;
  std::vector<listener> mListeners;
  mutable std::mutex mMutex;
  std::map<std::string, vm_record> mRecords;
  uint64_t mVersion = 0;
  bool mPolling = false;
};

} // namespace anvildoor
