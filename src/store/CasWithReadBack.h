#pragma once

#include "store/StoreClient.h"

namespace anvildoor {

/** Timing of the checks and retries of a write whose answer was lost. */
struct read_back_policy
{
  duration mBudget{ 4000 };
  duration mRetryPause{ 100 };

  auto operator<=>(const read_back_policy&) const = default;
};

/**
 * Performs a conditional write. If the answer is lost, reads the key back to find out
 * whether the write took effect. The value must be unique to this write. Returns the
 * new version, or fails with kConflict if the key holds another value, with
 * kUnavailable if the write certainly did not take effect, and with kUnknownEffect if
 * the outcome is still unknown when the time budget ends. aLoop and aStore must outlive
 * the call. Thread-safe.
 */
void CasWithReadBack(event_loop& aLoop,
                     store_client& aStore,
                     const store_write& aWrite,
                     const read_back_policy& aPolicy,
                     store_done<uint64_t> aDone);

} // namespace anvildoor
