#include "support/GangFaults.h"

namespace anvildoor {

namespace {

const std::string kWorker = "alpha-r1-w1";

void SetDown(fake_site& aSite, bool aDown)
{
  auto faults = aSite.Store().Faults();
  faults.mDown = aDown;
  aSite.Store().SetFaults(faults);
}

void StartMissing(fake_site& aSite)
{
  aSite.StartAll();
}

/** Partitions the current scheduler VM from aFrom and stores its name in aWhich. */
std::function<void(fake_site&)> CutScheduler(const std::string& aFrom,
                                             std::string& aWhich)
{
  return [aFrom, &aWhich](fake_site& aSite) {
    aWhich = aSite.SchedulerVm();
    aSite.Cut(aWhich, aFrom);
  };
}

} // namespace

const std::vector<gang_fault>& GangFaults()
{
  static std::string sFrozen;
  static std::string sCutFromStore;
  static std::string sCutFromWorker;
  static const std::vector<gang_fault> sFaults{
    { "scheduler killed",
      [](fake_site& aSite) { aSite.KillVm(aSite.SchedulerVm()); },
      StartMissing },
    { "scheduler frozen past its lease",
      [](fake_site& aSite) {
        sFrozen = aSite.SchedulerVm();
        if (!sFrozen.empty()) {
          aSite.FreezeVm(sFrozen);
        }
      },
      [](fake_site& aSite) {
        if (!sFrozen.empty() && aSite.IsRunning(sFrozen)) {
          aSite.ThawVm(sFrozen);
        }
      } },
    { "scheduler partitioned from the store",
      CutScheduler("store", sCutFromStore),
      [](fake_site& aSite) { aSite.Mend(sCutFromStore, "store"); } },
    { "scheduler partitioned from a worker",
      CutScheduler(kWorker, sCutFromWorker),
      [](fake_site& aSite) { aSite.Mend(sCutFromWorker, kWorker); } },
    { "worker lost",
      [](fake_site& aSite) { aSite.KillWorker(kWorker); },
      [](fake_site& aSite) { aSite.ReturnWorker(kWorker); } },
    { "worker restarted",
      [](fake_site& aSite) { aSite.Worker(kWorker).Restart(); },
      [](fake_site&) {} },
    { "worker refuses prepare calls",
      [](fake_site& aSite) {
        aSite.Worker(kWorker).SetFaults({ false, true, {} });
      },
      [](fake_site& aSite) { aSite.Worker(kWorker).SetFaults({}); } },
    { "store down",
      [](fake_site& aSite) { SetDown(aSite, true); },
      [](fake_site& aSite) { SetDown(aSite, false); } },
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
      StartMissing },
  };
  return sFaults;
}

} // namespace anvildoor
