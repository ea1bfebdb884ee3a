#include "base/StreamLog.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace anvildoor {

namespace {

/** Buffer limit for a slow reader; holds a few seconds of the busiest log. */
constexpr size_t kMaxBufferedBytes = 262'144;

/** Buffer size at which lines are written without waiting for Flush. */
constexpr size_t kFlushThresholdBytes = 8'192;

} // namespace

stream_log::stream_log(std::function<int64_t()> aUnixMs)
  : mUnixMs(std::move(aUnixMs))
{
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void stream_log::OnWrite(const std::string& aLine)
{
  const std::lock_guard lock(mMutex);
  if (mBuffer.size() > kMaxBufferedBytes) {
    ++mDroppedLines;
    return;
  }
  if (mDroppedLines > 0) {
    mBuffer += "event=log_dropped lines=" + std::to_string(mDroppedLines) + "\n";
    mDroppedLines = 0;
  }
  mBuffer += "unix_ms=" + std::to_string(mUnixMs()) + " " + aLine + "\n";
  if (mBuffer.size() >= kFlushThresholdBytes) {
    WriteBuffer();
  }
}

stream_log::~stream_log()
{
  Flush();
}

void stream_log::Flush()
{
  const std::lock_guard lock(mMutex);
  WriteBuffer();
}

void stream_log::WriteBuffer()
{
  while (!mBuffer.empty()) {
    const auto written = ::write(STDOUT_FILENO, mBuffer.data(), mBuffer.size());
    if (written <= 0) {
      if (written < 0 && errno == EINTR) {
        continue;
      }
      return;
    }
    mBuffer.erase(0, static_cast<size_t>(written));
  }
}

} // namespace anvildoor
