#include "base/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace anvildoor {

namespace {

const prometheus::Histogram::BucketBoundaries& SecondsBuckets()
{
  static const prometheus::Histogram::BucketBoundaries sBuckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,  0.25,  0.5,   1.0,
    2.8,   5.0,    10.0,  30.0, 60.0,  300., 900., 3600., 14400.
  };
  return sBuckets;
}

} // namespace

metrics::metrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
{
}

metrics::~metrics() = default;

void metrics::Observe(const std::string& aName,
                      const std::string& aWorkspace,
                      const std::string& aClass,
                      double aSeconds)
{
  std::lock_guard lock(mMutex);
  prometheus::BuildHistogram()
    .Name("anvildoor_" + aName)
    .Help("Seconds, by workspace and class.")
    .Register(*mRegistry)
    .Add({ { "workspace", aWorkspace }, { "class", aClass } }, SecondsBuckets())
    .Observe(aSeconds);
}

void metrics::Count(const std::string& aName,
                    const std::string& aLabel,
                    const std::string& aValue)
{
  std::lock_guard lock(mMutex);
  prometheus::BuildCounter()
    .Name("anvildoor_" + aName)
    .Help("Events since the start.")
    .Register(*mRegistry)
    .Add({ { aLabel, aValue } })
    .Increment();
}

void metrics::Set(const std::string& aName, double aValue)
{
  std::lock_guard lock(mMutex);
  prometheus::BuildGauge()
    .Name("anvildoor_" + aName)
    .Help("Current value.")
    .Register(*mRegistry)
    .Add({})
    .Set(aValue);
}

std::string metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

} // namespace anvildoor
