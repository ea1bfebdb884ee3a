#include "http/HttpClient.h"

#include "http/ResponseLimits.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace anvildoor {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

/**
 * Runs an asynchronous operation to completion. Synchronous operations would ignore the
 * timeout of a tcp_stream.
 */
template<typename Start>
beast::error_code RunToCompletion(asio::io_context& aIo, const Start& aStart)
{
  beast::error_code outcome;
  aStart([&outcome](beast::error_code aError, auto&&...) { outcome = aError; });
  aIo.restart();
  aIo.run();
  return outcome;
}

} // namespace

result<http_reply> CallHttp(const http_call& aCall)
{
  const auto colon = aCall.mAddress.rfind(':');
  boost::system::error_code failure;
  const auto ip = asio::ip::make_address(aCall.mAddress.substr(0, colon), failure);
  if (colon == std::string::npos || failure) {
    return Fail(error_code::kInvalid, "http.call", aCall.mAddress, "expected IP:port");
  }
  const auto port =
    static_cast<uint16_t>(std::atoi(aCall.mAddress.c_str() + colon + 1));
  asio::io_context io;
  beast::tcp_stream stream(io);
  stream.expires_after(aCall.mTimeout);
  const auto connected = RunToCompletion(
    io, [&](auto aDone) { stream.async_connect(tcp::endpoint(ip, port), aDone); });
  if (connected) {
    return Fail(
      error_code::kUnavailable, "http.connect", aCall.mAddress, connected.message());
  }
  http::request<http::string_body> request;
  request.method_string(aCall.mMethod);
  request.target(aCall.mTarget);
  request.version(11);
  request.set(http::field::host, aCall.mAddress);
  for (const auto& [name, value] : aCall.mHeaders) {
    request.set(name, value);
  }
  request.body() = aCall.mBody;
  request.keep_alive(false);
  request.prepare_payload();
  const auto sent =
    RunToCompletion(io, [&](auto aDone) { http::async_write(stream, request, aDone); });
  beast::flat_buffer buffer(kMaxUnparsedResponseBytes);
  http::response<http::string_body> response;
  const auto read = RunToCompletion(
    io, [&](auto aDone) { http::async_read(stream, buffer, response, aDone); });
  if (read) {
    const auto& cause = sent ? sent : read;
    return Fail(
      error_code::kUnknownEffect, "http.answer", aCall.mAddress, cause.message());
  }
  return http_reply{ response.result_int(), response.body() };
}

} // namespace anvildoor
