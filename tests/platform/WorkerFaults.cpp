#include "WorkerFaults.h"

#include "platform/Wire.h"

#include <stdexcept>

namespace anvildoor {

namespace {

using nlohmann::json;

call_effect ParseEffect(const std::string& aName)
{
  static const std::map<std::string, call_effect> sEffects = {
    { "late", call_effect::kLate },       { "unanswered", call_effect::kUnanswered },
    { "lost", call_effect::kLost },       { "busy", call_effect::kBusy },
    { "limited", call_effect::kLimited }, { "cut", call_effect::kCut },
  };
  return sEffects.at(aName);
}

std::string TargetOf(const std::string& aOrder)
{
  return aOrder == "hold" ? "/hold" : "/run-" + aOrder;
}

server_reply Refusal(unsigned aStatus)
{
  server_reply reply;
  reply.mStatus = aStatus;
  reply.mBody = "{}";
  return reply;
}

} // namespace

worker_faults::worker_faults(const ports& aPorts)
  : mPorts(aPorts)
{
}

void worker_faults::List(const std::string& aWorker, const json& aEntry)
{
  mEntries[aWorker] = aEntry;
  WriteEntry(aWorker);
}

void worker_faults::WriteEntry(const std::string& aWorker)
{
  const auto startedAtMs = mPorts.mStartedAtMs(aWorker);
  if (startedAtMs == 0) {
    return;
  }
  auto& entry = mEntries.at(aWorker);
  entry["seq"] = ++mSequences[aWorker];
  entry["born"] = startedAtMs;
  mPorts.mStore.Put(wire::kWorkersPrefix + aWorker, entry.dump());
}

call_effect worker_faults::EffectOn(const std::string& aWorker,
                                    const std::string& aTarget) const
{
  if (mCrashed.count(aWorker) != 0) {
    return call_effect::kLost;
  }
  const auto found = mOrderFaults.find({ aWorker, aTarget });
  const bool isInForce =
    found != mOrderFaults.end() && mPorts.mLoop.Now() < found->second.mUntil;
  return isInForce ? found->second.mEffect : call_effect::kNormal;
}

void worker_faults::Serve(const std::string& aWorker,
                          const server_request& aRequest,
                          const single_thread_server::respond& aRespond)
{
  constexpr unsigned kServiceUnavailable = 503;
  constexpr unsigned kTooMany = 429;
  const auto ignoreAnswer = [](const server_reply&) {};
  const auto& target = aRequest.mTarget;
  const auto answerUnlessCut =
    [this, aWorker, target, aRespond](const server_reply& aReply) {
      if (EffectOn(aWorker, target) != call_effect::kCut) {
        aRespond(aReply);
      }
    };
  switch (EffectOn(aWorker, target)) {
    case call_effect::kNormal:
      mPorts.mServe(aWorker, aRequest, answerUnlessCut);
      break;
    case call_effect::kLate:
      CarryOutLate(aWorker, aRequest, mOrderFaults.at({ aWorker, target }).mMaxDelay);
      break;
    case call_effect::kUnanswered:
      mPorts.mServe(aWorker, aRequest, ignoreAnswer);
      break;
    case call_effect::kLost:
    case call_effect::kCut:
      break;
    case call_effect::kBusy:
      aRespond(Refusal(kServiceUnavailable));
      break;
    case call_effect::kLimited:
      aRespond(Refusal(kTooMany));
      break;
  }
}

void worker_faults::CarryOutLate(const std::string& aWorker,
                                 const server_request& aRequest,
                                 duration aMaxDelay)
{
  std::uniform_int_distribution<int64_t> delays(0, aMaxDelay.count());
  mPorts.mLoop.RunAfter(
    duration(delays(mRandom)), [this, worker = aWorker, request = aRequest] {
      mPorts.mServe(worker, request, [this, request](const server_reply& aReply) {
        constexpr unsigned kOk = 200;
        if (request.mTarget == TargetOf("start") && aReply.mStatus == kOk) {
          const auto body = json::parse(request.mBody);
          mLateStarts.push_back(
            { { "task", body.at("task") }, { "run", body.at("run") } });
        }
      });
    });
}

bool worker_faults::ServeControl(const server_request& aRequest,
                                 const single_thread_server::respond& aRespond)
{
  server_reply reply;
  if (aRequest.mTarget == "/late-starts") {
    reply.mBody = json(mLateStarts).dump();
  } else if (aRequest.mTarget == "/worker-fault") {
    Apply(json::parse(aRequest.mBody));
    reply.mBody = "{}";
  } else {
    return false;
  }
  aRespond(reply);
  return true;
}

void worker_faults::Apply(const json& aFault)
{
  const auto worker = aFault.value("worker", "");
  const auto kind = aFault.at("kind").get<std::string>();
  const auto span = [&](const char* aName) {
    return duration(aFault.at(aName).get<int64_t>());
  };
  if (kind == "orders") {
    ApplyToOrders(worker, aFault);
  } else if (kind == "heartbeats") {
    SendHeartbeats(span("period_ms"));
  } else if (mEntries.count(worker) == 0) {
    return;
  } else if (kind == "entry") {
    // It writes no heartbeat for as long as an entry lasts without one.
    const auto entry = mEntries.at(worker);
    mEntries.erase(worker);
    mPorts.mLoop.RunAfter(
      span("silent_ms"), [this, worker, entry, hiddenFor = span("for_ms")] {
        mPorts.mStore.Remove(wire::kWorkersPrefix + worker);
        mPorts.mLoop.RunAfter(hiddenFor,
                              [this, worker, entry] { List(worker, entry); });
      });
  } else if (kind == "pace") {
    mPorts.mSetPace(worker, aFault.at("pace").get<double>());
  } else if (kind == "restart") {
    Restart(worker);
  } else if (kind == "crash") {
    Crash(worker, span("for_ms"));
  } else if (kind == "drain") {
    Drain(worker, span("remaining_ms"), span("entry_ms"), span("stays_ms"));
  } else {
    throw std::invalid_argument("unknown kind of fault: " + kind);
  }
}

void worker_faults::ApplyToOrders(const std::string& aWorker, const json& aFault)
{
  order_fault fault;
  fault.mEffect = ParseEffect(aFault.at("effect").get<std::string>());
  fault.mUntil = mPorts.mLoop.Now() + duration(aFault.at("for_ms").get<int64_t>());
  fault.mMaxDelay = duration(aFault.value("late_ms", int64_t(0)));
  if (aFault.contains("seed")) {
    mRandom.seed(aFault.at("seed").get<unsigned>());
  }
  for (const auto& order : aFault.at("orders")) {
    mOrderFaults[{ aWorker, TargetOf(order.get<std::string>()) }] = fault;
  }
}

void worker_faults::Restart(const std::string& aWorker)
{
  mCrashed.erase(aWorker);
  if (mEntries.count(aWorker) != 0) {
    mPorts.mRestart(aWorker);
    mSequences.erase(aWorker);
    WriteEntry(aWorker);
  }
}

void worker_faults::Crash(const std::string& aWorker, duration aFor)
{
  if (mCrashed.insert(aWorker).second) {
    mPorts.mCrash(aWorker);
    mPorts.mLoop.RunAfter(aFor, [this, aWorker] {
      if (mCrashed.count(aWorker) != 0) {
        Restart(aWorker);
      }
    });
  }
}

void worker_faults::Drain(const std::string& aWorker,
                          duration aRemaining,
                          duration aEntryFor,
                          duration aStaysFor)
{
  auto& entry = mEntries.at(aWorker);
  entry["state"] = "draining";
  entry["remaining_ms"] = aRemaining.count();
  WriteEntry(aWorker);
  mPorts.mLoop.RunAfter(aEntryFor, [this, aWorker, aStaysFor] {
    mEntries.erase(aWorker);
    mPorts.mStore.Remove(wire::kWorkersPrefix + aWorker);
    mPorts.mLoop.RunAfter(aStaysFor, [this, aWorker] { mPorts.mExit(aWorker); });
  });
}

void worker_faults::SendHeartbeats(duration aPeriod)
{
  for (const auto& [worker, entry] : mEntries) {
    WriteEntry(worker);
  }
  mPorts.mLoop.RunAfter(aPeriod, [this, aPeriod] { SendHeartbeats(aPeriod); });
}

} // namespace anvildoor
