#pragma once

#include "routing/Request.h"
#include "store/SettledCas.h"
#include "store/SharedLease.h"
#include "store/StoreClient.h"

#include <atomic>
#include <functional>
#include <string>

namespace anvildoor {

/** What a key's claim says. */
enum class claim_state
{
  kMine,        ///< This call holds the claim and may dispatch.
  kAnswered,    ///< The first request with the key has its answer.
  kElsewhere,   ///< The first request is under way at another process.
  kMismatch,    ///< The key was used with another body.
  kUnavailable, ///< The store did not settle it; nothing may be dispatched.
};

/** A claim as found or made. */
struct claim
{
  claim_state mState = claim_state::kUnavailable;
  std::string mStoreKey;
  uint64_t mVersion = 0;
  std::string mOwner; ///< The process that holds it.
  std::string mBodyHash;
  request_answer mAnswer;

  auto operator<=>(const claim&) const = default;
};

/**
 * Durable claims on idempotency keys, in the platform's store. A claim is made before
 * the request is dispatched and kept for a day, so that a key runs at most once at any
 * VM. Thread-safe.
 */
class claim_table
{
public:
  using claim_done = std::function<void(const claim&)>;

  /** The references must outlive the table. aOwner is unique to this process. */
  claim_table(event_loop& aLoop, store_client& aStore, std::string aOwner);

  /** Claims a key, or tells what is known of it. */
  void Claim(const request_spec& aSpec, claim_done aDone);

  /** Reads a claim that was found elsewhere; claims the key if it was given up. */
  void Look(const request_spec& aSpec, claim_done aDone);

  /** Keeps the answer, completed or unknown, with the claim; goes on trying for as long
   * as that takes. */
  void Keep(const claim& aClaim, const request_answer& aAnswer);

  /** Gives up a claim whose request provably did not run. */
  void Release(const claim& aClaim);

private:
  void Write(const request_spec& aSpec, uint64_t aLease, claim_done aDone);
  void Read(const claim& aMine, claim_done aDone);

  event_loop& mLoop;
  store_client& mStore;
  std::string mOwner;
  shared_lease mLease;
  std::atomic<uint64_t> mNonce{ 0 };
};

} // namespace anvildoor
