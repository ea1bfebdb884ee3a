#include "base/Sha256.h"

#include "base/Hex.h"

#include <array>
#include <openssl/sha.h>

namespace anvildoor {

std::string Sha256Hex(const std::string& aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(
    reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest.data());
  return ToHex(digest.data(), digest.size());
}

} // namespace anvildoor
