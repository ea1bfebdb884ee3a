#pragma once

#include <compare>
#include <string>
#include <tl/expected.hpp>

namespace anvildoor {

/** The kinds of failure that callers distinguish. */
enum class error_code
{
  kInvalid,       ///< The input is invalid; a retry will fail as well.
  kNotFound,      ///< The named item does not exist.
  kConflict,      ///< Another change took effect first.
  kUnavailable,   ///< The peer was not reached; nothing took effect.
  kUnknownEffect, ///< No answer arrived; the call may have taken effect.
  kFenced,        ///< The caller's epoch is no longer current.
  kRefused,       ///< The peer refused; nothing took effect.
  kExhausted,     ///< A limit was reached; a later retry may succeed.
};

/** Returns the stable name of a code, as it appears in logs and responses. */
const char* ToString(error_code aCode);

/** A failure, with the step and the peer at which it occurred. */
struct error
{
  error_code mCode = error_code::kInvalid;
  std::string mStep;
  std::string mPeer; ///< The peer, or the file or field at fault.
  std::string mMessage;

  auto operator<=>(const error&) const = default;
};

/** Returns "step=... peer=... code=...: message". Thread-safe. */
std::string Describe(const error& aError);

template<typename T>
using result = tl::expected<T, error>;

using status = tl::expected<void, error>;

/** Returns an error for use as a result or status. Thread-safe. */
tl::unexpected<error> Fail(error_code aCode,
                           std::string aStep,
                           std::string aPeer,
                           std::string aMessage);

} // namespace anvildoor
