#include "scheduler/TermSummary.h"

#include <nlohmann/json.hpp>

namespace anvildoor {

using nlohmann::json;

std::string EncodeSummary(const term_summary& aSummary)
{
  json text;
  text["fence"] = aSummary.mFence;
  text["records"] = aSummary.mRecords;
  return text.dump();
}

result<term_summary> DecodeSummary(const std::string& aText)
{
  try {
    const auto text = json::parse(aText);
    term_summary summary;
    summary.mFence = text.at("fence").get<uint64_t>();
    summary.mRecords = text.at("records").get<std::map<std::string, std::string>>();
    return summary;
  } catch (const json::exception& failure) {
    return Fail(error_code::kInvalid, "decode summary", "predecessor", failure.what());
  }
}

} // namespace anvildoor
