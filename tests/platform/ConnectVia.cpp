/**
 * Preloaded into an entry VM by tests: connects to 127.0.0.1 go to another loopback
 * address, where data_centre_links.py forwards them by paths that can be cut.
 * ANVILDOOR_TEST_VIA is that address, a slash, and the ports that are connected to
 * directly, each followed by a comma.
 */
#include <cstdlib>
#include <cstring>
#include <string>

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace {

using connect_function = int (*)(int, const sockaddr*, socklen_t);

struct other_paths
{
  in_addr mVia{};
  std::string mDirectPorts; // Each between commas.
};

other_paths ReadPaths()
{
  other_paths paths;
  const char* text = std::getenv("ANVILDOOR_TEST_VIA");
  const std::string value = text ? text : "";
  const auto slash = value.find('/');
  if (slash == std::string::npos ||
      inet_pton(AF_INET, value.substr(0, slash).c_str(), &paths.mVia) != 1) {
    std::abort();
  }
  paths.mDirectPorts = "," + value.substr(slash + 1);
  return paths;
}

} // namespace

extern "C" int connect(int aSocket, const sockaddr* aAddress, socklen_t aLength)
{
  static const auto sConnect =
    reinterpret_cast<connect_function>(dlsym(RTLD_NEXT, "connect"));
  static const auto sPaths = ReadPaths();
  sockaddr_in address{};
  if (aAddress->sa_family != AF_INET || aLength < sizeof(address)) {
    return sConnect(aSocket, aAddress, aLength);
  }
  std::memcpy(&address, aAddress, sizeof(address));
  const auto port = "," + std::to_string(ntohs(address.sin_port)) + ",";
  if (address.sin_addr.s_addr == htonl(INADDR_LOOPBACK) &&
      sPaths.mDirectPorts.find(port) == std::string::npos) {
    address.sin_addr = sPaths.mVia;
  }
  return sConnect(
    aSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}
