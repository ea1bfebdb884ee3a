#pragma once

#include "store/StoreClient.h"

namespace anvildoor {

/** How long a write whose answer was lost is followed up, and how often. */
struct settle_policy
{
  duration mBudget{ 4000 };
  duration mPause{ 100 };

  auto operator<=>(const settle_policy&) const = default;
};

/**
 * A conditional write whose lost answer is settled by reading the key back. The value
 * must be unique to this write. Answers with the new version, kConflict when another
 * value is there, kUnavailable when it certainly did not take effect, and
 * kUnknownEffect when the budget ran out first. aLoop and aStore must outlive the
 * call. Thread-safe.
 */
void SettledCas(event_loop& aLoop,
                store_client& aStore,
                const store_write& aWrite,
                const settle_policy& aPolicy,
                store_done<uint64_t> aDone);

} // namespace anvildoor
