#pragma once

#include "base/EventLoop.h"

namespace anvildoor {

/** Until when the scheduler of a term may do what with requests to workers. */
struct request_limits
{
  /**
   * The earliest time at which the term's lease at the store can end, as far as is
   * known. A hold requests no lease of a worker that lasts longer than one from then.
   */
  time_point mLeaseEnd{ 0 };
  time_point mSendUntil{ 0 }; ///< Until when requests may be sent.

  auto operator<=>(const request_limits&) const = default;
};

} // namespace anvildoor
