#pragma once

#include "base/EventLog.h"

#include <functional>
#include <mutex>

namespace anvildoor {

/**
 * Writes events to standard output, a line each with the time of day in front, and
 * never waits for a reader: what does not fit is dropped and counted. Thread-safe.
 */
class stream_log : public event_log
{
public:
  /** aUnixMs gives the time of day. */
  explicit stream_log(std::function<int64_t()> aUnixMs);

protected:
  void OnWrite(const std::string& aLine) override;

private:
  std::function<int64_t()> mUnixMs;
  std::mutex mMutex;
  std::string mHeld; ///< Lines that standard output has not taken yet.
  uint64_t mDropped = 0;
};

} // namespace anvildoor
