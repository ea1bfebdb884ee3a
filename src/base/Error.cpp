#include "anvildoor/Error.h"

#include <utility>

namespace anvildoor {

const char* ToString(error_code aCode)
{
  switch (aCode) {
    case error_code::kInvalid:
      return "invalid";
    case error_code::kNotFound:
      return "not_found";
    case error_code::kConflict:
      return "conflict";
    case error_code::kUnavailable:
      return "unavailable";
    case error_code::kUnknownEffect:
      return "unknown_effect";
    case error_code::kFenced:
      return "fenced";
    case error_code::kRefused:
      return "refused";
    case error_code::kExhausted:
      return "exhausted";
  }
  return "invalid";
}

std::string Describe(const error& aError)
{
  return "step=" + aError.mStep + " peer=" + aError.mPeer +
         " code=" + ToString(aError.mCode) + ": " + aError.mMessage;
}

tl::unexpected<error> Fail(error_code aCode,
                           std::string aStep,
                           std::string aPeer,
                           std::string aMessage)
{
  return tl::unexpected<error>(
    error{ aCode, std::move(aStep), std::move(aPeer), std::move(aMessage) });
}

} // namespace anvildoor
