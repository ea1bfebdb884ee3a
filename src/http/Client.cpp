#include "anvildoor/Client.h"

#include "http/HttpClient.h"

namespace anvildoor {

client::client(std::vector<std::string> aServers, std::string aToken)
  : mServers(std::move(aServers))
  , mToken(std::move(aToken))
{
}

result<client> client::Make(std::vector<std::string> aServers, std::string aToken)
{
  if (aServers.empty()) {
    return Fail(
      error_code::kInvalid, "client", "servers", "the list of servers is empty");
  }
  for (const auto& server : aServers) {
    if (server.find(':') == std::string::npos) {
      return Fail(error_code::kInvalid, "client", server, "expected IP:port");
    }
  }
  return client(std::move(aServers), std::move(aToken));
}

result<client_reply> client::Call(const client_call& aCall, duration aTimeout) const
{
  result<client_reply> last =
    Fail(error_code::kUnavailable, "client", "", "no server was tried");
  for (const auto& server : mServers) {
    http_call call{ server, aCall.mMethod, aCall.mTarget, aCall.mBody, {}, aTimeout };
    call.mHeaders["Authorization"] = "Bearer " + mToken;
    if (!aCall.mIdempotencyKey.empty()) {
      call.mHeaders["Idempotency-Key"] = aCall.mIdempotencyKey;
    }
    if (!aCall.mIfMatch.empty()) {
      call.mHeaders["If-Match"] = aCall.mIfMatch;
    }
    const auto reply = CallHttp(call);
    if (reply) {
      return client_reply{ reply->mStatus, reply->mBody };
    }
    last = tl::unexpected<error>(reply.error());
    if (reply.error().mCode != error_code::kUnavailable) {
      break;
    }
  }
  return last;
}

} // namespace anvildoor
