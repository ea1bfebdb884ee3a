#pragma once

#include "routing/UpstreamPort.h"

#include <memory>
#include <string>

namespace anvildoor {

/**
 * Sends requests to upstreams over HTTP/1.1: POST /execute with the headers
 * X-Request-Id, X-Workspace, X-Class and X-Deadline-Ms. An upstream that accepts no new
 * work adds the header "X-Leaving: 1" to its responses. Thread-safe.
 */
class http_upstreams : public upstream_port
{
public:
  /** aLoop must outlive the object. */
  explicit http_upstreams(event_loop& aLoop);
  ~http_upstreams() override;

  /** Stops all I/O and joins the thread. */
  void Stop();

protected:
  void OnExecute(const std::string& aAddress,
                 const upstream_call& aCall,
                 done aDone) override;

private:
  struct state;

  std::shared_ptr<state> mState;
};

} // namespace anvildoor
