#include "gang/BrokenAttempts.h"

namespace anvildoor {

namespace {

/**
 * Long enough for every worker session to stop renewing the attempt, short enough to
 * keep the set small.
 */
constexpr duration kEntryLifetime{ 30'000 };

} // namespace

broken_attempts::broken_attempts(event_loop& aLoop)
  : mLoop(aLoop)
{
}

bool broken_attempts::Add(const std::string& aAttempt)
{
  std::lock_guard lock(mMutex);
  const auto now = mLoop.Now();
  // An expired entry stays for another period so that a delayed heartbeat from a peer
  // does not add it again.
  std::erase_if(
    mExpiry, [now](const auto& aItem) { return aItem.second + kEntryLifetime < now; });
  return mExpiry.emplace(aAttempt, now + kEntryLifetime).second;
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
  for (const auto& [attempt, expiry] : mExpiry) {
    if (expiry > mLoop.Now()) {
      attempts.push_back(attempt);
    }
  }
  return attempts;
}

} // namespace anvildoor
