#include "base/Address.h"

#include <arpa/inet.h>
#include <cstdint>
#include <cstdlib>

namespace anvildoor {

bool IsAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  constexpr int64_t kMaxPort = 65'535;
  char* end = nullptr;
  const auto port = std::strtoll(aText.c_str() + colon + 1, &end, 10);
  in_addr parsed{};
  return inet_pton(AF_INET, aText.substr(0, colon).c_str(), &parsed) == 1 &&
         *end == '\0' && port > 0 && port <= kMaxPort;
}

} // namespace anvildoor
