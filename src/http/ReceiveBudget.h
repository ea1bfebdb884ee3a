#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace anvildoor {

/** Limits on what all connections of one or more listeners may hold together. */
struct receive_limits
{
  size_t mBytes = 67'108'864;   ///< Of requests that are not answered yet.
  size_t mConnections = 16'384; ///< Open at the same time.

  auto operator<=>(const receive_limits&) const = default;
};

/** What a budget has refused since its creation. */
struct receive_refusals
{
  uint64_t mRequests = 0;    ///< Partly received requests that gave way.
  uint64_t mConnections = 0; ///< New or idle connections that were closed.

  auto operator<=>(const receive_refusals&) const = default;
};

/**
 * Decides who gives way if connections hold more than receive_limits allow. Bytes: the
 * request that has been received for longest, since a caller in calm sends its request
 * within milliseconds. Connections: the one that has been idle for longest, else the
 * request that has been received for longest, else the new one. A received request is
 * never given up, and neither is one that alone holds bytes, whatever its size. Does no
 * I/O. Not thread-safe.
 */
class receive_budget
{
public:
  using number = uint64_t;
  /** Closes a connection after the current event. Must not call the budget. */
  using give_way = std::function<void()>;

  explicit receive_budget(const receive_limits& aLimits = {});

  /**
   * Registers a connection, which is idle at first. Returns nullopt if it must be
   * closed instead. aGiveWay runs at most once, from a call of another connection, and
   * not after Close.
   */
  std::optional<number> Open(give_way aGiveWay);

  /** A request has begun to arrive. The connection must be idle. */
  void BeginRequest(number aConnection);

  /**
   * Sets the bytes that the connection holds. Returns false if it must give way itself,
   * which only happens while it receives a request; it then counts as given way.
   */
  bool Hold(number aConnection, size_t aBytes);

  /** The request has been received; its connection no longer gives way. */
  void BeginServing(number aConnection);

  /** The request has been answered; the connection holds nothing from now on. */
  void BecomeIdle(number aConnection);

  /** Forgets a connection. Does nothing if it is unknown. */
  void Close(number aConnection);

  size_t HeldBytes() const { return mHeldBytes; }
  size_t Connections() const { return mConnections.size(); }
  const receive_refusals& Refusals() const { return mRefusals; }

private:
  enum class stage
  {
    kIdle,
    kReceiving,
    kServing,
    kLeaving,
  };

  struct connection
  {
    stage mStage = stage::kIdle;
    uint64_t mSince = 0; ///< Position in the order in which stages began.
    size_t mBytes = 0;
    give_way mGiveWay;
  };

  /** The connections of one stage, those first that have been in it for longest. */
  using order = std::set<std::pair<uint64_t, number>>;

  void Enter(number aConnection, stage aStage);
  void Leave(number aConnection);
  order* OrderOf(stage aStage);

  receive_limits mLimits;
  receive_refusals mRefusals;
  std::map<number, connection> mConnections;
  order mIdle;
  order mReceiving;
  size_t mHeldBytes = 0;
  number mLastNumber = 0;
  uint64_t mLastStage = 0;
};

} // namespace anvildoor
