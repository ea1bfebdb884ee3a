#include "http/AsioLoop.h"

#include <ctime>
#include <memory>
#include <utility> // Asio of Boost 1.74 uses std::exchange without including it.

#include <boost/asio.hpp>

namespace anvildoor {

time_point asio_loop::OnNow() const
{
  constexpr int64_t kNanosecondsPerMs = 1'000'000;
  constexpr int64_t kMsPerSecond = 1'000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(now.tv_sec * kMsPerSecond + now.tv_nsec / kNanosecondsPerMs);
}

void asio_loop::OnRunAfter(duration aDelay, task aTask)
{
  if (aDelay <= duration::zero()) {
    boost::asio::post(mContext, std::move(aTask));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(mContext, aDelay);
  timer->async_wait(
    [timer, task = std::move(aTask)](const boost::system::error_code&) { task(); });
}

} // namespace anvildoor
