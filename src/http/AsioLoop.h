#pragma once

#include "base/EventLoop.h"

namespace boost::asio {
class io_context;
}

namespace anvildoor {

/**
 * Runs tasks on the thread of an Asio context. Now returns the time since boot
 * including suspension, so that a lease is seen to have expired after the machine was
 * suspended. Now is thread-safe; the tasks run on the context's thread.
 */
class asio_loop : public event_loop
{
public:
  /** aContext must outlive the loop and its tasks. */
  explicit asio_loop(boost::asio::io_context& aContext)
    : mContext(aContext)
  {
  }

protected:
  time_point OnNow() const override;
  void OnRunAfter(duration aDelay, task aTask) override;

private:
  boost::asio::io_context& mContext;
};

} // namespace anvildoor
