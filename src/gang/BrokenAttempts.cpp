#include "gang/BrokenAttempts.h"

namespace anvildoor {

namespace {

/** Long enough for every session to have dropped it, short enough to stay small. */
constexpr duration kKeep{ 30'000 };

} // namespace

broken_attempts::broken_attempts(event_loop& aLoop)
  : mLoop(aLoop)
{
}

bool broken_attempts::Add(const std::string& aAttempt)
{
  std::lock_guard lock(mMutex);
  const auto now = mLoop.Now();
  // An expired entry is kept as long again, so that an echo does not revive it.
  std::erase_if(mUntil,
                [now](const auto& aItem) { return aItem.second + kKeep < now; });
  return mUntil.emplace(aAttempt, now + kKeep).second;
}

void broken_attempts::Merge(const std::vector<std::string>& aAttempts)
{
  for (const auto& attempt : aAttempts) {
    Add(attempt);
  }
}

std::vector<std::string> broken_attempts::List() const
{
  std::lock_guard lock(mMutex);
  std::vector<std::string> attempts;
  for (const auto& [attempt, until] : mUntil) {
    if (until > mLoop.Now()) {
      attempts.push_back(attempt);
    }
  }
  return attempts;
}

} // namespace anvildoor
