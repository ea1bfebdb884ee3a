#include "base/StreamLog.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace anvildoor {

namespace {

/** Buffer limit for a slow reader; holds a few seconds of the busiest log. */
constexpr size_t kHeldBytes = 262'144;

/** Buffer size at which lines are written without waiting for Flush. */
constexpr size_t kGatherBytes = 8'192;

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
  if (mHeld.size() > kHeldBytes) {
    ++mDropped;
    return;
  }
  if (mDropped > 0) {
    mHeld += "event=log_dropped lines=" + std::to_string(mDropped) + "\n";
    mDropped = 0;
  }
  mHeld += "unix_ms=" + std::to_string(mUnixMs()) + " " + aLine + "\n";
  if (mHeld.size() >= kGatherBytes) {
    WriteHeld();
  }
}

stream_log::~stream_log()
{
  Flush();
}

void stream_log::Flush()
{
  const std::lock_guard lock(mMutex);
  WriteHeld();
}

void stream_log::WriteHeld()
{
  while (!mHeld.empty()) {
    const auto written = ::write(STDOUT_FILENO, mHeld.data(), mHeld.size());
    if (written <= 0) {
      if (written < 0 && errno == EINTR) {
        continue;
      }
      return;
    }
    mHeld.erase(0, static_cast<size_t>(written));
  }
}

} // namespace anvildoor
