#include "base/Hash.h"

#include "base/Hex.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace anvildoor {

uint64_t Hash64(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

std::string HexDigest(const std::string& aText)
{
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, XXH3_128bits(aText.data(), aText.size()));
  return ToHex(canonical.digest, sizeof(canonical.digest));
}

namespace {

uint64_t RendezvousWeight(const std::string& aKey, const std::string& aNode)
{
  return Hash64(std::string(aKey).append("\n").append(aNode));
}

} // namespace

std::vector<std::string> RendezvousOrder(const std::string& aKey,
                                         const std::vector<std::string>& aNodes)
{
  std::vector<std::pair<uint64_t, std::string>> weighted;
  weighted.reserve(aNodes.size());
  for (const auto& node : aNodes) {
    weighted.emplace_back(RendezvousWeight(aKey, node), node);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<std::string> order;
  order.reserve(weighted.size());
  for (auto& item : weighted) {
    order.push_back(std::move(item.second));
  }
  return order;
}

std::string RendezvousOwner(const std::string& aKey,
                            const std::vector<std::string>& aNodes)
{
  std::string owner;
  uint64_t best = 0;
  for (const auto& node : aNodes) {
    const uint64_t weight = RendezvousWeight(aKey, node);
    if (owner.empty() || std::pair(weight, node) > std::pair(best, owner)) {
      best = weight;
      owner = node;
    }
  }
  return owner;
}

} // namespace anvildoor
