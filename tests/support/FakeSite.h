#pragma once

#include "base/EventLog.h"
#include "base/ScopedLoop.h"
#include "base/VirtualLoop.h"
#include "daemon/Node.h"
#include "gang/SimulatedWorker.h"
#include "store/MemoryStore.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvildoor {

/** Records event lines with their times, for assertions and golden files. */
class recorded_log : public event_log
{
public:
  explicit recorded_log(event_loop& aLoop);

  const std::vector<std::string>& Lines() const { return mLines; }
  bool Has(const std::string& aText) const;

protected:
  void OnWrite(const std::string& aLine) override;

private:
  event_loop& mLoop;
  time_point mStart;
  std::vector<std::string> mLines;
};

/** The size of a fake site. */
struct fake_settings
{
  std::vector<std::string> mDataCentres{ "alpha" };
  int mEntryVms = 3; ///< Per data centre.
  int mRacks = 2;    ///< Per data centre.
  int mWorkersPerRack = 4;
  resources mWorker{ 8, 32, 65'536 }; ///< Capacity of each worker.
  int mUpstreams = 2;                 ///< Per data centre.
  int64_t mSlots = 8;                 ///< Per upstream.
};

/** A request that a fake upstream executed. */
struct fake_run
{
  time_point mAt{};
  std::string mUpstream;
  std::string mRequestId;
  std::string mPayload;
};

/** The configuration and state of a fake upstream. */
struct fake_upstream
{
  vm_record mRecord;
  duration mWorkTime{ 20 };
  uint32_t mStatus = 200;
  bool mRefusesConnections = false;
  bool mLeaving = false; ///< Reports leaving in its replies.
  bool mRunsWhileLeaving = false;
  uint32_t mLoseAnswers = 0; ///< Number of next replies to drop.
  int64_t mActive = 0;
};

/**
 * Runs complete nodes against fake ports on one virtual loop. Entry VMs can be killed,
 * frozen, replaced and disconnected. Workers, upstreams and the store can be made to
 * fail.
 */
class fake_site
{
public:
  explicit fake_site(const fake_settings& aSettings = {});
  ~fake_site();

  virtual_loop& Loop() { return mLoop; }
  memory_store& Store() { return mStore; }
  recorded_log& Log() { return mLog; }

  /** Starts every entry VM that is not running. */
  void StartAll();
  void StartVm(const std::string& aVm);
  void KillVm(const std::string& aVm);
  void FreezeVm(const std::string& aVm);
  void ThawVm(const std::string& aVm);
  std::vector<std::string> RunningVms(const std::string& aDataCentre = "") const;
  node& Node(const std::string& aVm);
  bool IsRunning(const std::string& aVm) const;

  /** Disconnects two of: VMs, workers, upstreams, "store" and "vms" (the VM list). */
  void Disconnect(const std::string& aLeft, const std::string& aRight);
  void Reconnect(const std::string& aLeft, const std::string& aRight);
  bool IsDisconnected(const std::string& aLeft, const std::string& aRight) const;

  simulated_worker& Worker(const std::string& aId);
  std::vector<std::string> WorkerIds() const;
  void KillWorker(const std::string& aId);
  void RestoreWorker(const std::string& aId);

  fake_upstream& Upstream(const std::string& aId);
  std::vector<std::string> UpstreamIds() const;
  void PublishUpstream(const std::string& aId, bool aLeaving);

  const std::vector<fake_run>& Runs() const { return mRuns; }
  const std::vector<worker_event>& TaskEvents() const { return mTaskEvents; }
  uint64_t MessageCount() const { return mMessages; }

  /** Returns the VM with the scheduler role; "" if there is none. */
  std::string SchedulerVm(const std::string& aDataCentre = "alpha");

  /**
   * Waits until a VM is the scheduler, and then 2.5 s for its workers to report.
   * Returns false if there is no scheduler within aLimit.
   */
  bool WaitForScheduler(const std::string& aDataCentre = "alpha",
                        duration aLimit = std::chrono::seconds(30));

  /** Sends a call to a VM and waits for the answer. */
  api_response Call(const std::string& aVm,
                    const api_call& aCall,
                    duration aLimit = std::chrono::seconds(60));

  /** Sends a call without waiting; the answer is written to the returned object. */
  std::shared_ptr<api_response> SendCall(const std::string& aVm, const api_call& aCall);

  /** Creates a workspace with token "token-NAME" and the given guarantees. */
  api_response PutWorkspace(const std::string& aVm,
                            const std::string& aName,
                            const std::string& aGuarantees = "[]");

  /** Shows whether a job's task events contain incomplete or duplicate gangs. */
  struct gang_check
  {
    duration mLongestPartial{ 0 }; ///< Longest time with an incomplete gang.
    int64_t mExcessTasks = 0;      ///< Most running tasks above the gang size.
  };
  gang_check CheckGangs(const std::string& aJob) const;

private:
  friend class fake_ports;
  struct vm_process;

  void AddDataCentre(const std::string& aName);
  void PostToVm(const std::string& aVm, task aTask);

  fake_settings mSettings;
  virtual_loop mLoop;
  memory_store mStore;
  recorded_log mLog;
  std::map<std::string, vm_record> mListedVms;
  std::map<std::string, uint64_t> mListedVersions;
  uint64_t mListVersion = 0;
  std::map<std::string, std::unique_ptr<vm_process>> mVms;
  /** Kept because pending tasks may refer to killed VMs. */
  std::vector<std::unique_ptr<vm_process>> mKilledVms;
  std::map<std::string, std::unique_ptr<simulated_worker>> mWorkers;
  std::set<std::string> mKilledWorkers;
  std::map<std::string, fake_upstream> mUpstreams;
  std::set<std::pair<std::string, std::string>> mDisconnected;
  std::vector<fake_run> mRuns;
  std::vector<worker_event> mTaskEvents;
  uint64_t mMessages = 0;
  uint64_t mIncarnations = 0;
};

/** Returns a call with the operator's token. */
api_call OperatorCall(const std::string& aMethod,
                      const std::string& aTarget,
                      const std::string& aBody = "");

/** Returns a call with a workspace's token. */
api_call WorkspaceCall(const std::string& aWorkspace,
                       const std::string& aMethod,
                       const std::string& aTarget,
                       const std::string& aBody = "",
                       const std::string& aKey = "");

/** Returns a string field of a JSON object; "" if it is missing or not a string. */
std::string JsonText(const std::string& aBody, const std::string& aField);
int64_t JsonNumber(const std::string& aBody, const std::string& aField);

} // namespace anvildoor
