#pragma once

#include "anvildoor/Error.h"
#include "standin/StandinSite.h"

#include <memory>

namespace anvildoor {

/** Offers a stand-in site to other processes: gRPC, upstreams and control over HTTP. */
class standin_server
{
public:
  /** The references must outlive the server. */
  standin_server(event_loop& aLoop,
                 standin_site& aSite,
                 const standin_settings& aSettings);
  ~standin_server();

  /** Listens on every address of the settings; kUnavailable names one that is taken. */
  status Listen();

private:
  struct state;

  std::unique_ptr<state> mState;
};

} // namespace anvildoor
