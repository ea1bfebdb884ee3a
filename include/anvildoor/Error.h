#pragma once

#include <compare>
#include <string>
#include <tl/expected.hpp>

namespace anvildoor {

/** The kinds of failure that callers tell apart. */
enum class error_code
{
  kInvalid,       ///< The input is wrong and a repeat will fail as well.
  kNotFound,      ///< The named item does not exist.
  kConflict,      ///< Another change was made first.
  kUnavailable,   ///< The peer was not reached; nothing took effect.
  kUnknownEffect, ///< No answer arrived; the call may have taken effect.
  kFenced,        ///< The caller acts under an epoch that is no longer current.
  kRefused,       ///< The peer refused; nothing took effect.
  kExhausted,     ///< A limit was reached; a later repeat may succeed.
};

/** Returns the stable name of a code, as it appears in logs and answers. */
const char* ToString(error_code aCode);

/** A failure with the step and the peer at which it arose. */
struct error
{
  error_code mCode = error_code::kInvalid;
  std::string mStep;
  std::string mPeer;
  std::string mMessage;

  auto operator<=>(const error&) const = default;
};

/** Returns "step=... peer=... code=...: message". Thread-safe. */
std::string Describe(const error& aError);

template<typename T>
using result = tl::expected<T, error>;

using status = tl::expected<void, error>;

/** Builds the unexpected side of a result. Thread-safe. */
tl::unexpected<error> Fail(error_code aCode,
                           std::string aStep,
                           std::string aPeer,
                           std::string aMessage);

} // namespace anvildoor
