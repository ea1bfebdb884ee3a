#include "entry/JobReply.h"

namespace anvildoor {

const char* ToString(job_answer aAnswer)
{
  static constexpr const char* kNames[] = { "accepted",    "not_accepted", "overloaded",
                                            "unknown",     "not_found",    "forbidden",
                                            "unavailable", "unconfirmed" };
  return kNames[static_cast<size_t>(aAnswer)];
}

} // namespace anvildoor
