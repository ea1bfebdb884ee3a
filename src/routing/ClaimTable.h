#pragma once

#include "routing/Request.h"
#include "store/CasWithReadBack.h"
#include "store/SharedLease.h"
#include "store/StoreClient.h"

#include <atomic>
#include <functional>
#include <string>

namespace anvildoor {

/** The state of the claim on a key. */
enum class claim_state
{
  kAcquired,    ///< This call owns the claim and may dispatch.
  kAnswered,    ///< The first request with the key was answered.
  kInProgress,  ///< The first request with the key has no answer yet.
  kMismatch,    ///< The key was already used with a different body.
  kUnavailable, ///< The store did not confirm the claim; do not dispatch.
};

/** A claim on a key, either created or read from the store. */
struct claim
{
  claim_state mState = claim_state::kUnavailable;
  std::string mStoreKey;
  uint64_t mVersion = 0;
  std::string mOwner; ///< The process that created the claim.
  std::string mBodyHash;
  request_answer mAnswer;

  auto operator<=>(const claim&) const = default;
};

/**
 * Durable claims on idempotency keys in the platform's store. A claim is created before
 * the request is dispatched and kept for a day, so that a non-idempotent request runs
 * at most once across all VMs. Thread-safe.
 */
class claim_table
{
public:
  using claim_done = std::function<void(const claim&)>;

  /** The references must outlive the table. aOwner is unique to this process. */
  claim_table(event_loop& aLoop, store_client& aStore, std::string aOwner);

  /** Claims a key, or returns the existing claim. */
  void Claim(const request_spec& aSpec, claim_done aDone);

  /** Reads an existing claim again; claims the key if it was released. */
  void ReadOrClaim(const request_spec& aSpec, claim_done aDone);

  /**
   * Stores a completed or unknown answer in the claim. Retries until the write succeeds
   * or the claim has changed.
   */
  void StoreAnswer(const claim& aClaim, const request_answer& aAnswer);

  /** Releases a claim whose request certainly did not run. */
  void Release(const claim& aClaim);

private:
  void WriteClaim(const request_spec& aSpec, uint64_t aLease, claim_done aDone);
  void ReadClaim(const claim& aNewClaim, claim_done aDone);

  event_loop& mLoop;
  store_client& mStore;
  std::string mOwner;
  shared_lease mLease;
  std::atomic<uint64_t> mNonce{ 0 };
};

} // namespace anvildoor
