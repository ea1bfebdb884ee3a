#include "scheduler/TermSummary.h"

#include <nlohmann/json.hpp>

namespace anvildoor {

using nlohmann::json;

std::string EncodeSummary(const term_summary& aSummary)
{
  json leases = json::object();
  for (const auto& [worker, left] : aSummary.mLeasesLeft) {
    leases[worker] = left.count();
  }
  return json{
    { "fence", aSummary.mFence },
    { "records", aSummary.mRecords },
    { "leases_left_ms", leases }
  }.dump();
}

result<term_summary> DecodeSummary(const std::string& aText)
{
  try {
    const auto text = json::parse(aText);
    term_summary summary;
    summary.mFence = text.at("fence").get<uint64_t>();
    summary.mRecords = text.at("records").get<std::map<std::string, std::string>>();
    for (const auto& [worker, left] : text.at("leases_left_ms").items()) {
      const auto ms = left.get<int64_t>();
      if (ms < 0) {
        return Fail(error_code::kInvalid, "decode summary", worker, "negative lease");
      }
      summary.mLeasesLeft[worker] = duration(ms);
    }
    return summary;
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalid, "decode summary", "predecessor", failure.what());
  }
}

} // namespace anvildoor
