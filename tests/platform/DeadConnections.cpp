#include "DeadConnections.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace anvildoor {

void dead_connections::Serve(const std::string& aPort,
                             const server_request& aRequest,
                             const single_thread_server::respond& aRespond,
                             const single_thread_server::handler& aServe)
{
  const auto connection = aRequest.mConnection;
  auto& numbers = mPorts[aPort];
  numbers.mLastUsed = std::max(numbers.mLastUsed, connection);
  if (IsDead(aPort, connection)) {
    return;
  }
  aServe(aRequest, [this, aPort, connection, aRespond](const server_reply& aReply) {
    if (!IsDead(aPort, connection)) {
      aRespond(aReply);
    }
  });
}

bool dead_connections::ServeControl(const server_request& aRequest,
                                    const single_thread_server::respond& aRespond)
{
  if (aRequest.mTarget != "/kill-connections") {
    return false;
  }
  const auto body = nlohmann::json::parse(aRequest.mBody);
  for (const auto& port : body.at("ports")) {
    auto& numbers = mPorts[port.get<std::string>()];
    numbers.mLastDead = numbers.mLastUsed;
  }
  server_reply reply;
  reply.mBody = "{}";
  aRespond(reply);
  return true;
}

bool dead_connections::IsDead(const std::string& aPort, uint64_t aConnection) const
{
  const auto found = mPorts.find(aPort);
  return found != mPorts.end() && aConnection <= found->second.mLastDead;
}

} // namespace anvildoor
