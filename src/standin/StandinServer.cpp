#include "standin/StandinServer.h"

#include "http/HttpServer.h"
#include "platform.grpc.pb.h"
#include "rpc/Convert.h"
#include "rpc/GrpcCall.h"

namespace anvildoor {

namespace {

using reactor = grpc::ServerUnaryReactor;
using context = grpc::CallbackServerContext;

/** Finishes a call with aAnswer; on success aFill writes the reply message. */
template<typename Value, typename Fill>
void FinishCall(reactor* aReactor, const result<Value>& aAnswer, const Fill& aFill)
{
  if (!aAnswer) {
    aReactor->Finish(ToGrpcStatus(aAnswer.error()));
    return;
  }
  aFill(*aAnswer);
  aReactor->Finish(grpc::Status::OK);
}

class store_endpoint : public platform::Store::CallbackService
{
public:
  explicit store_endpoint(store_client& aStore)
    : mStore(aStore)
  {
  }

  reactor* Get(context* aContext,
               const platform::StoreGetRequest* aIn,
               platform::StoreGetReply* aOut) override
  {
    auto* call = aContext->DefaultReactor();
    mStore.Get(aIn->key(), MakeValueCallback(call, aOut));
    return call;
  }

  reactor* Cas(context* aContext,
               const platform::StoreCasRequest* aIn,
               platform::StoreNumberReply* aOut) override
  {
    auto* call = aContext->DefaultReactor();
    mStore.Cas({ aIn->key(), aIn->value(), aIn->expected_version(), aIn->lease() },
               MakeNumberCallback(call, aOut));
    return call;
  }

  reactor* Remove(context* aContext,
                  const platform::StoreRemoveRequest* aIn,
                  platform::StoreNumberReply* aOut) override
  {
    auto* call = aContext->DefaultReactor();
    mStore.Remove(aIn->key(), aIn->version(), MakeNumberCallback(call, aOut));
    return call;
  }

  reactor* List(context* aContext,
                const platform::StoreListRequest* aIn,
                platform::StoreListReply* aOut) override
  {
    auto* call = aContext->DefaultReactor();
    mStore.List(aIn->prefix(),
                [call, aOut](const result<std::vector<store_entry>>& aAnswer) {
                  FinishCall(call, aAnswer, [aOut](const auto& aEntries) {
                    for (const auto& entry : aEntries) {
                      auto* item = aOut->add_entries();
                      item->set_key(entry.mKey);
                      item->set_value(entry.mValue.mValue);
                      item->set_version(entry.mValue.mVersion);
                    }
                  });
                });
    return call;
  }

  reactor* Watch(context* aContext,
                 const platform::StoreWatchRequest* aIn,
                 platform::StoreGetReply* aOut) override
  {
    auto* call = aContext->DefaultReactor();
    mStore.Watch(aIn->key(),
                 aIn->known_version(),
                 duration(aIn->wait_ms()),
                 MakeValueCallback(call, aOut));
    return call;
  }

  reactor* GrantLease(context* aContext,
                      const platform::StoreLeaseRequest* aIn,
                      platform::StoreNumberReply* aOut) override
  {
    auto* call = aContext->DefaultReactor();
    mStore.GrantLease(duration(aIn->ttl_ms()), MakeNumberCallback(call, aOut));
    return call;
  }

  reactor* RenewLease(context* aContext,
                      const platform::StoreLeaseRequest* aIn,
                      platform::StoreNumberReply* aOut) override
  {
    auto* call = aContext->DefaultReactor();
    mStore.RenewLease(aIn->lease(), MakeNumberCallback(call, aOut));
    return call;
  }

private:
  static store_done<std::optional<store_value>> MakeValueCallback(
    reactor* aCall,
    platform::StoreGetReply* aOut)
  {
    return [aCall, aOut](const result<std::optional<store_value>>& aAnswer) {
      FinishCall(aCall, aAnswer, [aOut](const auto& aValue) {
        aOut->set_found(aValue.has_value());
        if (aValue) {
          aOut->set_value(aValue->mValue);
          aOut->set_version(aValue->mVersion);
        }
      });
    };
  }

  static store_done<uint64_t> MakeNumberCallback(reactor* aCall,
                                                 platform::StoreNumberReply* aOut)
  {
    return [aCall, aOut](const result<uint64_t>& aAnswer) {
      FinishCall(
        aCall, aAnswer, [aOut](uint64_t aNumber) { aOut->set_number(aNumber); });
    };
  }

  store_client& mStore;
};

class directory_endpoint : public platform::VmDirectory::CallbackService
{
public:
  explicit directory_endpoint(standin_site& aSite)
    : mSite(aSite)
  {
  }

  reactor* List(context* aContext,
                const platform::VmListRequest* aIn,
                platform::VmListReply* aOut) override
  {
    auto* call = aContext->DefaultReactor();
    const auto list = mSite.List(aIn->data_centre(), aIn->since());
    aOut->set_version(list.mVersion);
    for (const auto& record : list.mChanged) {
      *aOut->add_changed() = ToMessage(record);
    }
    for (const auto& id : list.mRemoved) {
      aOut->add_removed(id);
    }
    call->Finish(grpc::Status::OK);
    return call;
  }

private:
  standin_site& mSite;
};

class worker_endpoint : public platform::Worker::CallbackService
{
public:
  explicit worker_endpoint(standin_site& aSite)
    : mSite(aSite)
  {
  }

  reactor* Prepare(context* aContext,
                   const platform::PrepareRequest* aIn,
                   platform::Accepted* aOut) override
  {
    return CallWorker(aContext, aIn->worker(), [&](auto& aWorker, auto* aCall) {
      FinishCall(aCall, aWorker.Prepare(FromMessage(*aIn)), MakeAcceptedWriter(aOut));
    });
  }

  reactor* Release(context* aContext,
                   const platform::ReleaseRequest* aIn,
                   platform::Accepted* aOut) override
  {
    return CallWorker(aContext, aIn->worker(), [&](auto& aWorker, auto* aCall) {
      FinishCall(
        aCall, aWorker.Release(aIn->epoch(), aIn->attempt()), MakeAcceptedWriter(aOut));
    });
  }

  reactor* Stop(context* aContext,
                const platform::StopRequest* aIn,
                platform::Member* aOut) override
  {
    return CallWorker(aContext, aIn->worker(), [&](auto& aWorker, auto* aCall) {
      aWorker.Stop({ aIn->epoch(), aIn->attempt(), duration(aIn->grace_ms()) },
                   [aCall, aOut](const result<member_report>& aAnswer) {
                     FinishCall(aCall, aAnswer, [aOut](const auto& aReport) {
                       *aOut = ToMessage(aReport);
                     });
                   });
    });
  }

  reactor* Renew(context* aContext,
                 const platform::RenewRequest* aIn,
                 platform::RenewReply* aOut) override
  {
    return CallWorker(aContext, aIn->worker(), [&](auto& aWorker, auto* aCall) {
      FinishCall(aCall, aWorker.Renew(FromMessage(*aIn)), [aOut](const auto& aReply) {
        *aOut = ToMessage(aReply);
      });
    });
  }

private:
  /** Runs aBody on the worker with this id, or finishes the call with kNotFound. */
  template<typename Body>
  reactor* CallWorker(context* aContext, const std::string& aWorker, const Body& aBody)
  {
    auto* call = aContext->DefaultReactor();
    if (auto* worker = mSite.Worker(aWorker)) {
      aBody(*worker, call);
    } else {
      call->Finish(
        ToGrpcStatus({ error_code::kNotFound, "worker", aWorker, "unknown worker" }));
    }
    return call;
  }

  static std::function<void(const call_ack&)> MakeAcceptedWriter(
    platform::Accepted* aOut)
  {
    return [aOut](const call_ack& aAnswer) {
      aOut->set_incarnation(aAnswer.mIncarnation);
      aOut->set_sequence(aAnswer.mSequence);
    };
  }

  standin_site& mSite;
};

} // namespace

struct standin_server::state
{
  state(event_loop& aLoop, standin_site& aSite, const standin_settings& aSettings)
    : mLoop(aLoop)
    , mSite(aSite)
    , mSettings(aSettings)
    , mStore(aSite.Store())
    , mDirectory(aSite)
    , mWorkers(aSite)
  {
  }

  event_loop& mLoop;
  standin_site& mSite;
  standin_settings mSettings;
  store_endpoint mStore;
  directory_endpoint mDirectory;
  worker_endpoint mWorkers;
  std::unique_ptr<grpc::Server> mGrpc;
  std::vector<std::unique_ptr<http_server>> mHttp;
};

standin_server::standin_server(event_loop& aLoop,
                               standin_site& aSite,
                               const standin_settings& aSettings)
  : mState(std::make_unique<state>(aLoop, aSite, aSettings))
{
}

standin_server::~standin_server() = default;

status standin_server::Listen()
{
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(
    mState->mSettings.mListenGrpc, grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&mState->mStore);
  builder.RegisterService(&mState->mDirectory);
  builder.RegisterService(&mState->mWorkers);
  mState->mGrpc = builder.BuildAndStart();
  if (!mState->mGrpc || port == 0) {
    return Fail(error_code::kUnavailable,
                "standin.listen",
                mState->mSettings.mListenGrpc,
                "the address cannot be bound");
  }
  auto& site = mState->mSite;
  for (const auto& upstream : site.Upstreams()) {
    auto handler = [&site, id = upstream.mId](const api_call& aCall, api_done aDone) {
      site.Execute(id, aCall, std::move(aDone));
    };
    mState->mHttp.push_back(std::make_unique<http_server>(handler, http_limits{}));
    if (auto listening = mState->mHttp.back()->Listen(upstream.mAddress); !listening) {
      return listening;
    }
  }
  mState->mHttp.push_back(std::make_unique<http_server>(
    [&site](const api_call& aCall, const api_done& aDone) {
      site.Control(aCall, aDone);
    },
    http_limits{}));
  return mState->mHttp.back()->Listen(mState->mSettings.mListenControl);
}

} // namespace anvildoor
