#include "rpc/GrpcCall.h"

#include <array>

namespace anvildoor {

namespace {

constexpr std::array kErrorCodes{ error_code::kInvalid,       error_code::kNotFound,
                                  error_code::kConflict,      error_code::kUnavailable,
                                  error_code::kUnknownEffect, error_code::kFenced,
                                  error_code::kRefused,       error_code::kExhausted };

grpc::StatusCode ToGrpcCode(error_code aCode)
{
  switch (aCode) {
    case error_code::kInvalid:
      return grpc::StatusCode::INVALID_ARGUMENT;
    case error_code::kNotFound:
      return grpc::StatusCode::NOT_FOUND;
    case error_code::kConflict:
      return grpc::StatusCode::ABORTED;
    case error_code::kUnavailable:
    case error_code::kUnknownEffect:
      return grpc::StatusCode::UNAVAILABLE;
    case error_code::kFenced:
      return grpc::StatusCode::FAILED_PRECONDITION;
    case error_code::kRefused:
    case error_code::kExhausted:
      return grpc::StatusCode::RESOURCE_EXHAUSTED;
  }
  return grpc::StatusCode::UNKNOWN;
}

} // namespace

grpc::Status ToGrpcStatus(const error& aError)
{
  return { ToGrpcCode(aError.mCode), aError.mMessage, ToString(aError.mCode) };
}

error FromGrpcStatus(const grpc::Status& aStatus,
                     call_kind aKind,
                     const std::string& aStep,
                     const std::string& aPeer)
{
  // The details hold the name of the error code that the peer sent. Without it, the
  // call counts as unanswered.
  for (const auto code : kErrorCodes) {
    if (aStatus.error_details() == ToString(code)) {
      return { code, aStep, aPeer, aStatus.error_message() };
    }
  }
  const auto code =
    aKind == call_kind::kRead ? error_code::kUnavailable : error_code::kUnknownEffect;
  return { code, aStep, aPeer, aStatus.error_message() };
}

} // namespace anvildoor
