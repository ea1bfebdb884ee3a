#pragma once

#include "support/FakeSite.h"

#include <memory>
#include <string>
#include <utility>

namespace anvildoor {

constexpr duration kMessageLatency{ 1 };
constexpr duration kLostCallTimeout{ 1'000 }; ///< Time until an unanswered call fails.

/** Returns the error of a call that received no answer. */
inline tl::unexpected<error> NoAnswer(const std::string& aStep,
                                      const std::string& aPeer)
{
  return Fail(error_code::kUnknownEffect, aStep, aPeer, "no answer");
}

/** Simulated ports of one entry VM, with message latency and network partitions. */
class fake_ports
  : public store_client
  , public vm_list_port
  , public worker_port
  , public peer_port
  , public upstream_port
{
public:
  fake_ports(fake_site& aSite, scoped_loop& aLoop, std::string aVm)
    : mSite(aSite)
    , mLoop(aLoop)
    , mVm(std::move(aVm))
  {
  }

protected:
  // Store

  template<typename T, typename Start>
  void CallStore(store_done<T> aDone, error_code aCode, const Start& aStart)
  {
    if (mSite.IsDisconnected(mVm, "store")) {
      mLoop.RunAfter(kLostCallTimeout, [done = std::move(aDone), aCode] {
        done(Fail(aCode, "store", "store", "no answer"));
      });
      return;
    }
    aStart([this, aCode, done = std::move(aDone)](result<T> aAnswer) {
      if (mSite.IsDisconnected(mVm, "store")) {
        aAnswer =
          Fail(aCode, "store", "store", "the connection was lost before the answer");
      }
      mLoop.Post([done, answer = std::move(aAnswer)] { done(answer); });
    });
  }

  void OnGet(const std::string& aKey,
             store_done<std::optional<store_value>> aDone) override
  {
    CallStore<std::optional<store_value>>(
      std::move(aDone), error_code::kUnavailable, [&](auto aReply) {
        mSite.mStore.Get(aKey, std::move(aReply));
      });
  }

  void OnCas(const store_write& aWrite, store_done<uint64_t> aDone) override
  {
    CallStore<uint64_t>(std::move(aDone), error_code::kUnknownEffect, [&](auto aReply) {
      mSite.mStore.Cas(aWrite, std::move(aReply));
    });
  }

  void OnRemove(const std::string& aKey,
                uint64_t aVersion,
                store_done<uint64_t> aDone) override
  {
    CallStore<uint64_t>(std::move(aDone), error_code::kUnknownEffect, [&](auto aReply) {
      mSite.mStore.Remove(aKey, aVersion, std::move(aReply));
    });
  }

  void OnList(const std::string& aPrefix,
              store_done<std::vector<store_entry>> aDone) override
  {
    CallStore<std::vector<store_entry>>(
      std::move(aDone), error_code::kUnavailable, [&](auto aReply) {
        mSite.mStore.List(aPrefix, std::move(aReply));
      });
  }

  void OnWatch(const std::string& aKey,
               uint64_t aKnownVersion,
               duration aWait,
               store_done<std::optional<store_value>> aDone) override
  {
    CallStore<std::optional<store_value>>(
      std::move(aDone), error_code::kUnavailable, [&](auto aReply) {
        mSite.mStore.Watch(aKey, aKnownVersion, aWait, std::move(aReply));
      });
  }

  void OnGrantLease(duration aTtl, store_done<uint64_t> aDone) override
  {
    CallStore<uint64_t>(std::move(aDone), error_code::kUnknownEffect, [&](auto aReply) {
      mSite.mStore.GrantLease(aTtl, std::move(aReply));
    });
  }

  void OnRenewLease(uint64_t aLease, store_done<uint64_t> aDone) override
  {
    CallStore<uint64_t>(std::move(aDone), error_code::kUnknownEffect, [&](auto aReply) {
      mSite.mStore.RenewLease(aLease, std::move(aReply));
    });
  }

  // VM list

  void OnList(const std::string& aDataCentre,
              uint64_t aSince,
              vm_list_port::done aDone) override
  {
    if (mSite.IsDisconnected(mVm, "vms")) {
      mLoop.RunAfter(kLostCallTimeout,
                     [aDone] { aDone(Fail(error_code::kUnavailable, "vms", "", "")); });
      return;
    }
    vm_list_delta list;
    list.mVersion = mSite.mListVersion;
    for (const auto& [id, record] : mSite.mListedVms) {
      const bool wanted =
        record.mKind == vm_kind::kEntry || record.mDataCentre == aDataCentre;
      if (wanted && mSite.mListedVersions[id] > aSince) {
        list.mChanged.push_back(record);
      }
    }
    mLoop.RunAfter(kMessageLatency, [aDone, list] { aDone(list); });
  }

  // Workers

  template<typename T, typename Body>
  void CallWorker(const std::string& aWorker, port_done<T> aDone, const Body& aBody)
  {
    ++mSite.mMessages;
    if (IsUnreachable(aWorker)) {
      FailUnanswered("worker", aWorker, std::move(aDone));
      return;
    }
    mSite.mLoop.RunAfter(kMessageLatency, [this, aWorker, aDone, aBody] {
      if (IsUnreachable(aWorker)) {
        FailUnanswered("worker", aWorker, aDone);
        return;
      }
      aBody(*mSite.mWorkers[aWorker], [this, aWorker, aDone](result<T> aAnswer) {
        mLoop.RunAfter(kMessageLatency, [aDone, aAnswer] { aDone(aAnswer); });
      });
    });
  }

  void OnPrepare(const std::string& aWorker,
                 const prepare_request& aRequest,
                 port_done<call_ack> aDone) override
  {
    CallWorker<call_ack>(
      aWorker, std::move(aDone), [aRequest](auto& aSimulatedWorker, auto aReply) {
        aReply(aSimulatedWorker.Prepare(aRequest));
      });
  }

  void OnRelease(const std::string& aWorker,
                 uint64_t aEpoch,
                 const std::string& aAttempt,
                 port_done<call_ack> aDone) override
  {
    CallWorker<call_ack>(aWorker,
                         std::move(aDone),
                         [aEpoch, aAttempt](auto& aSimulatedWorker, auto aReply) {
                           aReply(aSimulatedWorker.Release(aEpoch, aAttempt));
                         });
  }

  void OnStop(const std::string& aWorker,
              const stop_request& aRequest,
              port_done<member_report> aDone) override
  {
    CallWorker<member_report>(
      aWorker, std::move(aDone), [aRequest](auto& aSimulatedWorker, auto aReply) {
        aSimulatedWorker.Stop(aRequest, aReply);
      });
  }

  void OnRenew(const std::string& aWorker,
               const renew_request& aRequest,
               port_done<renew_reply> aDone) override
  {
    CallWorker<renew_reply>(
      aWorker, std::move(aDone), [aRequest](auto& aSimulatedWorker, auto aReply) {
        aReply(aSimulatedWorker.Renew(aRequest));
      });
  }

  // Peers

  template<typename T, typename Body>
  void CallPeer(const std::string& aAddress, port_done<T> aDone, const Body& aBody)
  {
    ++mSite.mMessages;
    const auto vm = aAddress.substr(0, aAddress.find(':'));
    if (mSite.IsDisconnected(mVm, vm) || !mSite.IsRunning(vm)) {
      FailUnanswered("peer", vm, std::move(aDone));
      return;
    }
    mSite.mLoop.RunAfter(kMessageLatency, [this, vm, aDone, aBody] {
      if (!mSite.IsRunning(vm)) {
        FailUnanswered("peer", vm, aDone);
        return;
      }
      mSite.PostToVm(vm, [this, vm, aDone, aBody] {
        aBody(mSite.Node(vm), [this, aDone](result<T> aAnswer) {
          mLoop.RunAfter(kMessageLatency, [aDone, aAnswer] { aDone(aAnswer); });
        });
      });
    });
  }

  void OnHeartbeat(const std::string& aAddress,
                   const peer_state& aState,
                   port_done<peer_state> aDone) override
  {
    CallPeer<peer_state>(
      aAddress, std::move(aDone), [aState](node& aNode, auto aReply) {
        aReply(aNode.OnPeerHeartbeat(aState));
      });
  }

  void OnPullConfig(const std::string& aAddress,
                    uint64_t aFrom,
                    port_done<config_transfer> aDone) override
  {
    CallPeer<config_transfer>(
      aAddress, std::move(aDone), [aFrom](node& aNode, auto aReply) {
        aReply(aNode.OnPeerPullConfig(aFrom));
      });
  }

  void OnForward(const std::string& aAddress,
                 const forwarded_call& aCall,
                 port_done<forwarded_answer> aDone) override
  {
    auto answered = std::make_shared<bool>(false);
    const auto once = [answered, aDone](const result<forwarded_answer>& aAnswer) {
      if (!std::exchange(*answered, true)) {
        aDone(aAnswer);
      }
    };
    mLoop.RunAfter(aCall.mTimeout, [once] { once(NoAnswer("peer.forward", "")); });
    CallPeer<forwarded_answer>(aAddress, once, [aCall](node& aNode, auto aReply) {
      aNode.OnPeerForward(aCall, aReply);
    });
  }

  void OnReport(const std::string& aAddress,
                const worker_status_report& aStatuses,
                port_done<call_ack> aDone) override
  {
    CallPeer<call_ack>(
      aAddress, std::move(aDone), [aStatuses](node& aNode, auto aReply) {
        aReply(aNode.OnPeerReport(aStatuses));
      });
  }

  void OnVersionInForce(const std::string& aAddress, port_done<uint64_t> aDone) override
  {
    CallPeer<uint64_t>(aAddress, std::move(aDone), [](node& aNode, auto aReply) {
      aReply(aNode.OnPeerVersionInForce());
    });
  }

  // Upstreams

  void OnExecute(const std::string& aAddress,
                 const upstream_call& aCall,
                 upstream_port::done aDone) override
  {
    ++mSite.mMessages;
    auto& upstream = mSite.Upstream(aAddress);
    if (upstream.mRefusesConnections || mSite.IsDisconnected(mVm, aAddress)) {
      mLoop.RunAfter(kMessageLatency, [aDone, aAddress] {
        aDone(Fail(error_code::kUnavailable,
                   "upstream.connect",
                   aAddress,
                   "connection refused"));
      });
      return;
    }
    auto answered = std::make_shared<bool>(false);
    const auto once = [answered, aDone](const result<upstream_reply>& aAnswer) {
      if (!std::exchange(*answered, true)) {
        aDone(aAnswer);
      }
    };
    mLoop.RunAfter(aCall.mReplyTimeout,
                   [once, aAddress] { once(NoAnswer("upstream.answer", aAddress)); });
    mSite.mLoop.RunAfter(kMessageLatency, [this, aAddress, aCall, once] {
      RunUpstream(aAddress, aCall, once);
    });
  }

private:
  bool IsUnreachable(const std::string& aWorker) const
  {
    return mSite.IsDisconnected(mVm, aWorker) ||
           mSite.mKilledWorkers.count(aWorker) != 0;
  }

  template<typename T>
  void FailUnanswered(const std::string& aStep,
                      const std::string& aPeer,
                      port_done<T> aDone)
  {
    mLoop.RunAfter(kLostCallTimeout,
                   [aStep, aPeer, aDone] { aDone(NoAnswer(aStep, aPeer)); });
  }

  template<typename Once>
  void RunUpstream(const std::string& aId,
                   const upstream_call& aCall,
                   const Once& aOnce)
  {
    auto& upstream = mSite.Upstream(aId);
    const auto reply =
      [this, aOnce](uint32_t aStatus, const std::string& aBody, bool aLeaving) {
        mLoop.RunAfter(kMessageLatency, [aOnce, aStatus, aBody, aLeaving] {
          aOnce(upstream_reply{ aStatus, aBody, aLeaving });
        });
      };
    if (upstream.mLeaving && !upstream.mRunsWhileLeaving) {
      reply(503, "leaving", true);
      return;
    }
    if (upstream.mActive >= upstream.mRecord.mSlots) {
      reply(429, "busy", false);
      return;
    }
    ++upstream.mActive;
    mSite.mRuns.push_back({ mSite.mLoop.Now(), aId, aCall.mRequestId, aCall.mPayload });
    mSite.mLoop.RunAfter(upstream.mWorkTime, [this, aId, aCall, reply] {
      auto& item = mSite.Upstream(aId);
      --item.mActive;
      if (item.mLoseAnswers > 0) {
        --item.mLoseAnswers;
        return;
      }
      reply(item.mStatus, "answer to " + aCall.mPayload, item.mLeaving);
    });
  }

  fake_site& mSite;
  scoped_loop& mLoop;
  std::string mVm;
};

} // namespace anvildoor
