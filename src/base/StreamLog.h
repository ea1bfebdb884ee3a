#pragma once

#include "base/EventLog.h"

#include <functional>
#include <mutex>

namespace anvildoor {

/**
 * Writes events to standard output, a line each with the time of day in front, and
 * never waits for a reader: what does not fit is dropped and counted. Lines
 * are gathered until Flush, or until there are many. Thread-safe.
 */
class stream_log : public event_log
{
public:
  /** aUnixMs gives the time of day. */
  explicit stream_log(std::function<int64_t()> aUnixMs);
  ~stream_log() override;

  /** Writes what was gathered, as far as standard output takes it. */
  void Flush();

protected:
  void OnWrite(const std::string& aLine) override;

private:
  void WriteHeld();

  std::function<int64_t()> mUnixMs;
  std::mutex mMutex;
  std::string mHeld; ///< Lines that standard output has not taken yet.
  uint64_t mDropped = 0;
};

} // namespace anvildoor
