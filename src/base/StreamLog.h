#pragma once

#include "base/EventLog.h"

#include <functional>
#include <mutex>

namespace anvildoor {

/**
 * Writes events to standard output, one per line, each after its Unix time in ms.
 * Never blocks on a slow reader: lines that exceed the buffer are dropped, and their
 * number is logged. Lines are buffered until Flush or until the buffer reaches a
 * threshold. Thread-safe.
 */
class stream_log : public event_log
{
public:
  /**
   * aUnixMs returns the milliseconds since the Unix epoch. Switches standard output to
   * non-blocking mode.
   */
  explicit stream_log(std::function<int64_t()> aUnixMs);
  ~stream_log() override;

  /** Writes as much of the buffer as standard output accepts without blocking. */
  void Flush();

protected:
  void OnWrite(const std::string& aLine) override;

private:
  void WriteBuffer();

  std::function<int64_t()> mUnixMs;
  std::mutex mMutex;
  std::string mBuffer; ///< Lines that standard output has not accepted yet.
  uint64_t mDroppedLines = 0;
};

} // namespace anvildoor
