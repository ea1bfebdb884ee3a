#pragma once

#include "runs/RunPort.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvildoor {

/** An end that a worker has taken note of as acknowledged. */
struct end_note
{
  std::string mJob;
  duration mWaited{ 0 }; ///< Since the first list that showed the end.
  /** How long the worker had not answered before that list; nothing: unknown. */
  std::optional<duration> mSilence;

  auto operator<=>(const end_note&) const = default;
};

/**
 * Measures how long the ends that one worker lists wait until a hold acknowledges them.
 * Reads no clock; not thread-safe.
 */
class end_notes
{
public:
  /**
   * Applies an accepted reply to a hold that acknowledged all ends up to aAcknowledged.
   * aNotedAt: when the hold has reached the worker; aNow: when the reply has arrived;
   * aSilence: how long the worker had not answered before. Returns the ends that the
   * hold has acknowledged.
   */
  std::vector<end_note> OnHoldReply(const hold_reply& aReply,
                                    uint64_t aAcknowledged,
                                    time_point aNotedAt,
                                    time_point aNow,
                                    std::optional<duration> aSilence);

  /** Forgets all ends, as those of a worker that is given up. */
  void Forget() { mListed.clear(); }

private:
  struct listed_end
  {
    std::string mJob;
    time_point mListedAt{ 0 };
    std::optional<duration> mSilence;
  };

  int64_t mWorkerStartedAtMs = 0;
  std::map<uint64_t, listed_end> mListed; ///< Ends not acknowledged yet, by number.
};

} // namespace anvildoor
