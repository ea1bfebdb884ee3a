#include "anvildoor/Daemon.h"

#include "base/Hash.h"
#include "daemon/Node.h"
#include "daemon/TbbLoop.h"
#include "http/HttpServer.h"
#include "http/HttpUpstreams.h"
#include "rpc/GrpcPeers.h"
#include "rpc/GrpcPlatform.h"
#include "rpc/GrpcStore.h"

#include <csignal>
#include <pthread.h>
#include <sstream>

namespace anvildoor {

namespace {

constexpr long kSignalPollNs = 50'000'000;

std::set<std::string> SplitDigests(const std::string& aText)
{
  std::set<std::string> digests;
  std::istringstream stream(aText);
  std::string digest;
  while (std::getline(stream, digest, ',')) {
    digests.insert(digest);
  }
  return digests;
}

sigset_t StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/** Waits briefly for a stop signal; returns whether one arrived. */
bool WaitForSignal(const sigset_t& aSignals)
{
  const timespec pause{ 0, kSignalPollNs };
  return sigtimedwait(&aSignals, nullptr, &pause) > 0;
}

} // namespace

/** All components of the daemon process, in order of construction. */
class daemon_process
{
public:
  daemon_process(const daemon_settings& aSettings, const peer_security& aSecurity)
    : mSettings(aSettings)
    , mLoop(static_cast<int>(aSettings.mThreads))
    , mStore(mLoop, aSettings.mStore)
    , mVmList(mLoop, aSettings.mVmList)
    , mWorkers(mLoop, [this](const std::string& aWorker) { return AddressOf(aWorker); })
    , mPeers(mLoop, aSecurity)
    , mUpstreams(mLoop)
    , mNode({ mLoop, mStore, mVmList, mWorkers, mPeers, mUpstreams, mLog },
            NodeSettings(aSettings, mLoop.Now()))
    , mPeerServer(mNode, aSecurity)
    , mHttp([this](const api_call& aCall,
                   api_done aDone) { mNode.Serve(aCall, std::move(aDone)); },
            HttpLimits(aSettings))
  {
  }

  status Run()
  {
    const auto signals = StopSignals();
    if (auto listening = mPeerServer.Listen(mSettings.mListenPeer); !listening) {
      return listening;
    }
    mNode.Start();
    if (auto listening = mHttp.Listen(mSettings.mListenHttp); !listening) {
      Stop();
      return listening;
    }
    mLog.Write(log_event("started")
                 .Add("vm", mSettings.mVm)
                 .Add("data_centre", mSettings.mDataCentre)
                 .Add("http", mSettings.mListenHttp)
                 .Add("peer", mSettings.mListenPeer));
    while (!WaitForSignal(signals) && !mNode.IsDraining()) {
    }
    Drain(signals);
    Stop();
    return {};
  }

private:
  static node_settings NodeSettings(const daemon_settings& aSettings, time_point aNow)
  {
    node_settings settings;
    // The start time distinguishes this process from earlier ones of the same VM.
    const auto incarnation = static_cast<uint64_t>(aNow.count());
    settings.mIdentity = {
      aSettings.mVm, incarnation, aSettings.mDataCentre, aSettings.mListenPeer
    };
    settings.mOperatorTokenHashes = SplitDigests(aSettings.mOperatorTokenDigests);
    settings.mVmListPeriod = aSettings.mVmListPeriod;
    settings.mSeed = Hash64(aSettings.mVm) ^ incarnation;
    return settings;
  }

  static http_limits HttpLimits(const daemon_settings& aSettings)
  {
    return { static_cast<size_t>(aSettings.mBodyLimitBytes),
             aSettings.mReadTimeout,
             aSettings.mIdleTimeout,
             static_cast<size_t>(aSettings.mMaxConnections) };
  }

  std::string AddressOf(const std::string& aWorker) const
  {
    return mNode.AddressOfWorker(aWorker);
  }

  /**
   * Drains the node until it is idle or mDrainGrace has passed. Keeps the listener open
   * for mDrainSettle, because the load balancer continues to send calls for a short
   * time.
   */
  void Drain(const sigset_t& aSignals)
  {
    if (!mNode.IsDraining()) {
      mNode.BeginDrain();
    }
    const auto drainStart = mLoop.Now();
    bool isAccepting = true;
    for (;;) {
      WaitForSignal(aSignals);
      const duration elapsed = mLoop.Now() - drainStart;
      if (isAccepting && elapsed >= mSettings.mDrainSettle) {
        mHttp.StopAccepting();
        isAccepting = false;
      }
      const bool isIdle = !isAccepting && mNode.IsDrained() && mHttp.Active() == 0;
      if (isIdle || elapsed >= mSettings.mDrainGrace) {
        mLog.Write(log_event("drained")
                     .Add("ms", elapsed.count())
                     .Add("complete", isIdle ? "yes" : "no"));
        return;
      }
    }
  }

  void Stop()
  {
    mPeerServer.Shutdown(duration(500));
    mHttp.Stop();
    mUpstreams.Stop();
    mLoop.Stop();
  }

  daemon_settings mSettings;
  glog_event_log mLog;
  tbb_loop mLoop;
  grpc_store mStore;
  grpc_vm_list mVmList;
  grpc_workers mWorkers;
  grpc_peers mPeers;
  http_upstreams mUpstreams;
  node mNode;
  grpc_peer_server mPeerServer;
  http_server mHttp;
};

status RunDaemon(const daemon_settings& aSettings)
{
  const auto security = LoadPeerSecurity(aSettings.mPeerSecret,
                                         aSettings.mTlsCertificate,
                                         aSettings.mTlsKey,
                                         aSettings.mTlsAuthority);
  if (!security) {
    return tl::unexpected<error>(security.error());
  }
  // Block the signals before any thread starts, so that only the main thread receives
  // them.
  const auto signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  // SIGHUP is sent when the terminal closes or a stopped process group is orphaned.
  std::signal(SIGHUP, SIG_IGN);
  // Never destroyed, because gRPC may deliver replies to it until the process exits.
  auto* process = new daemon_process(aSettings, *security);
  return process->Run();
}

} // namespace anvildoor
