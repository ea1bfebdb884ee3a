#pragma once

#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace anvildoor {

/** Keeps one channel and stub per address. Thread-safe. */
template<typename Service>
class channel_cache
{
public:
  /**
   * aCertificateName is the name that the server's certificate must contain; "" without
   * TLS.
   */
  explicit channel_cache(std::shared_ptr<grpc::ChannelCredentials> aCredentials =
                           grpc::InsecureChannelCredentials(),
                         std::string aCertificateName = {})
    : mCredentials(std::move(aCredentials))
    , mCertificateName(std::move(aCertificateName))
  {
  }

  /** Returns the stub for an address; creates it on first use. */
  std::shared_ptr<typename Service::Stub> StubFor(const std::string& aAddress)
  {
    std::lock_guard lock(mMutex);
    auto& stub = mStubs[aAddress];
    if (!stub) {
      grpc::ChannelArguments arguments;
      arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kInitialBackoffMs);
      arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kInitialBackoffMs);
      arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMs);
      arguments.SetInt(GRPC_ARG_CLIENT_IDLE_TIMEOUT_MS, kIdleTimeoutMs);
      if (!mCertificateName.empty()) {
        arguments.SetSslTargetNameOverride(mCertificateName);
      }
      stub =
        Service::NewStub(grpc::CreateCustomChannel(aAddress, mCredentials, arguments));
    }
    return stub;
  }

private:
  static constexpr int kInitialBackoffMs = 200;
  static constexpr int kMaxBackoffMs = 1'000;
  static constexpr int kIdleTimeoutMs = 60'000;

  std::shared_ptr<grpc::ChannelCredentials> mCredentials;
  std::string mCertificateName;
  std::mutex mMutex;
  std::map<std::string, std::shared_ptr<typename Service::Stub>> mStubs;
};

} // namespace anvildoor
