#pragma once

#include "base/EventLoop.h"

namespace boost::asio {
class io_context;
}

namespace anvildoor {

/**
 * Tasks on the thread of an Asio context. Now is the time since boot, which also counts
 * while the machine is suspended, so that a lease looks lapsed after a freeze. Now is
 * thread-safe; the tasks run on the context's thread.
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
