#pragma once

#include "http/SingleThreadServer.h"

#include <cstdint>
#include <map>
#include <string>

namespace anvildoor {

/**
 * Connections to the stand-in's ports that are dead for good, as a link leaves them
 * that has forgotten them: nothing that is sent on them arrives, in either direction.
 * Not thread-safe.
 */
class dead_connections
{
public:
  /**
   * Serves a request to aPort by aServe, unless its connection is dead. An answer that
   * is due after its connection died is not sent.
   */
  void Serve(const std::string& aPort,
             const server_request& aRequest,
             const single_thread_server::respond& aRespond,
             const single_thread_server::handler& aServe);

  /**
   * Serves POST /kill-connections: all connections on which one of `ports` has been
   * sent a request so far are dead from now on. Returns false, without an answer, if
   * aRequest is for something else.
   */
  bool ServeControl(const server_request& aRequest,
                    const single_thread_server::respond& aRespond);

private:
  struct connection_numbers
  {
    uint64_t mLastUsed = 0;
    uint64_t mLastDead = 0;
  };

  bool IsDead(const std::string& aPort, uint64_t aConnection) const;

  std::map<std::string, connection_numbers> mPorts;
};

} // namespace anvildoor
