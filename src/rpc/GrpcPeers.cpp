#include "rpc/GrpcPeers.h"

#include "peer.grpc.pb.h"
#include "rpc/ChannelCache.h"
#include "rpc/Convert.h"
#include "rpc/GrpcCall.h"

#include <openssl/crypto.h>

namespace anvildoor {

namespace {

constexpr duration kPeerTimeout{ 1'000 };
constexpr const char* kSecretHeader = "anvildoor-secret";

} // namespace

struct grpc_peers::stubs
{
  explicit stubs(const peer_security& aSecurity)
    : mCache(ChannelCredentialsFor(aSecurity), kPeerCertificateName)
  {
  }

  channel_cache<peer::Peer> mCache;
};

grpc_peers::grpc_peers(event_loop& aLoop, const peer_security& aSecurity)
  : mLoop(aLoop)
  , mSecret(aSecurity.mSecret)
  , mStubs(std::make_unique<stubs>(aSecurity))
{
}

grpc_peers::~grpc_peers() = default;

void grpc_peers::OnHeartbeat(const std::string& aAddress,
                             const peer_state& aState,
                             port_done<peer_state> aDone)
{
  CallUnary<peer::State, peer::State>(
    { mLoop, "peer.heartbeat", aAddress, call_kind::kRead, kPeerTimeout },
    ToMessage(aState),
    [this, stub = mStubs->mCache.StubFor(aAddress)](
      auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      aContext->AddMetadata(kSecretHeader, mSecret);
      stub->async()->Heartbeat(aContext, aIn, aOut, std::move(aFinish));
    },
    [done = std::move(aDone)](const result<peer::State>& aReply) {
      if (!aReply) {
        done(tl::unexpected<error>(aReply.error()));
        return;
      }
      done(FromMessage(*aReply));
    });
}

void grpc_peers::OnPullConfig(const std::string& aAddress,
                              uint64_t aFrom,
                              port_done<config_transfer> aDone)
{
  peer::PullConfigRequest request;
  request.set_from(aFrom);
  CallUnary<peer::PullConfigRequest, peer::ConfigTransfer>(
    { mLoop, "peer.pull_config", aAddress, call_kind::kRead, kPeerTimeout },
    std::move(request),
    [this, stub = mStubs->mCache.StubFor(aAddress)](
      auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      aContext->AddMetadata(kSecretHeader, mSecret);
      stub->async()->PullConfig(aContext, aIn, aOut, std::move(aFinish));
    },
    [done = std::move(aDone)](const result<peer::ConfigTransfer>& aReply) {
      if (!aReply) {
        done(tl::unexpected<error>(aReply.error()));
        return;
      }
      done(config_transfer{ aReply->version(), aReply->is_patch(), aReply->text() });
    });
}

void grpc_peers::OnForward(const std::string& aAddress,
                           const forwarded_call& aCall,
                           port_done<forwarded_answer> aDone)
{
  CallUnary<peer::Call, peer::Answer>(
    { mLoop, "peer.forward", aAddress, call_kind::kWrite, aCall.mTimeout },
    ToMessage(aCall),
    [this, stub = mStubs->mCache.StubFor(aAddress)](
      auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      aContext->AddMetadata(kSecretHeader, mSecret);
      stub->async()->Forward(aContext, aIn, aOut, std::move(aFinish));
    },
    [done = std::move(aDone)](const result<peer::Answer>& aReply) {
      if (!aReply) {
        done(tl::unexpected<error>(aReply.error()));
        return;
      }
      done(forwarded_answer{ aReply->status(), aReply->body() });
    });
}

void grpc_peers::OnReport(const std::string& aAddress,
                          const worker_status_report& aStatuses,
                          port_done<call_ack> aDone)
{
  CallUnary<peer::WorkerStatuses, peer::Empty>(
    { mLoop, "peer.report", aAddress, call_kind::kWrite, kPeerTimeout },
    ToMessage(aStatuses),
    [this, stub = mStubs->mCache.StubFor(aAddress)](
      auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      aContext->AddMetadata(kSecretHeader, mSecret);
      stub->async()->Report(aContext, aIn, aOut, std::move(aFinish));
    },
    [done = std::move(aDone)](const result<peer::Empty>& aReply) {
      if (!aReply) {
        done(tl::unexpected<error>(aReply.error()));
        return;
      }
      done(call_ack{});
    });
}

void grpc_peers::OnVersionInForce(const std::string& aAddress,
                                  port_done<uint64_t> aDone)
{
  CallUnary<peer::Empty, peer::VersionReply>(
    { mLoop, "peer.version", aAddress, call_kind::kRead, kPeerTimeout },
    peer::Empty(),
    [this, stub = mStubs->mCache.StubFor(aAddress)](
      auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      aContext->AddMetadata(kSecretHeader, mSecret);
      stub->async()->VersionInForce(aContext, aIn, aOut, std::move(aFinish));
    },
    [done = std::move(aDone)](const result<peer::VersionReply>& aReply) {
      if (!aReply) {
        done(tl::unexpected<error>(aReply.error()));
        return;
      }
      done(aReply->version());
    });
}

// Server side

namespace {

class peer_endpoint : public peer::Peer::CallbackService
{
public:
  peer_endpoint(peer_service& aService, std::string aSecret)
    : mService(aService)
    , mSecret(std::move(aSecret))
  {
  }

  grpc::ServerUnaryReactor* Heartbeat(grpc::CallbackServerContext* aContext,
                                      const peer::State* aIn,
                                      peer::State* aOut) override
  {
    return Serve(aContext, [&] {
      *aOut = ToMessage(mService.OnPeerHeartbeat(FromMessage(*aIn)));
      return grpc::Status::OK;
    });
  }

  grpc::ServerUnaryReactor* PullConfig(grpc::CallbackServerContext* aContext,
                                       const peer::PullConfigRequest* aIn,
                                       peer::ConfigTransfer* aOut) override
  {
    return Serve(aContext, [&] {
      const auto transfer = mService.OnPeerPullConfig(aIn->from());
      aOut->set_version(transfer.mVersion);
      aOut->set_is_patch(transfer.mIsPatch);
      aOut->set_text(transfer.mText);
      return grpc::Status::OK;
    });
  }

  grpc::ServerUnaryReactor* Forward(grpc::CallbackServerContext* aContext,
                                    const peer::Call* aIn,
                                    peer::Answer* aOut) override
  {
    auto* reactor = aContext->DefaultReactor();
    if (!HasValidSecret(*aContext)) {
      reactor->Finish(PermissionDenied());
      return reactor;
    }
    mService.OnPeerForward(FromMessage(*aIn),
                           [reactor, aOut](const result<forwarded_answer>& aAnswer) {
                             if (!aAnswer) {
                               reactor->Finish(ToGrpcStatus(aAnswer.error()));
                               return;
                             }
                             aOut->set_status(aAnswer->mStatus);
                             aOut->set_body(aAnswer->mBody);
                             reactor->Finish(grpc::Status::OK);
                           });
    return reactor;
  }

  grpc::ServerUnaryReactor* Report(grpc::CallbackServerContext* aContext,
                                   const peer::WorkerStatuses* aIn,
                                   peer::Empty*) override
  {
    return Serve(aContext, [&] {
      const auto outcome = mService.OnPeerReport(FromMessage(*aIn));
      return outcome ? grpc::Status::OK : ToGrpcStatus(outcome.error());
    });
  }

  grpc::ServerUnaryReactor* VersionInForce(grpc::CallbackServerContext* aContext,
                                           const peer::Empty*,
                                           peer::VersionReply* aOut) override
  {
    return Serve(aContext, [&] {
      aOut->set_version(mService.OnPeerVersionInForce());
      return grpc::Status::OK;
    });
  }

private:
  bool HasValidSecret(const grpc::CallbackServerContext& aContext) const
  {
    const auto& metadata = aContext.client_metadata();
    const auto found = metadata.find(kSecretHeader);
    return found != metadata.end() && found->second.size() == mSecret.size() &&
           CRYPTO_memcmp(found->second.data(), mSecret.data(), mSecret.size()) == 0;
  }

  static grpc::Status PermissionDenied()
  {
    return { grpc::StatusCode::PERMISSION_DENIED, "wrong peer secret" };
  }

  template<typename Body>
  grpc::ServerUnaryReactor* Serve(grpc::CallbackServerContext* aContext,
                                  const Body& aBody)
  {
    auto* reactor = aContext->DefaultReactor();
    reactor->Finish(HasValidSecret(*aContext) ? aBody() : PermissionDenied());
    return reactor;
  }

  peer_service& mService;
  std::string mSecret;
};

} // namespace

struct grpc_peer_server::state
{
  state(peer_service& aService, const peer_security& aSecurity)
    : mEndpoint(aService, aSecurity.mSecret)
    , mCredentials(ServerCredentialsFor(aSecurity))
  {
  }

  peer_endpoint mEndpoint;
  std::shared_ptr<grpc::ServerCredentials> mCredentials;
  std::unique_ptr<grpc::Server> mServer;
};

grpc_peer_server::grpc_peer_server(peer_service& aService,
                                   const peer_security& aSecurity)
  : mState(std::make_unique<state>(aService, aSecurity))
{
}

grpc_peer_server::~grpc_peer_server() = default;

status grpc_peer_server::Listen(const std::string& aAddress)
{
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(aAddress, mState->mCredentials, &port);
  builder.RegisterService(&mState->mEndpoint);
  mState->mServer = builder.BuildAndStart();
  if (!mState->mServer || port == 0) {
    return Fail(
      error_code::kUnavailable, "peer.listen", aAddress, "the address cannot be bound");
  }
  return {};
}

void grpc_peer_server::Shutdown(duration aGrace)
{
  if (mState->mServer) {
    mState->mServer->Shutdown(std::chrono::system_clock::now() + aGrace);
  }
}

} // namespace anvildoor
