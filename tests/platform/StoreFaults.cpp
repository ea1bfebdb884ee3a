#include "StoreFaults.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

using nlohmann::json;

constexpr duration kDefaultSpan{ 3'600'000 };

bool HasPrefix(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

std::vector<std::string> KeysOfTransaction(const json& aBody)
{
  std::vector<std::string> keys = aBody.value("remove", std::vector<std::string>());
  for (const char* list : { "precondition", "puts" }) {
    for (const auto& row : aBody.value(list, json::array())) {
      keys.push_back(row.at("key").get<std::string>());
    }
  }
  return keys;
}

store_call_kind ParseKind(const std::string& aName)
{
  static const std::map<std::string, store_call_kind> sKinds = {
    { "any", store_call_kind::kAny },     { "watch", store_call_kind::kWatch },
    { "list", store_call_kind::kList },   { "get", store_call_kind::kGet },
    { "txn", store_call_kind::kCommit },  { "grant", store_call_kind::kGrant },
    { "renew", store_call_kind::kRenew }, { "end", store_call_kind::kEnd }
  };
  return sKinds.at(aName);
}

store_fault_effect ParseEffect(const std::string& aName)
{
  static const std::map<std::string, store_fault_effect> sEffects = {
    { "503", store_fault_effect::kUnavailable },
    { "429", store_fault_effect::kTooMany },
    { "410", store_fault_effect::kHistoryLost },
    { "silent", store_fault_effect::kSilent },
    { "answer-lost", store_fault_effect::kAnswerLost },
    { "late", store_fault_effect::kExecutedLate },
    { "slow", store_fault_effect::kSlow },
    { "stale", store_fault_effect::kStale }
  };
  return sEffects.at(aName);
}

} // namespace

std::string QueryParameter(const std::string& aTarget, const std::string& aName)
{
  const auto query = aTarget.find('?');
  const auto at = query == std::string::npos
                    ? query
                    : ("&" + aTarget.substr(query + 1)).find("&" + aName + "=");
  if (at == std::string::npos) {
    return "";
  }
  const auto text = aTarget.substr(query + 1 + at + aName.size() + 1);
  return text.substr(0, text.find('&'));
}

std::optional<store_call> DecodeStoreCall(const server_request& aRequest)
{
  const auto& target = aRequest.mTarget;
  const auto path = target.substr(0, target.find('?'));
  if (path == "/kv-key") {
    return store_call{ store_call_kind::kGet, { QueryParameter(target, "key") } };
  }
  if (path == "/kv-range") {
    return store_call{ store_call_kind::kList, { QueryParameter(target, "prefix") } };
  }
  if (path == "/kv-watch") {
    return store_call{ store_call_kind::kWatch, { QueryParameter(target, "prefix") } };
  }
  if (path == "/kv-txn") {
    return store_call{ store_call_kind::kCommit,
                       KeysOfTransaction(json::parse(aRequest.mBody)) };
  }
  if (path == "/kv-lease") {
    return store_call{ store_call_kind::kGrant, {} };
  }
  if (HasPrefix(path, "/kv-keep/")) {
    return store_call{ store_call_kind::kRenew, {} };
  }
  if (HasPrefix(path, "/kv-lease-end/")) {
    return store_call{ store_call_kind::kEnd, {} };
  }
  return std::nullopt;
}

store_fault DecodeStoreFault(const std::string& aBody, time_point aNow)
{
  const auto body = json::parse(aBody);
  store_fault fault;
  fault.mPort = body.value("port", "");
  fault.mKind = ParseKind(body.value("call", "any"));
  fault.mKeyPrefix = body.value("prefix", "");
  fault.mEffect = ParseEffect(body.at("effect").get<std::string>());
  fault.mDelay = duration(body.value("delay_ms", int64_t(0)));
  fault.mSince = aNow;
  fault.mUntil = aNow + duration(body.value("for_ms", kDefaultSpan.count()));
  fault.mCalls = body.value("calls", int64_t(-1));
  fault.mPercent = body.value("percent", uint32_t(100));
  return fault;
}

bool store_faults::Matches(const store_fault& aFault,
                           const std::string& aPort,
                           const store_call& aCall,
                           time_point aFrom,
                           time_point aTo) const
{
  const bool isActive = aFault.mSince <= aTo && aFrom < aFault.mUntil;
  const bool isOfKind =
    aFault.mKind == store_call_kind::kAny || aFault.mKind == aCall.mKind;
  const bool namesKey =
    aFault.mKeyPrefix.empty() ||
    std::any_of(aCall.mKeys.begin(), aCall.mKeys.end(), [&](const auto& aKey) {
      return HasPrefix(aKey, aFault.mKeyPrefix);
    });
  return isActive && isOfKind && namesKey && aFault.mCalls != 0 &&
         (aFault.mPort.empty() || aFault.mPort == aPort);
}

std::optional<store_fault> store_faults::OnCall(const std::string& aPort,
                                                const store_call& aCall,
                                                time_point aNow)
{
  for (auto& fault : mFaults) {
    if (fault.mEffect != store_fault_effect::kStale &&
        Matches(fault, aPort, aCall, aNow, aNow)) {
      if (mRandom() % 100 >= fault.mPercent) {
        continue;
      }
      fault.mCalls -= fault.mCalls > 0 ? 1 : 0;
      return fault;
    }
  }
  return std::nullopt;
}

bool store_faults::LosesAnswer(const std::string& aPort,
                               const store_call& aCall,
                               time_point aArrivedAt,
                               time_point aNow)
{
  for (auto& fault : mFaults) {
    const bool losesAnswers = fault.mEffect == store_fault_effect::kSilent ||
                              fault.mEffect == store_fault_effect::kAnswerLost;
    if (losesAnswers && Matches(fault, aPort, aCall, aArrivedAt, aNow)) {
      fault.mCalls -= fault.mCalls > 0 ? 1 : 0;
      return true;
    }
  }
  return false;
}

duration store_faults::ReadAge(const std::string& aPort,
                               const store_call& aCall,
                               time_point aNow) const
{
  for (const auto& fault : mFaults) {
    if (fault.mEffect == store_fault_effect::kStale &&
        Matches(fault, aPort, aCall, aNow, aNow)) {
      return fault.mDelay;
    }
  }
  return duration::zero();
}

store_history::store_history(event_loop& aLoop, transaction_store& aStore)
  : mLoop(aLoop)
  , mStore(aStore)
{
  Watch(0);
}

void store_history::Watch(uint64_t aRevision)
{
  constexpr duration kWatchTime{ 30'000 };
  mStore.Watch(
    "", aRevision, kWatchTime, [this](const result<stored_changes>& aChanges) {
      for (const auto& change : aChanges->mChanges) {
        mChanges.emplace_back(mLoop.Now(), change);
      }
      Watch(aChanges->mRevision);
    });
}

stored_range store_history::ListAt(const std::string& aPrefix, time_point aTime) const
{
  std::map<std::string, stored_item> items;
  stored_range range;
  for (const auto& [time, change] : mChanges) {
    if (time > aTime) {
      break;
    }
    range.mRevision = std::max(range.mRevision, change.mItem.mRevision);
    if (change.mRemoved) {
      items.erase(change.mItem.mKey);
    } else if (HasPrefix(change.mItem.mKey, aPrefix)) {
      items[change.mItem.mKey] = change.mItem;
    }
  }
  for (const auto& [key, item] : items) {
    range.mItems.push_back(item);
  }
  return range;
}

} // namespace anvildoor
