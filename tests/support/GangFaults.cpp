#include "support/GangFaults.h"

namespace anvildoor {

namespace {

const std::string kFaultyWorker = "alpha-r1-w1";

void SetStoreDown(fake_site& aSite, bool aDown)
{
  auto faults = aSite.Store().Faults();
  faults.mDown = aDown;
  aSite.Store().SetFaults(faults);
}

void StartStoppedVms(fake_site& aSite)
{
  aSite.StartAll();
}

/** Partitions the current scheduler VM from aFrom and stores its name in aVm. */
std::function<void(fake_site&)> PartitionScheduler(const std::string& aFrom,
                                                   std::string& aVm)
{
  return [aFrom, &aVm](fake_site& aSite) {
    aVm = aSite.SchedulerVm();
    aSite.Disconnect(aVm, aFrom);
  };
}

} // namespace

const std::vector<gang_fault>& GangFaults()
{
  static std::string sFrozenVm;
  static std::string sVmPartitionedFromStore;
  static std::string sVmPartitionedFromWorker;
  static const std::vector<gang_fault> sFaults{
    { "scheduler killed",
      [](fake_site& aSite) { aSite.KillVm(aSite.SchedulerVm()); },
      StartStoppedVms },
    { "scheduler frozen past its lease",
      [](fake_site& aSite) {
        sFrozenVm = aSite.SchedulerVm();
        if (!sFrozenVm.empty()) {
          aSite.FreezeVm(sFrozenVm);
        }
      },
      [](fake_site& aSite) {
        if (!sFrozenVm.empty() && aSite.IsRunning(sFrozenVm)) {
          aSite.ThawVm(sFrozenVm);
        }
      } },
    { "scheduler partitioned from the store",
      PartitionScheduler("store", sVmPartitionedFromStore),
      [](fake_site& aSite) { aSite.Reconnect(sVmPartitionedFromStore, "store"); } },
    { "scheduler partitioned from a worker",
      PartitionScheduler(kFaultyWorker, sVmPartitionedFromWorker),
      [](fake_site& aSite) {
        aSite.Reconnect(sVmPartitionedFromWorker, kFaultyWorker);
      } },
    { "worker lost",
      [](fake_site& aSite) { aSite.KillWorker(kFaultyWorker); },
      [](fake_site& aSite) { aSite.RestoreWorker(kFaultyWorker); } },
    { "worker restarted",
      [](fake_site& aSite) { aSite.Worker(kFaultyWorker).Restart(); },
      [](fake_site&) {} },
    { "worker refuses prepare calls",
      [](fake_site& aSite) {
        aSite.Worker(kFaultyWorker).SetFaults({ false, true, {} });
      },
      [](fake_site& aSite) { aSite.Worker(kFaultyWorker).SetFaults({}); } },
    { "store down",
      [](fake_site& aSite) { SetStoreDown(aSite, true); },
      [](fake_site& aSite) { SetStoreDown(aSite, false); } },
    { "store replies lost after the call takes effect",
      [](fake_site& aSite) {
        auto faults = aSite.Store().Faults();
        faults.mLoseAnswers = 4;
        aSite.Store().SetFaults(faults);
      },
      [](fake_site&) {} },
    { "store slow",
      [](fake_site& aSite) {
        auto faults = aSite.Store().Faults();
        faults.mLatency = duration(1'500);
        aSite.Store().SetFaults(faults);
      },
      [](fake_site& aSite) {
        auto faults = aSite.Store().Faults();
        faults.mLatency = duration(2);
        aSite.Store().SetFaults(faults);
      } },
    { "every VM killed",
      [](fake_site& aSite) {
        for (const auto& vm : aSite.RunningVms()) {
          aSite.KillVm(vm);
        }
      },
      StartStoppedVms },
  };
  return sFaults;
}

} // namespace anvildoor
