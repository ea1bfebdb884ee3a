#pragma once

#include "anvildoor/Error.h"
#include "standin/StandinSite.h"

#include <memory>

namespace anvildoor {

/**
 * Serves a stand-in site to other processes: the platform over gRPC, the upstreams and
 * the control interface over HTTP.
 */
class standin_server
{
public:
  /** The references must outlive the server. */
  standin_server(event_loop& aLoop,
                 standin_site& aSite,
                 const standin_settings& aSettings);
  ~standin_server();

  /**
   * Listens on every address of the settings; kUnavailable names the first one that
   * cannot be bound.
   */
  status Listen();

private:
  struct state;

  std::unique_ptr<state> mState;
};

} // namespace anvildoor
