#include "entry/PeerApi.h"

#include <charconv>
#include <cstdlib>

namespace anvildoor {

namespace {

const std::string kStatePath = "/state/";
const std::string kPendingPath = "/pending/";
const std::string kSummaryPath = "/term-summary/";
const std::string kCancelledPath = "/cancelled/";
const std::string kSettledPath = "/cancel-settled/";
/** Body of the answer of a scheduler that has settled a cancellation. */
const std::string kSettledText = "settled";
/** The same if it has only applied it; a caller takes any other text for this one. */
const std::string kAppliedText = "applied";
/**
 * A peer in another data centre answers within milliseconds. After this time the caller
 * falls back to the store or to a cached count.
 */
constexpr duration kPeerTimeout{ 400 };
/** A takeover waits for the summary at most this long. */
constexpr duration kSummaryTimeout{ 150 };
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kNotScheduler = 421;

pooled_call MakeCall(const std::string& aAddress, const std::string& aTarget)
{
  pooled_call call;
  call.mAddress = aAddress;
  call.mTarget = aTarget;
  call.mTimeout = kPeerTimeout;
  call.mIdempotent = true;
  return call;
}

tl::unexpected<error> PeerError(const result<pooled_response>& aAnswer,
                                const char* aStep)
{
  if (!aAnswer) {
    return tl::unexpected<error>(aAnswer.error());
  }
  return Fail(error_code::kUnavailable,
              aStep,
              "scheduler",
              "status " + std::to_string(aAnswer->mStatus));
}

std::optional<uint64_t> ParsePositive(const std::string& aText)
{
  uint64_t number = 0;
  const auto* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  const bool isValid = parsed.ec == std::errc() && parsed.ptr == end && number != 0;
  return isValid ? std::optional<uint64_t>(number) : std::nullopt;
}

/** Parses "JOB/REVISION". */
std::optional<std::pair<std::string, uint64_t>> ParseMark(const std::string& aText)
{
  const auto slash = aText.find('/');
  const auto revision =
    slash == std::string::npos ? std::nullopt : ParsePositive(aText.substr(slash + 1));
  if (!revision) {
    return std::nullopt;
  }
  return std::pair(aText.substr(0, slash), *revision);
}

/** Passes on the body of the answer, or nothing if the peer does not know of it. */
void CallForText(http_pool& aPool,
                 const pooled_call& aCall,
                 const char* aStep,
                 peer_query::done<std::string> aDone)
{
  aPool.Call(aCall,
             [aStep, done = std::move(aDone)](const result<pooled_response>& aAnswer) {
               if (aAnswer && aAnswer->mStatus == kOk) {
                 done(std::optional<std::string>(aAnswer->mBody));
               } else if (aAnswer && aAnswer->mStatus == kNotFound) {
                 done(std::optional<std::string>());
               } else {
                 done(PeerError(aAnswer, aStep));
               }
             });
}

} // namespace

void peer_api::Serve(const server_request& aRequest,
                     const single_thread_server::respond& aRespond) const
{
  server_reply reply;
  reply.mContentType = "text/plain";
  const auto& target = aRequest.mTarget;
  const auto& scheduler = mNode.Scheduler();
  if (target.compare(0, kSettledPath.size(), kSettledPath) == 0) {
    AwaitCancellation(target.substr(kSettledPath.size()), aRespond);
    return;
  }
  if (target.compare(0, kSummaryPath.size(), kSummaryPath) == 0) {
    reply = SummaryFor(target.substr(kSummaryPath.size()));
  } else if (target.compare(0, kCancelledPath.size(), kCancelledPath) == 0) {
    reply = ApplyCancellation(target.substr(kCancelledPath.size()));
  } else if (!scheduler.Active()) {
    reply.mStatus = kNotScheduler;
  } else if (target.compare(0, kStatePath.size(), kStatePath) == 0) {
    const auto state = scheduler.StateOf(target.substr(kStatePath.size()));
    reply.mStatus = state ? kOk : kNotFound;
    reply.mBody = state.value_or("");
  } else if (target.compare(0, kPendingPath.size(), kPendingPath) == 0) {
    const auto count = scheduler.PendingOf(target.substr(kPendingPath.size()));
    reply.mStatus = count ? kOk : kNotScheduler;
    reply.mBody = count ? std::to_string(*count) : "";
  } else {
    reply.mStatus = kNotFound;
  }
  aRespond(reply);
}

server_reply peer_api::SummaryFor(const std::string& aFence) const
{
  server_reply reply;
  reply.mContentType = "application/json";
  const auto fence = ParsePositive(aFence);
  if (!fence) {
    reply.mStatus = kBadRequest;
    return reply;
  }
  const auto summary = mNode.SummaryForSuccessor(*fence);
  reply.mStatus = summary ? kOk : kNotFound;
  reply.mBody = summary ? EncodeSummary(*summary) : "";
  return reply;
}

server_reply peer_api::ApplyCancellation(const std::string& aArguments) const
{
  server_reply reply;
  reply.mContentType = "text/plain";
  const bool isScheduler = mNode.Scheduler().Active();
  const auto mark = ParseMark(aArguments);
  if (!mark) {
    reply.mStatus = isScheduler ? kBadRequest : kNotScheduler;
    return reply;
  }
  const bool isApplied = mNode.ObserveCancellation(mark->first, mark->second);
  const auto refusal = isScheduler ? kNotFound : kNotScheduler;
  reply.mStatus = isApplied ? kOk : refusal;
  return reply;
}

void peer_api::AwaitCancellation(const std::string& aArguments,
                                 const single_thread_server::respond& aRespond) const
{
  auto reply = ApplyCancellation(aArguments);
  const auto mark = ParseMark(aArguments);
  if (reply.mStatus != kOk || !mark) {
    aRespond(reply);
    return;
  }
  mNode.AwaitCancellation(mark->first,
                          mark->second,
                          peer_query::kMaxSettlementWait,
                          [reply, aRespond](cancel_progress aProgress) {
                            auto answer = reply;
                            if (aProgress == cancel_progress::kNotApplied) {
                              answer.mStatus = kNotScheduler;
                            } else {
                              answer.mBody = aProgress == cancel_progress::kSettled
                                               ? kSettledText
                                               : kAppliedText;
                            }
                            aRespond(answer);
                          });
}

void http_peer_query::OnStateOf(const std::string& aAddress,
                                const std::string& aJob,
                                done<std::string> aDone)
{
  CallForText(
    mPool, MakeCall(aAddress, kStatePath + aJob), "get job state", std::move(aDone));
}

void http_peer_query::OnPendingOf(const std::string& aAddress,
                                  const std::string& aQueue,
                                  done<size_t> aDone)
{
  mPool.Call(MakeCall(aAddress, kPendingPath + aQueue),
             [done = std::move(aDone)](const result<pooled_response>& aAnswer) {
               if (aAnswer && aAnswer->mStatus == kOk) {
                 const auto count = std::strtoull(aAnswer->mBody.c_str(), nullptr, 10);
                 done(std::optional<size_t>(count));
               } else {
                 done(PeerError(aAnswer, "get pending count"));
               }
             });
}

void http_peer_query::OnSummaryOf(const std::string& aAddress,
                                  uint64_t aFence,
                                  done<std::string> aDone)
{
  auto call = MakeCall(aAddress, kSummaryPath + std::to_string(aFence));
  call.mTimeout = kSummaryTimeout;
  CallForText(mPool, call, "get term summary", std::move(aDone));
}

void http_peer_query::OnNotifyOfCancellation(const std::string& aAddress,
                                             const std::string& aJob,
                                             uint64_t aRevision,
                                             done<std::string> aDone)
{
  auto call =
    MakeCall(aAddress, kCancelledPath + aJob + "/" + std::to_string(aRevision));
  call.mMethod = "POST";
  CallForText(mPool, call, "notify of cancellation", std::move(aDone));
}

void http_peer_query::OnAwaitCancellation(const std::string& aAddress,
                                          const std::string& aJob,
                                          uint64_t aRevision,
                                          done<cancel_progress> aDone)
{
  auto call = MakeCall(aAddress, kSettledPath + aJob + "/" + std::to_string(aRevision));
  call.mMethod = "POST";
  const auto decode = [done = std::move(aDone)](
                        const result<std::optional<std::string>>& aText) {
    done(aText.map([](const std::optional<std::string>& aFound) {
      return aFound ? std::optional(*aFound == kSettledText ? cancel_progress::kSettled
                                                            : cancel_progress::kApplied)
                    : std::nullopt;
    }));
  };
  CallForText(mPool, call, "await cancellation", decode);
}

} // namespace anvildoor
