#pragma once

#include "base/EventLoop.h"
#include "base/Metrics.h"
#include "config/ConfigController.h"
#include "routing/RequestFilter.h"

#include <array>
#include <map>
#include <mutex>
#include <string>

namespace anvildoor {

/**
 * Enforces per-workspace limits on requests in flight and requests per second.
 * Requests over a limit are rejected immediately with a retry delay. Workspaces are
 * sharded to reduce lock contention. Thread-safe.
 */
class admission_filter : public request_filter
{
public:
  /** Returns the number of VMs that currently share the limits (>= 1). */
  using live_vm_counter = std::function<size_t()>;

  /** The references must outlive the filter. */
  admission_filter(event_loop& aLoop,
                   config_controller& aConfig,
                   metrics& aMetrics,
                   live_vm_counter aCountLiveVms);

  /** Returns the number of requests in flight. */
  size_t InFlightCount() const;

protected:
  void OnHandle(const shared_request& aRequest, answer_done aDone) override;

private:
  struct usage
  {
    int64_t mInFlight = 0;
    double mRateTokens = 0.0;
    time_point mRefilledAt{};
    bool mInitialised = false;
  };
  struct shard
  {
    mutable std::mutex mMutex;
    std::map<std::string, usage> mUsage;
  };
  static constexpr size_t kShardCount = 16;

  shard& ShardOf(const std::string& aWorkspace);
  bool TryAdmit(const request_spec& aSpec, request_answer& aRefusal);
  void FinishRequest(const std::string& aWorkspace);

  event_loop& mLoop;
  config_controller& mConfig;
  metrics& mMetrics;
  live_vm_counter mCountLiveVms;
  std::array<shard, kShardCount> mShards;
};

} // namespace anvildoor
