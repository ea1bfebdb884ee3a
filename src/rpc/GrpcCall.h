#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"

#include <chrono>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>

namespace anvildoor {

/** Selects the error code of a call that fails without an answer. */
enum class call_kind
{
  kRead,  ///< The call changes nothing: kUnavailable.
  kWrite, ///< The call may have taken effect: kUnknownEffect.
};

/** Returns the gRPC status that transmits aError to the peer. Thread-safe. */
grpc::Status ToGrpcStatus(const error& aError);

/** Converts a failed gRPC status to an error. Thread-safe. */
error FromGrpcStatus(const grpc::Status& aStatus,
                     call_kind aKind,
                     const std::string& aStep,
                     const std::string& aPeer);

/** Event loop and timeout of a call, and the step and peer named in its errors. */
struct call_target
{
  event_loop& mLoop;
  std::string mStep;
  std::string mPeer;
  call_kind mKind = call_kind::kRead;
  duration mTimeout{ 1'000 };
};

/**
 * Makes one asynchronous unary call. aStart starts it on a stub; aDone runs on the
 * event loop with the reply or the error.
 */
template<typename Request, typename Reply, typename Start>
void CallUnary(const call_target& aTarget,
               Request aRequest,
               const Start& aStart,
               std::function<void(result<Reply>)> aDone)
{
  struct call_state
  {
    grpc::ClientContext mContext;
    Request mRequest;
    Reply mReply;
  };
  auto state = std::make_shared<call_state>();
  state->mRequest = std::move(aRequest);
  state->mContext.set_deadline(std::chrono::system_clock::now() + aTarget.mTimeout);
  auto finish = [state,
                 &loop = aTarget.mLoop,
                 step = aTarget.mStep,
                 peer = aTarget.mPeer,
                 kind = aTarget.mKind,
                 done = std::move(aDone)](const grpc::Status& aStatus) {
    loop.Post([state, aStatus, step, peer, kind, done] {
      if (aStatus.ok()) {
        done(std::move(state->mReply));
        return;
      }
      done(tl::unexpected<error>(FromGrpcStatus(aStatus, kind, step, peer)));
    });
  };
  aStart(&state->mContext, &state->mRequest, &state->mReply, std::move(finish));
}

} // namespace anvildoor
