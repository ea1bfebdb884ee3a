#include "runs/EndNotes.h"

#include <algorithm>

namespace anvildoor {

std::vector<end_note> end_notes::OnHoldReply(const hold_reply& aReply,
                                             uint64_t aAcknowledged,
                                             time_point aNotedAt,
                                             time_point aNow,
                                             std::optional<duration> aSilence)
{
  std::vector<end_note> notes;
  if (aReply.mStartedAtMs != 0 && aReply.mStartedAtMs != mWorkerStartedAtMs) {
    // The numbers of a worker's new life start anew.
    mListed.clear();
    mWorkerStartedAtMs = aReply.mStartedAtMs;
  }
  while (!mListed.empty() && mListed.begin()->first <= aAcknowledged) {
    const auto& end = mListed.begin()->second;
    notes.push_back(
      { end.mJob, std::max(duration::zero(), aNotedAt - end.mListedAt), end.mSilence });
    mListed.erase(mListed.begin());
  }
  for (const auto& end : aReply.mEnded) {
    mListed.try_emplace(end.mNumber, listed_end{ end.mTask.mJob, aNow, aSilence });
  }
  return notes;
}

} // namespace anvildoor
