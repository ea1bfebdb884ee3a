#include "support/FakeSite.h"

#include "base/Sha256.h"
#include "support/FakePorts.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

constexpr const char* kOperatorToken = "operator-token";

std::string AppendNumber(const std::string& aPrefix, int aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

} // namespace

recorded_log::recorded_log(event_loop& aLoop)
  : mLoop(aLoop)
  , mStart(aLoop.Now())
{
}

bool recorded_log::Has(const std::string& aText) const
{
  return std::any_of(mLines.begin(), mLines.end(), [&](const auto& aLine) {
    return aLine.find(aText) != std::string::npos;
  });
}

void recorded_log::OnWrite(const std::string& aLine)
{
  const auto at = (mLoop.Now() - mStart).count();
  mLines.push_back("t=" + std::to_string(at) + " " + aLine);
}

struct fake_site::vm_process
{
  vm_process(fake_site& aSite, const std::string& aVm, const node_settings& aSettings)
    : mLoop(aSite.mLoop)
    , mPorts(aSite, mLoop, aVm)
    , mNode({ mLoop, mPorts, mPorts, mPorts, mPorts, mPorts, aSite.mLog }, aSettings)
  {
  }

  scoped_loop mLoop;
  fake_ports mPorts;
  node mNode;
  bool mFrozen = false;
};

fake_site::fake_site(const fake_settings& aSettings)
  : mSettings(aSettings)
  , mLoop(std::chrono::hours(24))
  , mStore(mLoop)
  , mLog(mLoop)
{
  for (const auto& name : aSettings.mDataCentres) {
    AddDataCentre(name);
  }
}

fake_site::~fake_site()
{
  for (auto& [vm, slot] : mVms) {
    if (slot) {
      slot->mLoop.Stop();
    }
  }
}

void fake_site::AddDataCentre(const std::string& aName)
{
  const auto publish = [this](const vm_record& aRecord) {
    mListedVms[aRecord.mId] = aRecord;
    mListedVersions[aRecord.mId] = ++mListVersion;
  };
  for (int i = 1; i <= mSettings.mEntryVms; ++i) {
    vm_record vm;
    vm.mId = aName + AppendNumber("-e", i);
    vm.mDataCentre = aName;
    vm.mAddress = vm.mId + ":1";
    publish(vm);
    mVms[vm.mId] = nullptr;
  }
  for (int rack = 1; rack <= mSettings.mRacks; ++rack) {
    for (int i = 1; i <= mSettings.mWorkersPerRack; ++i) {
      vm_record worker;
      worker.mKind = vm_kind::kWorker;
      worker.mDataCentre = aName;
      worker.mRack = aName + AppendNumber("-r", rack);
      worker.mId = worker.mRack + AppendNumber("-w", i);
      worker.mCapacity = mSettings.mWorker;
      publish(worker);
      mWorkers[worker.mId] = std::make_unique<simulated_worker>(
        mLoop, worker.mId, worker.mCapacity, [this](const worker_event& aEvent) {
          mTaskEvents.push_back(aEvent);
        });
    }
  }
  for (int i = 1; i <= mSettings.mUpstreams; ++i) {
    vm_record upstream;
    upstream.mKind = vm_kind::kUpstream;
    upstream.mId = aName + AppendNumber("-u", i);
    upstream.mDataCentre = aName;
    upstream.mAddress = upstream.mId;
    upstream.mSlots = mSettings.mSlots;
    upstream.mConnections = 64;
    publish(upstream);
    mUpstreams[upstream.mId].mRecord = upstream;
  }
}

void fake_site::StartAll()
{
  for (const auto& [vm, slot] : mVms) {
    if (!slot) {
      StartVm(vm);
    }
  }
}

void fake_site::StartVm(const std::string& aVm)
{
  node_settings settings;
  settings.mIdentity = {
    aVm, ++mIncarnations, mListedVms[aVm].mDataCentre, aVm + ":1"
  };
  settings.mOperatorTokenHashes = { Sha256Hex(kOperatorToken) };
  settings.mSeed = mIncarnations;
  mVms[aVm] = std::make_unique<vm_process>(*this, aVm, settings);
  mVms[aVm]->mNode.Start();
}

void fake_site::KillVm(const std::string& aVm)
{
  if (mVms[aVm]) {
    mVms[aVm]->mLoop.Stop();
    mKilledVms.push_back(std::move(mVms[aVm]));
  }
}

void fake_site::FreezeVm(const std::string& aVm)
{
  mVms[aVm]->mFrozen = true;
  mVms[aVm]->mLoop.Pause();
}

void fake_site::ThawVm(const std::string& aVm)
{
  mVms[aVm]->mFrozen = false;
  mVms[aVm]->mLoop.Resume();
}

bool fake_site::IsRunning(const std::string& aVm) const
{
  const auto found = mVms.find(aVm);
  return found != mVms.end() && found->second;
}

std::vector<std::string> fake_site::RunningVms(const std::string& aDataCentre) const
{
  std::vector<std::string> running;
  for (const auto& [vm, slot] : mVms) {
    if (slot && vm.rfind(aDataCentre, 0) == 0) {
      running.push_back(vm);
    }
  }
  return running;
}

node& fake_site::Node(const std::string& aVm)
{
  return mVms.at(aVm)->mNode;
}

void fake_site::PostToVm(const std::string& aVm, task aTask)
{
  mVms.at(aVm)->mLoop.Post(std::move(aTask));
}

void fake_site::Disconnect(const std::string& aLeft, const std::string& aRight)
{
  mDisconnected.insert(std::minmax(aLeft, aRight));
}

void fake_site::Reconnect(const std::string& aLeft, const std::string& aRight)
{
  mDisconnected.erase(std::minmax(aLeft, aRight));
}

bool fake_site::IsDisconnected(const std::string& aLeft,
                               const std::string& aRight) const
{
  return mDisconnected.count(std::minmax(aLeft, aRight)) != 0;
}

simulated_worker& fake_site::Worker(const std::string& aId)
{
  return *mWorkers.at(aId);
}

std::vector<std::string> fake_site::WorkerIds() const
{
  std::vector<std::string> ids;
  for (const auto& [id, model] : mWorkers) {
    ids.push_back(id);
  }
  return ids;
}

void fake_site::KillWorker(const std::string& aId)
{
  mKilledWorkers.insert(aId);
  mWorkers.at(aId)->Restart();
}

void fake_site::RestoreWorker(const std::string& aId)
{
  mKilledWorkers.erase(aId);
}

fake_upstream& fake_site::Upstream(const std::string& aId)
{
  return mUpstreams.at(aId);
}

std::vector<std::string> fake_site::UpstreamIds() const
{
  std::vector<std::string> ids;
  for (const auto& [id, item] : mUpstreams) {
    ids.push_back(id);
  }
  return ids;
}

void fake_site::PublishUpstream(const std::string& aId, bool aLeaving)
{
  mListedVms[aId].mLeaving = aLeaving;
  mListedVersions[aId] = ++mListVersion;
}

std::string fake_site::SchedulerVm(const std::string& aDataCentre)
{
  for (auto& [vm, slot] : mVms) {
    if (slot && !slot->mFrozen && vm.rfind(aDataCentre, 0) == 0 &&
        slot->mNode.Scheduler().IsLeading()) {
      return vm;
    }
  }
  return "";
}

bool fake_site::WaitForScheduler(const std::string& aDataCentre, duration aLimit)
{
  const bool hasScheduler =
    mLoop.RunUntil([&] { return !SchedulerVm(aDataCentre).empty(); }, aLimit);
  mLoop.RunFor(duration(2'500));
  return hasScheduler;
}

std::shared_ptr<api_response> fake_site::SendCall(const std::string& aVm,
                                                  const api_call& aCall)
{
  auto slot = std::make_shared<api_response>();
  slot->mStatus = 0;
  PostToVm(aVm, [this, aVm, aCall, slot] {
    Node(aVm).Serve(aCall, [slot](const api_response& aAnswer) { *slot = aAnswer; });
  });
  return slot;
}

api_response fake_site::Call(const std::string& aVm,
                             const api_call& aCall,
                             duration aLimit)
{
  const auto slot = SendCall(aVm, aCall);
  mLoop.RunUntil([&] { return slot->mStatus != 0; }, aLimit);
  return *slot;
}

api_response fake_site::PutWorkspace(const std::string& aVm,
                                     const std::string& aName,
                                     const std::string& aGuarantees)
{
  const auto body = R"({"token_sha256":")" + Sha256Hex("token-" + aName) +
                    R"(","guarantees":)" + aGuarantees + "}";
  return Call(aVm, OperatorCall("PUT", "/v1/config/workspaces/" + aName, body));
}

fake_site::gang_check fake_site::CheckGangs(const std::string& aJob) const
{
  gang_check check;
  std::map<std::pair<std::string, std::string>, int64_t> running;
  time_point partialSince{ -1 };
  const auto updateCheck = [&](time_point aAt, int64_t aGangTasks) {
    int64_t tasks = 0;
    for (const auto& [member, count] : running) {
      tasks += count;
    }
    check.mExcessTasks = std::max(check.mExcessTasks, tasks - aGangTasks);
    const bool partial = tasks > 0 && tasks < aGangTasks;
    if (!partial && partialSince.count() >= 0) {
      check.mLongestPartial =
        std::max<duration>(check.mLongestPartial, aAt - partialSince);
      partialSince = time_point{ -1 };
    } else if (partial && partialSince.count() < 0) {
      partialSince = aAt;
    }
  };
  std::set<std::pair<std::string, std::string>> completed;
  for (const auto& event : mTaskEvents) {
    if (event.mJob != aJob) {
      continue;
    }
    const std::pair member(event.mWorker, event.mAttempt);
    // A completed member counts as running until the whole gang has completed.
    if (event.mState == member_state::kRunning ||
        event.mState == member_state::kCompleted) {
      running[member] = event.mTasks;
      if (event.mState == member_state::kCompleted) {
        completed.insert(member);
      }
    } else {
      running.erase(member);
      // If a member fails or is stopped, completed members of its attempt no longer
      // count.
      std::erase_if(running, [&](const auto& aItem) {
        return completed.count(aItem.first) != 0 &&
               aItem.first.second == event.mAttempt;
      });
      std::erase_if(completed,
                    [&](const auto& aItem) { return aItem.second == event.mAttempt; });
    }
    if (completed.size() == running.size() && !running.empty()) {
      running.clear();
      completed.clear();
    }
    updateCheck(event.mAt, event.mGangTasks);
  }
  if (partialSince.count() >= 0) {
    check.mLongestPartial =
      std::max<duration>(check.mLongestPartial, mLoop.Now() - partialSince);
  }
  return check;
}

api_call OperatorCall(const std::string& aMethod,
                      const std::string& aTarget,
                      const std::string& aBody)
{
  api_call call;
  call.mMethod = aMethod;
  call.mTarget = aTarget;
  call.mBody = aBody;
  call.mToken = kOperatorToken;
  return call;
}

api_call WorkspaceCall(const std::string& aWorkspace,
                       const std::string& aMethod,
                       const std::string& aTarget,
                       const std::string& aBody,
                       const std::string& aKey)
{
  auto call = OperatorCall(aMethod, aTarget, aBody);
  call.mToken = "token-" + aWorkspace;
  call.mIdempotencyKey = aKey;
  return call;
}

std::string JsonText(const std::string& aBody, const std::string& aField)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  return body.is_object() && body.contains(aField) && body[aField].is_string()
           ? body[aField].get<std::string>()
           : std::string();
}

int64_t JsonNumber(const std::string& aBody, const std::string& aField)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  return body.is_object() && body.contains(aField) && body[aField].is_number()
           ? body[aField].get<int64_t>()
           : -1;
}

} // namespace anvildoor
