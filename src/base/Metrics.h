#pragma once

#include "base/EventLoop.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <string>

namespace prometheus {
class Registry;
}

namespace anvildoor {

/** Returns aSpan in seconds, the unit of all times in metrics. Thread-safe. */
inline double ToSeconds(duration aSpan)
{
  return std::chrono::duration<double>(aSpan).count();
}

/** The histograms, counters and gauges of one process. Thread-safe. */
class metrics
{
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /** Records aSeconds in the histogram aName for a workspace and class. */
  void Observe(const std::string& aName,
               const std::string& aWorkspace,
               const std::string& aClass,
               double aSeconds);

  /** Increments the counter aName with the label aLabel set to aValue. */
  void Count(const std::string& aName,
             const std::string& aLabel,
             const std::string& aValue);

  /** Sets the gauge aName. */
  void Set(const std::string& aName, double aValue);

  /** Returns all metrics in the Prometheus text format. */
  std::string Text() const;

private:
  std::mutex mMutex;
  std::shared_ptr<prometheus::Registry> mRegistry;
};

} // namespace anvildoor
