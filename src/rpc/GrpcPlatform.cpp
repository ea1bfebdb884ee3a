#include "rpc/GrpcPlatform.h"

#include "platform.grpc.pb.h"
#include "rpc/ChannelCache.h"
#include "rpc/Convert.h"
#include "rpc/GrpcCall.h"

namespace anvildoor {

namespace {

constexpr duration kListTimeout{ 2'000 };
constexpr duration kWorkerTimeout{ 1'000 };

std::function<void(result<platform::Accepted>)> MakeAcceptedCallback(
  port_done<call_ack> aDone)
{
  return [done = std::move(aDone)](const result<platform::Accepted>& aReply) {
    if (!aReply) {
      done(tl::unexpected<error>(aReply.error()));
      return;
    }
    done(call_ack{ aReply->incarnation(), aReply->sequence() });
  };
}

/** Returns a callback that passes the converted reply, or the error, to aDone. */
template<typename Message, typename Value>
std::function<void(result<Message>)> MakeConvertingCallback(port_done<Value> aDone)
{
  return [done = std::move(aDone)](const result<Message>& aReply) {
    if (!aReply) {
      done(tl::unexpected<error>(aReply.error()));
      return;
    }
    done(FromMessage(*aReply));
  };
}

} // namespace

struct grpc_vm_list::stubs
{
  channel_cache<platform::VmDirectory> mCache;
};

grpc_vm_list::grpc_vm_list(event_loop& aLoop, std::string aAddress)
  : mLoop(aLoop)
  , mAddress(std::move(aAddress))
  , mStubs(std::make_unique<stubs>())
{
}

grpc_vm_list::~grpc_vm_list() = default;

void grpc_vm_list::OnList(const std::string& aDataCentre, uint64_t aSince, done aDone)
{
  platform::VmListRequest request;
  request.set_data_centre(aDataCentre);
  request.set_since(aSince);
  CallUnary<platform::VmListRequest, platform::VmListReply>(
    { mLoop, "vm_list", mAddress, call_kind::kRead, kListTimeout },
    std::move(request),
    [stub = mStubs->mCache.StubFor(mAddress)](
      auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->List(aContext, aIn, aOut, std::move(aFinish));
    },
    [done = std::move(aDone)](const result<platform::VmListReply>& aReply) {
      if (!aReply) {
        done(tl::unexpected<error>(aReply.error()));
        return;
      }
      vm_list_delta list;
      list.mVersion = aReply->version();
      for (const auto& vm : aReply->changed()) {
        list.mChanged.push_back(FromMessage(vm));
      }
      list.mRemoved.assign(aReply->removed().begin(), aReply->removed().end());
      done(list);
    });
}

struct grpc_workers::stubs
{
  channel_cache<platform::Worker> mCache;
};

grpc_workers::grpc_workers(event_loop& aLoop, resolver aResolver)
  : mLoop(aLoop)
  , mResolver(std::move(aResolver))
  , mStubs(std::make_unique<stubs>())
{
}

grpc_workers::~grpc_workers() = default;

void grpc_workers::OnPrepare(const std::string& aWorker,
                             const prepare_request& aRequest,
                             port_done<call_ack> aDone)
{
  CallUnary<platform::PrepareRequest, platform::Accepted>(
    { mLoop, "worker.prepare", aWorker, call_kind::kWrite, kWorkerTimeout },
    ToMessage(aWorker, aRequest),
    [stub = mStubs->mCache.StubFor(mResolver(aWorker))](
      auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->Prepare(aContext, aIn, aOut, std::move(aFinish));
    },
    MakeAcceptedCallback(std::move(aDone)));
}

void grpc_workers::OnRelease(const std::string& aWorker,
                             uint64_t aEpoch,
                             const std::string& aAttempt,
                             port_done<call_ack> aDone)
{
  platform::ReleaseRequest request;
  request.set_worker(aWorker);
  request.set_epoch(aEpoch);
  request.set_attempt(aAttempt);
  CallUnary<platform::ReleaseRequest, platform::Accepted>(
    { mLoop, "worker.release", aWorker, call_kind::kWrite, kWorkerTimeout },
    std::move(request),
    [stub = mStubs->mCache.StubFor(mResolver(aWorker))](
      auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->Release(aContext, aIn, aOut, std::move(aFinish));
    },
    MakeAcceptedCallback(std::move(aDone)));
}

void grpc_workers::OnStop(const std::string& aWorker,
                          const stop_request& aRequest,
                          port_done<member_report> aDone)
{
  platform::StopRequest request;
  request.set_worker(aWorker);
  request.set_epoch(aRequest.mEpoch);
  request.set_attempt(aRequest.mAttempt);
  request.set_grace_ms(aRequest.mGrace.count());
  CallUnary<platform::StopRequest, platform::Member>(
    { mLoop,
      "worker.stop",
      aWorker,
      call_kind::kWrite,
      kWorkerTimeout + aRequest.mGrace },
    std::move(request),
    [stub = mStubs->mCache.StubFor(mResolver(aWorker))](
      auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->Stop(aContext, aIn, aOut, std::move(aFinish));
    },
    MakeConvertingCallback<platform::Member>(std::move(aDone)));
}

void grpc_workers::OnRenew(const std::string& aWorker,
                           const renew_request& aRequest,
                           port_done<renew_reply> aDone)
{
  CallUnary<platform::RenewRequest, platform::RenewReply>(
    { mLoop, "worker.renew", aWorker, call_kind::kRead, kWorkerTimeout },
    ToMessage(aWorker, aRequest),
    [stub = mStubs->mCache.StubFor(mResolver(aWorker))](
      auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->Renew(aContext, aIn, aOut, std::move(aFinish));
    },
    MakeConvertingCallback<platform::RenewReply>(std::move(aDone)));
}

} // namespace anvildoor
