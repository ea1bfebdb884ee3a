/**
 * Stand-in for the users' platform in tests: serves the store and the workers over HTTP
 * on loopback, in one process. Runs until SIGTERM and does not read standard input. At
 * the store's address, GET /traces lists every run so far, POST /put writes a key as
 * the operator does, POST /remove removes one, POST /busy has the store answer 503 for
 * a time, and POST /leave ends a worker, whose port is closed then. With DATA_CENTRES,
 * the workers stand in as many in turn, and those of number N are service poolN; with
 * RACK_DATA_CENTRES, the racks of the only service stand in as many in turn. The store
 * may have several ports; POST /store-fault adds a fault of one (DecodeStoreFault).
 * WorkerFaults.h has the faults of workers, DeadConnections.h the one of connections.
 */
#include "DeadConnections.h"
#include "StoreFaults.h"
#include "WorkerFaults.h"
#include "base/JsonText.h"
#include "http/AsioLoop.h"
#include "http/SingleThreadServer.h"
#include "platform/Base64.h"
#include "platform/Wire.h"
#include "standin/MemoryTransactionStore.h"
#include "standin/RunWorker.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include <boost/asio.hpp>

using namespace anvildoor;
using nlohmann::json;

namespace {

server_reply JsonReply(unsigned aStatus, const json& aBody)
{
  server_reply reply;
  reply.mStatus = aStatus;
  reply.mBody = aBody.dump(-1, ' ', false, kReplaceInvalidUtf8);
  return reply;
}

json EncodeItem(const stored_item& aItem)
{
  return { { "key", aItem.mKey },
           { "value", EncodeBase64(aItem.mValue) },
           { "revision", aItem.mRevision },
           { "created", aItem.mCreateRevision },
           { "lease", aItem.mLease } };
}

/** Serves the platform's store API from a store in memory. */
class store_request_handler
{
public:
  store_request_handler(event_loop& aLoop,
                        memory_transaction_store& aStore,
                        const std::vector<run_trace>& aTraces,
                        std::function<void(const std::string& aWorker)> aLeave)
    : mLoop(aLoop)
    , mStore(aStore)
    , mTraces(aTraces)
    , mLeave(std::move(aLeave))
    , mHistory(aLoop, aStore)
  {
  }

  /** Serves a request that arrived at aPort, unless a fault applies to it. */
  void Serve(const std::string& aPort,
             const server_request& aRequest,
             const single_thread_server::respond& aRespond)
  {
    const auto call = DecodeStoreCall(aRequest);
    if (!call) {
      Execute(aRequest, aRespond);
      return;
    }
    const auto now = mLoop.Now();
    if (const auto fault = mFaults.OnCall(aPort, *call, now)) {
      ServeFaulty(*fault, aRequest, aRespond);
      return;
    }
    const bool isCheap = QueryParameter(aRequest.mTarget, "allow_stale") == "1";
    const auto age = isCheap ? mFaults.ReadAge(aPort, *call, now) : duration::zero();
    if (age > duration::zero() && call->mKind == store_call_kind::kList) {
      aRespond(EncodeRange(mHistory.ListAt(call->mKeys.front(), now - age)));
      return;
    }
    Execute(aRequest, [this, aPort, call, now, aRespond](const server_reply& aReply) {
      if (!mFaults.LosesAnswer(aPort, *call, now, mLoop.Now())) {
        aRespond(aReply);
      }
    });
  }

private:
  void ServeFaulty(const store_fault& aFault,
                   const server_request& aRequest,
                   const single_thread_server::respond& aRespond)
  {
    const auto loseAnswer = [](const server_reply&) {};
    switch (aFault.mEffect) {
      case store_fault_effect::kUnavailable:
        aRespond(JsonReply(503, json::object()));
        break;
      case store_fault_effect::kTooMany:
        aRespond(JsonReply(429, json::object()));
        break;
      case store_fault_effect::kHistoryLost:
        aRespond(JsonReply(410, json::object()));
        break;
      case store_fault_effect::kAnswerLost:
        Execute(aRequest, loseAnswer);
        break;
      case store_fault_effect::kExecutedLate:
        mLoop.RunAfter(aFault.mDelay,
                       [this, aRequest, loseAnswer] { Execute(aRequest, loseAnswer); });
        break;
      case store_fault_effect::kSlow:
        Execute(aRequest,
                [this, delay = aFault.mDelay, aRespond](const server_reply& aReply) {
                  mLoop.RunAfter(delay, [aRespond, aReply] { aRespond(aReply); });
                });
        break;
      case store_fault_effect::kSilent:
      case store_fault_effect::kStale:
        break;
    }
  }

  void Execute(const server_request& aRequest,
               const single_thread_server::respond& aRespond)
  {
    const auto path = aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
    if (path.rfind("/kv-", 0) == 0 && mLoop.Now() < mBusyUntil) {
      aRespond(JsonReply(503, json::object()));
    } else if (path == "/kv-key") {
      Get(QueryParameter(aRequest.mTarget, "key"), aRespond);
    } else if (path == "/kv-range") {
      List(QueryParameter(aRequest.mTarget, "prefix"), aRespond);
    } else if (path == "/kv-watch") {
      Watch(aRequest.mTarget, aRespond);
    } else if (path == "/kv-txn") {
      Commit(json::parse(aRequest.mBody), aRespond);
    } else if (path == "/kv-lease") {
      const duration ttl(json::parse(aRequest.mBody).at("ttl_ms").get<int64_t>());
      mStore.GrantLease(ttl, [ttl, aRespond](const result<uint64_t>& aLease) {
        aRespond(JsonReply(200, { { "lease", *aLease }, { "ttl_ms", ttl.count() } }));
      });
    } else if (path.rfind("/kv-keep/", 0) == 0) {
      mStore.RenewLease(std::stoull(path.substr(9)), LeaseResponder(aRespond));
    } else if (path.rfind("/kv-lease-end/", 0) == 0) {
      mStore.EndLease(std::stoull(path.substr(14)), LeaseResponder(aRespond));
    } else if (path == "/put") {
      const auto body = json::parse(aRequest.mBody);
      mStore.Put(body.at("key").get<std::string>(),
                 body.at("value").get<std::string>());
      aRespond(JsonReply(200, json::object()));
    } else if (path == "/remove") {
      mStore.Remove(json::parse(aRequest.mBody).at("key").get<std::string>());
      aRespond(JsonReply(200, json::object()));
    } else if (path == "/busy") {
      const auto body = json::parse(aRequest.mBody);
      mBusyUntil = mLoop.Now() + duration(body.at("for_ms").get<int64_t>());
      aRespond(JsonReply(200, json::object()));
    } else if (path == "/store-fault") {
      mFaults.Add(DecodeStoreFault(aRequest.mBody, mLoop.Now()));
      aRespond(JsonReply(200, json::object()));
    } else if (path == "/leave") {
      mLeave(json::parse(aRequest.mBody).at("worker").get<std::string>());
      aRespond(JsonReply(200, json::object()));
    } else if (path == "/traces") {
      ListTraces(aRespond);
    } else {
      aRespond(JsonReply(404, json::object()));
    }
  }

  static transaction_store::done<uint64_t> LeaseResponder(
    const single_thread_server::respond& aRespond)
  {
    return [aRespond](const result<uint64_t>& aLease) {
      aRespond(JsonReply(aLease ? 200 : 404, json::object()));
    };
  }

  void Get(const std::string& aKey, const single_thread_server::respond& aRespond)
  {
    const auto item = mStore.Peek(aKey);
    auto body = item ? EncodeItem(*item) : json::object();
    body["current_rev"] = mStore.Revision();
    aRespond(JsonReply(item ? 200 : 404, body));
  }

  void List(const std::string& aPrefix, const single_thread_server::respond& aRespond)
  {
    mStore.List(aPrefix, false, [aRespond](const result<stored_range>& aRange) {
      aRespond(EncodeRange(*aRange));
    });
  }

  static server_reply EncodeRange(const stored_range& aRange)
  {
    json items = json::array();
    for (const auto& item : aRange.mItems) {
      items.push_back(EncodeItem(item));
    }
    return JsonReply(200,
                     { { "items", items },
                       { "more_pages", false },
                       { "current_rev", aRange.mRevision } });
  }

  void Watch(const std::string& aTarget, const single_thread_server::respond& aRespond)
  {
    mStore.Watch(QueryParameter(aTarget, "prefix"),
                 std::stoull(QueryParameter(aTarget, "after")),
                 duration(std::stoll(QueryParameter(aTarget, "wait_ms"))),
                 [aRespond](const result<stored_changes>& aChanges) {
                   json events = json::array();
                   for (const auto& change : aChanges->mChanges) {
                     auto event = EncodeItem(change.mItem);
                     if (change.mRemoved) {
                       event = { { "key", change.mItem.mKey },
                                 { "revision", change.mItem.mRevision },
                                 { "removed", true } };
                     }
                     events.push_back(event);
                   }
                   aRespond(JsonReply(
                     aChanges->mHistoryLost ? 410 : 200,
                     { { "events", events }, { "current_rev", aChanges->mRevision } }));
                 });
  }

  void Commit(const json& aBody, const single_thread_server::respond& aRespond)
  {
    store_transaction change;
    for (const auto& row : aBody.value("precondition", json::array())) {
      change.mConditions.push_back(
        { row.at("key").get<std::string>(), row.at("revision").get<uint64_t>() });
    }
    for (const auto& row : aBody.value("puts", json::array())) {
      change.mPuts.push_back({ row.at("key").get<std::string>(),
                               DecodeBase64(row.at("value").get<std::string>()).value(),
                               row.value("lease", uint64_t(0)) });
    }
    change.mRemovals = aBody.value("remove", std::vector<std::string>());
    mStore.Commit(change, [aRespond](const result<transaction_outcome>& aOutcome) {
      if (!aOutcome) {
        const bool noLease = aOutcome.error().mCode == error_code::kNotFound;
        aRespond(JsonReply(noLease ? 404 : 400, json::object()));
        return;
      }
      json items = json::array();
      for (const auto& item : aOutcome->mCurrent) {
        items.push_back(EncodeItem(item));
      }
      aRespond(JsonReply(aOutcome->mCommitted ? 200 : 412,
                         { { "revision", aOutcome->mRevision }, { "items", items } }));
    });
  }

  void ListTraces(const single_thread_server::respond& aRespond)
  {
    json rows = json::array();
    for (const auto& trace : mTraces) {
      json handedOut = json::array();
      for (const auto& [at, checkpoint] : trace.mHandedOut) {
        handedOut.push_back({ at.count(), checkpoint });
      }
      rows.push_back(
        { { "task", wire::FormatTaskName(trace.mTask) },
          { "run", trace.mRun },
          { "worker", trace.mWorker },
          { "spec", trace.mPayload },
          { "checkpoint", trace.mCheckpoint },
          { "handed_out", handedOut },
          { "began", trace.mStartedAt.count() },
          { "ended", trace.mEnded ? trace.mEnded->count() : 0 },
          { "end", trace.mEnded ? ToString(trace.mEnd) : "" },
          { "listed", trace.mListed ? trace.mListed->count() : 0 },
          { "noted", trace.mNoted ? trace.mNoted->count() : 0 },
          { "lapsed", trace.mLapsed ? trace.mLapsed->count() : 0 },
          { "forgotten", trace.mForgotten ? trace.mForgotten->count() : 0 } });
    }
    aRespond(JsonReply(200, rows));
  }

  event_loop& mLoop;
  memory_transaction_store& mStore;
  const std::vector<run_trace>& mTraces;
  std::function<void(const std::string&)> mLeave;
  time_point mBusyUntil{ 0 };
  store_faults mFaults;
  store_history mHistory;
};

server_reply EncodeRunRequestReply(const run_worker& aWorker,
                                   run_request_status aAnswer)
{
  json body{ { "clock_ms", aWorker.ClockMs() } };
  static const std::pair<run_request_status, const char*> sReasons[] = {
    { run_request_status::kFenced, "fence" },
    { run_request_status::kOutdatedRun, "old" },
    { run_request_status::kLate, "late" }
  };
  for (const auto& [answer, reason] : sReasons) {
    if (aAnswer == answer) {
      body["reason"] = reason;
    }
  }
  return JsonReply(aAnswer == run_request_status::kAccepted ? 200 : 409, body);
}

server_reply EncodeHoldReply(const hold_reply& aReply)
{
  if (aReply.mAnswer != run_request_status::kAccepted) {
    return JsonReply(409, { { "reason", "fence" } });
  }
  json running = json::array();
  for (const auto& row : aReply.mRunning) {
    running.push_back(
      { wire::FormatTaskName(row.mTask), row.mRun, row.mCheckpoint, row.mPercent });
  }
  json finished = json::array();
  for (const auto& row : aReply.mEnded) {
    finished.push_back({ row.mNumber,
                         wire::FormatTaskName(row.mTask),
                         row.mRun,
                         ToString(row.mEnd),
                         row.mCheckpoint });
  }
  return JsonReply(200,
                   { { "clock_ms", aReply.mClockMs },
                     { "born", aReply.mStartedAtMs },
                     { "running", running },
                     { "finished", finished } });
}

/**
 * Returns what the payload tells: the run time in ms, any words, fails:N if the runs up
 * to number N fail, and STEP:MS for each step that makes a checkpoint each MS of its
 * work. A checkpoint ends with the work in ms that it stands for.
 */
run_behaviour DecodeBehaviour(const start_run_request& aRequest)
{
  run_behaviour behaviour;
  const auto& checkpoint = aRequest.mCheckpoint;
  if (const auto slash = checkpoint.rfind('/'); slash != std::string::npos) {
    behaviour.mSaved = duration(std::atol(checkpoint.c_str() + slash + 1));
  }
  const auto& payload = aRequest.mPayload;
  behaviour.mDuration =
    std::max(duration(1), duration(std::atol(payload.c_str())) - behaviour.mSaved);
  std::istringstream words(payload);
  for (std::string word; words >> word;) {
    const auto colon = word.find(':');
    if (colon != std::string::npos &&
        word.substr(0, colon) == std::to_string(aRequest.mTask.mStep)) {
      behaviour.mCheckpointInterval = duration(std::atol(word.c_str() + colon + 1));
    } else if (colon != std::string::npos && word.substr(0, colon) == "fails") {
      behaviour.mFails = aRequest.mRun <= std::stoul(word.substr(colon + 1));
    }
  }
  return behaviour;
}

int64_t UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void ServeWorker(run_worker& aWorker,
                 const server_request& aRequest,
                 const single_thread_server::respond& aRespond)
{
  const auto body = json::parse(aRequest.mBody);
  const auto task = wire::ParseTaskName(body.value("task", ""));
  if (aRequest.mTarget == "/run-start" && task) {
    start_run_request request;
    request.mTask = *task;
    request.mRun = body.at("run").get<uint32_t>();
    request.mPayload = body.at("spec").get<std::string>();
    request.mCheckpoint = body.value("checkpoint", "");
    request.mWorkerDeadlineMs = body.at("deadline_ms").get<int64_t>();
    request.mFence = body.value("fencing_token", uint64_t(0));
    aRespond(EncodeRunRequestReply(aWorker, aWorker.Start(request)));
  } else if (aRequest.mTarget == "/run-stop" && task) {
    stop_run_request request;
    request.mTask = *task;
    request.mRun = body.at("run").get<uint32_t>();
    request.mFence = body.value("fencing_token", uint64_t(0));
    aRespond(EncodeRunRequestReply(aWorker, aWorker.Stop(request)));
  } else if (aRequest.mTarget == "/hold") {
    hold_request request;
    request.mAcknowledged = body.at("acked_seq").get<uint64_t>();
    request.mFence = body.value("fencing_token", uint64_t(0));
    request.mWait = duration(body.value("wait_ms", int64_t(0)));
    if (body.contains("deadline_ms")) {
      request.mWorkerDeadlineMs = body.at("deadline_ms").get<int64_t>();
    }
    aWorker.Hold(request, [aRespond](const hold_reply& aReply) {
      aRespond(EncodeHoldReply(aReply));
    });
  } else {
    aRespond(JsonReply(400, json::object()));
  }
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  if (aArgumentCount < 4) {
    std::fprintf(stderr,
                 "usage: platform-standin WORKERS_PER_RACK[,LEASE_MS[,DATA_CENTRES"
                 "[,RACK_DATA_CENTRES]]] STORE_PORT[,STORE_PORT...] WORKER_PORT...\n");
    return 2;
  }
  int workersPerRack = 0;
  int leaseMaxMs = 6'000;
  int dataCentres = 0;
  int rackDataCentres = 0;
  std::sscanf(aArguments[1],
              "%d,%d,%d,%d",
              &workersPerRack,
              &leaseMaxMs,
              &dataCentres,
              &rackDataCentres);
  workersPerRack = std::max(1, workersPerRack);
  const duration leaseMax(leaseMaxMs);
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  asio_loop loop(context);
  memory_transaction_store store(loop);
  std::vector<run_trace> traces;
  gang_registry gangs(loop);
  std::map<std::string, std::unique_ptr<run_worker>> workers;
  std::map<std::string, double> paces;
  std::map<std::string, std::unique_ptr<single_thread_server>> servers;
  const auto endWorker = [&](const std::string& aWorker) {
    servers.at(aWorker)->DisableKeepAlive();
    servers.at(aWorker)->StopAccepting();
    workers.erase(aWorker);
    store.Remove(wire::kWorkersPrefix + aWorker);
  };
  int64_t lastStartedAtMs = 0;
  const auto beginWorker = [&](const std::string& aWorker) {
    workers.erase(aWorker);
    // No two lives share one.
    lastStartedAtMs = std::max(lastStartedAtMs + 1, UnixMs());
    workers[aWorker] = std::make_unique<run_worker>(
      loop,
      aWorker,
      lastStartedAtMs,
      leaseMax,
      [&store, &paces, aWorker](const start_run_request& aRequest) {
        const auto pace = paces.find(aWorker);
        auto behaviour = DecodeBehaviour(aRequest);
        behaviour.mGangSize = GangSizeOf(store, aRequest.mTask);
        behaviour.mPace = pace == paces.end() ? 1.0 : pace->second;
        return behaviour;
      },
      gangs,
      traces);
  };
  worker_faults faults(
    { loop,
      store,
      [&workers](const std::string& aWorker,
                 const server_request& aRequest,
                 const single_thread_server::respond& aRespond) {
        const auto worker = workers.find(aWorker);
        if (worker == workers.end()) {
          aRespond(JsonReply(503, json::object()));
        } else {
          ServeWorker(*worker->second, aRequest, aRespond);
        }
      },
      beginWorker,
      [&workers](const std::string& aWorker) { workers.erase(aWorker); },
      endWorker,
      [&paces](const std::string& aWorker, double aPace) { paces[aWorker] = aPace; },
      [&workers](const std::string& aWorker) {
        const auto worker = workers.find(aWorker);
        return worker == workers.end() ? int64_t(0) : worker->second->StartedAtMs();
      } });
  store_request_handler storeHandler(
    loop, store, traces, [&](const std::string& aWorker) {
      faults.Forget(aWorker);
      endWorker(aWorker);
    });
  dead_connections connections;
  server_limits limits;
  limits.mBodyBytes = 1'000'000;
  const auto address = [&](int aNumber) {
    return std::string("127.0.0.1:") + aArguments[aNumber];
  };
  std::vector<std::unique_ptr<single_thread_server>> storeServers;
  std::istringstream storePorts(aArguments[2]);
  for (std::string port; std::getline(storePorts, port, ',');) {
    storeServers.push_back(std::make_unique<single_thread_server>(
      context,
      [&, port](const server_request& aRequest,
                const single_thread_server::respond& aRespond) {
        if (!faults.ServeControl(aRequest, aRespond) &&
            !connections.ServeControl(aRequest, aRespond)) {
          connections.Serve(port,
                            aRequest,
                            aRespond,
                            [&](const server_request& aServed,
                                const single_thread_server::respond& aAnswer) {
                              storeHandler.Serve(port, aServed, aAnswer);
                            });
        }
      }));
    storeServers.back()->SetLimits(limits);
    const auto listening = storeServers.back()->Listen("127.0.0.1:" + port);
    if (!listening) {
      std::fprintf(stderr, "%s\n", Describe(listening.error()).c_str());
      return 1;
    }
  }
  constexpr int kFirstWorker = 3; // The first argument that is a worker's port.
  for (int number = kFirstWorker; number < aArgumentCount; ++number) {
    const auto id = "i-" + std::to_string(number);
    const auto rackNumber = (number - kFirstWorker) / workersPerRack;
    const auto rack = "r" + std::to_string(rackNumber);
    const auto dataCentre = dataCentres > 0
                              ? std::to_string((number - kFirstWorker) * dataCentres /
                                               (aArgumentCount - kFirstWorker))
                              : "";
    const auto zone =
      rackDataCentres > 0 ? std::to_string(rackNumber % rackDataCentres) : dataCentre;
    beginWorker(id);
    servers[id] = std::make_unique<single_thread_server>(
      context,
      [&, id, port = std::string(aArguments[number])](
        const server_request& aRequest, const single_thread_server::respond& aRespond) {
        connections.Serve(port,
                          aRequest,
                          aRespond,
                          [&](const server_request& aServed,
                              const single_thread_server::respond& aAnswer) {
                            faults.Serve(id, aServed, aAnswer);
                          });
      });
    if (const auto listening = servers.at(id)->Listen(address(number)); !listening) {
      std::fprintf(stderr, "%s\n", Describe(listening.error()).c_str());
      return 1;
    }
    faults.List(
      id,
      { { "service", "pool" + dataCentre },
        { "address", address(number) },
        { "zone", "z" + zone },
        { "state", "ready" },
        { "capacity", { { "cpu", 32'000 }, { "mem_mb", 65'536 }, { "gpu", 8 } } },
        { "labels", { "a", rack } } });
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
