#pragma once

#include "routing/UpstreamPort.h"

#include <memory>
#include <string>

namespace anvildoor {

/**
 * Upstreams over HTTP/1.1: POST /execute with the headers X-Request-Id, X-Workspace,
 * X-Class and X-Deadline-Ms. The header "X-Leaving: 1" in an answer says that the
 * upstream takes no new work. Thread-safe.
 */
class http_upstreams : public upstream_port
{
public:
  /** aLoop must outlive the object. */
  explicit http_upstreams(event_loop& aLoop);
  ~http_upstreams() override;

  /** Ends everything and waits for the thread. */
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
