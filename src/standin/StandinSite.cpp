#include "standin/StandinSite.h"

#include "base/JsonReader.h"
#include "base/JsonText.h"
#include "http/ApiSupport.h"

namespace anvildoor {

namespace {

using nlohmann::json;

constexpr int64_t kDefaultWorkMs = 20;
constexpr int64_t kMaxLatencyMs = 600'000;

std::string AppendNumber(const std::string& aPrefix, int aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

} // namespace

standin_site::standin_site(event_loop& aLoop, const standin_settings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mStore(aLoop)
{
  int port = aSettings.mUpstreamPort;
  for (const auto& name : aSettings.mDataCentres) {
    AddDataCentre(name, port);
  }
  for (const auto& vm : aSettings.mEntryVms) {
    PublishVm(vm);
  }
}

void standin_site::AddDataCentre(const std::string& aName, int& aPort)
{
  for (int rack = 1; rack <= mSettings.mRacks; ++rack) {
    for (int number = 1; number <= mSettings.mWorkersPerRack; ++number) {
      vm_record worker;
      worker.mKind = vm_kind::kWorker;
      worker.mDataCentre = aName;
      worker.mRack = aName + AppendNumber("-r", rack);
      worker.mId = worker.mRack + AppendNumber("-w", number);
      worker.mAddress = mSettings.mListenGrpc;
      worker.mCapacity = mSettings.mWorker;
      mWorkers.emplace(
        worker.mId,
        std::make_unique<simulated_worker>(
          mLoop, worker.mId, worker.mCapacity, [this](const worker_event& aEvent) {
            std::lock_guard lock(mMutex);
            mWorkerEvents.push_back(aEvent);
          }));
      PublishVm(worker);
    }
  }
  for (int number = 1; number <= mSettings.mUpstreams; ++number) {
    vm_record upstream;
    upstream.mKind = vm_kind::kUpstream;
    upstream.mDataCentre = aName;
    upstream.mId = aName + AppendNumber("-u", number);
    upstream.mAddress = mSettings.mUpstreamIp + ":" + std::to_string(aPort++);
    upstream.mSlots = mSettings.mSlots;
    upstream.mConnections = mSettings.mConnections;
    mUpstreams[upstream.mId].mRecord = upstream;
    PublishVm(upstream);
  }
}

void standin_site::PublishVm(const vm_record& aRecord)
{
  std::lock_guard lock(mMutex);
  mListedVms[aRecord.mId] = { aRecord,
                              ++mListVersion,
                              mLoop.Now() + mSettings.mListLag };
}

simulated_worker* standin_site::Worker(const std::string& aId)
{
  const auto found = mWorkers.find(aId);
  return found == mWorkers.end() ? nullptr : found->second.get();
}

vm_list_delta standin_site::List(const std::string& aDataCentre, uint64_t aSince)
{
  std::lock_guard lock(mMutex);
  vm_list_delta list;
  list.mVersion = aSince;
  for (const auto& [id, item] : mListedVms) {
    const bool isInScope =
      item.mRecord.mKind == vm_kind::kEntry || item.mRecord.mDataCentre == aDataCentre;
    if (isInScope && item.mVersion > aSince && item.mVisibleFrom <= mLoop.Now()) {
      list.mChanged.push_back(item.mRecord);
      list.mVersion = std::max(list.mVersion, item.mVersion);
    }
  }
  return list;
}

std::vector<vm_record> standin_site::Upstreams() const
{
  std::vector<vm_record> records;
  std::lock_guard lock(mMutex);
  for (const auto& [id, item] : mUpstreams) {
    records.push_back(item.mRecord);
  }
  return records;
}

void standin_site::Execute(const std::string& aUpstream,
                           const api_call& aCall,
                           api_done aDone)
{
  if (aCall.mMethod != "POST" || aCall.mTarget != "/execute") {
    aDone(RejectionResponse(404, "expected POST /execute", "path"));
    return;
  }
  int64_t workMs = kDefaultWorkMs;
  const auto payload = json::parse(aCall.mBody, nullptr, false);
  if (payload.is_object()) {
    workMs = payload.value("work_ms", workMs);
  }
  {
    std::lock_guard lock(mMutex);
    auto& item = mUpstreams[aUpstream];
    if (item.mLeaving) {
      api_response answer = RejectionResponse(503, "leaving", "");
      answer.mLeaving = true;
      aDone(answer);
      return;
    }
    if (item.mActiveRequests >= item.mRecord.mSlots) {
      aDone(RejectionResponse(429, "no free slot", ""));
      return;
    }
    if (item.mFailing) {
      aDone(RejectionResponse(500, "broken", ""));
      return;
    }
    ++item.mActiveRequests;
    mUpstreamRuns.push_back({ mLoop.Now(), aUpstream, aCall.mRequestId, aCall.mBody });
  }
  mLoop.RunAfter(duration(workMs),
                 [this, aUpstream, body = aCall.mBody, done = std::move(aDone)] {
                   FinishExecute(aUpstream, body, done);
                 });
}

void standin_site::FinishExecute(const std::string& aUpstream,
                                 const std::string& aPayload,
                                 const api_done& aDone)
{
  bool leaving = false;
  {
    std::lock_guard lock(mMutex);
    auto& item = mUpstreams[aUpstream];
    --item.mActiveRequests;
    leaving = item.mLeaving;
  }
  const auto payload = json::parse(aPayload, nullptr, false);
  const auto result = payload.is_object() ? payload.value("result", "done") : "done";
  api_response answer{ 200, result, "text/plain" };
  answer.mLeaving = leaving;
  aDone(answer);
}

void standin_site::Control(const api_call& aCall, const api_done& aDone)
{
  const auto path = SplitTarget(aCall.mTarget);
  const auto root = path.At(0);
  if (aCall.mMethod == "GET" && root == "counts") {
    aDone({ 200, CountsJson() });
  } else if (aCall.mMethod == "GET" && root == "runs") {
    aDone({ 200, RunsJson() });
  } else if (aCall.mMethod == "POST" && root == "store") {
    aDone(SetStoreFaults(aCall.mBody));
  } else if (aCall.mMethod == "POST" && root == "workers") {
    aDone(SetWorkerFaults(path.At(1), aCall.mBody));
  } else if (aCall.mMethod == "POST" && root == "upstreams") {
    aDone(SetUpstreamFaults(path.At(1), aCall.mBody));
  } else {
    aDone(RejectionResponse(
      404,
      "expected GET counts or runs, or POST store, workers/ID or upstreams/ID",
      "path"));
  }
}

api_response standin_site::SetStoreFaults(const std::string& aBody)
{
  auto reader = json_reader::Parse(aBody, "store");
  store_faults faults;
  faults.mDown = reader.Boolean("down", false);
  faults.mLatency = duration(reader.Integer("latency_ms", 0, kMaxLatencyMs, 2));
  faults.mLoseAnswers =
    static_cast<uint32_t>(reader.Integer("lose_answers", 0, UINT32_MAX, 0));
  if (auto read = reader.Finish(); !read) {
    return ErrorResponse(read.error());
  }
  mStore.SetFaults(faults);
  return {};
}

api_response standin_site::SetWorkerFaults(const std::string& aWorker,
                                           const std::string& aBody)
{
  auto* worker = Worker(aWorker);
  if (worker == nullptr) {
    return RejectionResponse(404, "unknown worker", "worker");
  }
  auto reader = json_reader::Parse(aBody, "worker");
  worker_faults faults;
  faults.mFailTasks = reader.Boolean("fail_tasks", false);
  faults.mRefusePrepare = reader.Boolean("refuse", false);
  const bool restart = reader.Boolean("restart", false);
  if (auto read = reader.Finish(); !read) {
    return ErrorResponse(read.error());
  }
  worker->SetFaults(faults);
  if (restart) {
    worker->Restart();
  }
  return {};
}

api_response standin_site::SetUpstreamFaults(const std::string& aUpstream,
                                             const std::string& aBody)
{
  auto reader = json_reader::Parse(aBody, "upstream");
  const bool leaving = reader.Boolean("leaving", false);
  const bool failing = reader.Boolean("failing", false);
  const bool listed = reader.Boolean("listed", true);
  if (auto read = reader.Finish(); !read) {
    return ErrorResponse(read.error());
  }
  vm_record record;
  {
    std::lock_guard lock(mMutex);
    const auto found = mUpstreams.find(aUpstream);
    if (found == mUpstreams.end()) {
      return RejectionResponse(404, "unknown upstream", "upstream");
    }
    found->second.mLeaving = leaving;
    found->second.mFailing = failing;
    found->second.mRecord.mLeaving = leaving && listed;
    record = found->second.mRecord;
  }
  PublishVm(record);
  return {};
}

std::string standin_site::CountsJson() const
{
  const auto counts = mStore.Counts();
  return json{
    { "store_reads", counts.mReads },
    { "store_writes", counts.mWrites },
    { "store_watches", counts.mWatches },
    { "store_bytes_written", counts.mBytesWritten }
  }.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

std::string standin_site::RunsJson() const
{
  std::lock_guard lock(mMutex);
  json requests = json::array();
  for (const auto& run : mUpstreamRuns) {
    requests.push_back({ { "at_ms", run.mAt.count() },
                         { "upstream", run.mUpstream },
                         { "request", run.mRequestId },
                         { "payload", run.mPayload } });
  }
  json tasks = json::array();
  for (const auto& event : mWorkerEvents) {
    tasks.push_back({ { "at_ms", event.mAt.count() },
                      { "worker", event.mWorker },
                      { "job", event.mJob },
                      { "attempt", event.mAttempt },
                      { "state", ToString(event.mState) },
                      { "tasks", event.mTasks },
                      { "gang_tasks", event.mGangTasks } });
  }
  return json{ { "requests", requests }, { "tasks", tasks } }.dump(
    -1, ' ', false, kReplaceInvalidUtf8);
}

} // namespace anvildoor
