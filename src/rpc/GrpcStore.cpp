#include "rpc/GrpcStore.h"

#include "platform.grpc.pb.h"
#include "rpc/ChannelCache.h"
#include "rpc/GrpcCall.h"

namespace anvildoor {

namespace {

constexpr duration kCallTimeout{ 1'000 };

std::optional<store_value> ToValue(const platform::StoreGetReply& aReply)
{
  if (!aReply.found()) {
    return std::nullopt;
  }
  return store_value{ aReply.value(), aReply.version() };
}

std::function<void(result<platform::StoreGetReply>)> MakeValueCallback(
  store_done<std::optional<store_value>> aDone)
{
  return [done = std::move(aDone)](const result<platform::StoreGetReply>& aReply) {
    if (!aReply) {
      done(tl::unexpected<error>(aReply.error()));
      return;
    }
    done(ToValue(*aReply));
  };
}

std::function<void(result<platform::StoreNumberReply>)> MakeNumberCallback(
  store_done<uint64_t> aDone)
{
  return [done = std::move(aDone)](const result<platform::StoreNumberReply>& aReply) {
    if (!aReply) {
      done(tl::unexpected<error>(aReply.error()));
      return;
    }
    done(aReply->number());
  };
}

} // namespace

struct grpc_store::connection
{
  std::shared_ptr<platform::Store::Stub> mStub;
};

grpc_store::grpc_store(event_loop& aLoop, const std::string& aAddress)
  : mLoop(aLoop)
  , mAddress(aAddress)
  , mConnection(std::make_unique<connection>())
{
  channel_cache<platform::Store> cache;
  mConnection->mStub = cache.StubFor(aAddress);
}

grpc_store::~grpc_store() = default;

void grpc_store::OnGet(const std::string& aKey,
                       store_done<std::optional<store_value>> aDone)
{
  platform::StoreGetRequest request;
  request.set_key(aKey);
  CallUnary<platform::StoreGetRequest, platform::StoreGetReply>(
    { mLoop, "store.get", mAddress, call_kind::kRead, kCallTimeout },
    std::move(request),
    [stub = mConnection->mStub](auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->Get(aContext, aIn, aOut, std::move(aFinish));
    },
    MakeValueCallback(std::move(aDone)));
}

void grpc_store::OnCas(const store_write& aWrite, store_done<uint64_t> aDone)
{
  platform::StoreCasRequest request;
  request.set_key(aWrite.mKey);
  request.set_value(aWrite.mValue);
  request.set_expected_version(aWrite.mExpectedVersion);
  request.set_lease(aWrite.mLease);
  CallUnary<platform::StoreCasRequest, platform::StoreNumberReply>(
    { mLoop, "store.cas", mAddress, call_kind::kWrite, kCallTimeout },
    std::move(request),
    [stub = mConnection->mStub](auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->Cas(aContext, aIn, aOut, std::move(aFinish));
    },
    MakeNumberCallback(std::move(aDone)));
}

void grpc_store::OnRemove(const std::string& aKey,
                          uint64_t aVersion,
                          store_done<uint64_t> aDone)
{
  platform::StoreRemoveRequest request;
  request.set_key(aKey);
  request.set_version(aVersion);
  CallUnary<platform::StoreRemoveRequest, platform::StoreNumberReply>(
    { mLoop, "store.remove", mAddress, call_kind::kWrite, kCallTimeout },
    std::move(request),
    [stub = mConnection->mStub](auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->Remove(aContext, aIn, aOut, std::move(aFinish));
    },
    MakeNumberCallback(std::move(aDone)));
}

void grpc_store::OnList(const std::string& aPrefix,
                        store_done<std::vector<store_entry>> aDone)
{
  platform::StoreListRequest request;
  request.set_prefix(aPrefix);
  CallUnary<platform::StoreListRequest, platform::StoreListReply>(
    { mLoop, "store.list", mAddress, call_kind::kRead, kCallTimeout },
    std::move(request),
    [stub = mConnection->mStub](auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->List(aContext, aIn, aOut, std::move(aFinish));
    },
    [done = std::move(aDone)](const result<platform::StoreListReply>& aReply) {
      if (!aReply) {
        done(tl::unexpected<error>(aReply.error()));
        return;
      }
      std::vector<store_entry> entries;
      for (const auto& entry : aReply->entries()) {
        entries.push_back({ entry.key(), { entry.value(), entry.version() } });
      }
      done(std::move(entries));
    });
}

void grpc_store::OnWatch(const std::string& aKey,
                         uint64_t aKnownVersion,
                         duration aWait,
                         store_done<std::optional<store_value>> aDone)
{
  platform::StoreWatchRequest request;
  request.set_key(aKey);
  request.set_known_version(aKnownVersion);
  request.set_wait_ms(aWait.count());
  CallUnary<platform::StoreWatchRequest, platform::StoreGetReply>(
    { mLoop, "store.watch", mAddress, call_kind::kRead, aWait + kCallTimeout },
    std::move(request),
    [stub = mConnection->mStub](auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->Watch(aContext, aIn, aOut, std::move(aFinish));
    },
    MakeValueCallback(std::move(aDone)));
}

void grpc_store::OnGrantLease(duration aTtl, store_done<uint64_t> aDone)
{
  platform::StoreLeaseRequest request;
  request.set_ttl_ms(aTtl.count());
  CallUnary<platform::StoreLeaseRequest, platform::StoreNumberReply>(
    { mLoop, "store.grant_lease", mAddress, call_kind::kWrite, kCallTimeout },
    std::move(request),
    [stub = mConnection->mStub](auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->GrantLease(aContext, aIn, aOut, std::move(aFinish));
    },
    MakeNumberCallback(std::move(aDone)));
}

void grpc_store::OnRenewLease(uint64_t aLease, store_done<uint64_t> aDone)
{
  platform::StoreLeaseRequest request;
  request.set_lease(aLease);
  CallUnary<platform::StoreLeaseRequest, platform::StoreNumberReply>(
    { mLoop, "store.renew_lease", mAddress, call_kind::kWrite, kCallTimeout },
    std::move(request),
    [stub = mConnection->mStub](auto* aContext, auto* aIn, auto* aOut, auto aFinish) {
      stub->async()->RenewLease(aContext, aIn, aOut, std::move(aFinish));
    },
    MakeNumberCallback(std::move(aDone)));
}

} // namespace anvildoor
