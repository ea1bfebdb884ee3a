#include "scheduler/Evacuations.h"

#include "scheduler/StoreKeys.h"

namespace anvildoor {

namespace {

/**
 * Share of the bound in which starts that were decided before are still sent, so that
 * no gang is torn apart whose other members have been sent already.
 */
constexpr int kGraceDivisor = 4;
/**
 * Share of the bound without an answer after which nothing more is decided. What was
 * decided is still sent for the grace. The rest is for answers and starts on their way.
 */
constexpr int kKnownDivisor = 2;

} // namespace

evacuations::evacuations(event_loop& aLoop,
                         transaction_store& aStore,
                         event_log& aLog,
                         metrics& aMetrics,
                         evacuation_settings aSettings,
                         std::function<void()> aOnChange)
  : mLoop(aLoop)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mSettings(std::move(aSettings))
  , mOnChange(std::move(aOnChange))
  , mWatch(aLoop,
           aStore,
           mSettings.mKeyPrefix,
           { [this](const stored_range& aRange) {
              OnRead(aRange);
              return true;
            },
             [this](const stored_change& aChange) {
               if (aChange.mRemoved) {
                 Remove(DataCentreOf(aChange.mItem.mKey));
               } else {
                 Insert(aChange.mItem.mKey);
               }
               OnChanged();
             } })
{
}

void evacuations::Begin()
{
  mBegunAt = mLoop.Now();
  if (IsEnabled()) {
    mWatch.Read();
  }
}

void evacuations::End()
{
  mWatch.End();
  mEvacuated.clear();
  mWasKnown = false;
  if (IsEnabled()) {
    mMetrics.Set("evacuated_data_centres", 0.0);
    mMetrics.Set("evacuated_runs", 0.0);
  }
}

bool evacuations::AreKnown(duration aMaxAge) const
{
  if (!IsEnabled()) {
    return true;
  }
  const auto answeredAt = mWatch.AnsweredAt();
  return answeredAt >= mBegunAt && answeredAt != time_point(0) &&
         mLoop.Now() - answeredAt <= aMaxAge;
}

bool evacuations::CheckKnown()
{
  const bool isKnown = AreKnown(mSettings.mBound / kKnownDivisor);
  if (isKnown != mWasKnown && IsEnabled()) {
    mLog.Write(log_event("evacuations_known")
                 .Add("known", isKnown ? 1 : 0)
                 .Add("age_ms", (mLoop.Now() - mWatch.AnsweredAt()).count()));
  }
  mWasKnown = isKnown;
  return isKnown;
}

bool evacuations::Includes(const std::string& aDataCentre) const
{
  return mEvacuated.count(aDataCentre) != 0;
}

bool evacuations::ForbidsStarts(const std::string& aDataCentre) const
{
  const auto grace = mSettings.mBound / kGraceDivisor;
  const auto found = mEvacuated.find(aDataCentre);
  return !AreKnown(mSettings.mBound / kKnownDivisor + grace) ||
         (found != mEvacuated.end() && mLoop.Now() - found->second.mSince > grace);
}

void evacuations::Report(const std::map<std::string, data_centre_load>& aLoads)
{
  size_t runs = 0;
  for (auto& [dataCentre, evacuation] : mEvacuated) {
    const auto found = aLoads.find(dataCentre);
    const auto load = found == aLoads.end() ? data_centre_load() : found->second;
    runs += load.mRuns;
    if (evacuation.mIsReported || load.mRuns > 0) {
      continue;
    }
    evacuation.mIsReported = true;
    const bool isMatched = load.mWorkers > 0;
    mLog.Write(log_event(isMatched ? "evacuation_emptied" : "evacuation_unmatched")
                 .Add("data_centre", dataCentre)
                 .Add("ms", (mLoop.Now() - evacuation.mSince).count()));
    if (!isMatched) {
      mMetrics.Count("evacuations_total", "change", "unmatched");
    }
  }
  mMetrics.Set("evacuated_runs", static_cast<double>(runs));
}

void evacuations::OnRead(const stored_range& aRange)
{
  auto former = mEvacuated;
  for (const auto& item : aRange.mItems) {
    Insert(item.mKey);
    former.erase(DataCentreOf(item.mKey));
  }
  for (const auto& [dataCentre, evacuation] : former) {
    Remove(dataCentre);
  }
  OnChanged();
}

std::string evacuations::DataCentreOf(const std::string& aKey) const
{
  return store_keys::StripPrefix(aKey, mSettings.mKeyPrefix).value_or("");
}

void evacuations::Insert(const std::string& aKey)
{
  const auto dataCentre = DataCentreOf(aKey);
  if (!mEvacuated.emplace(dataCentre, evacuation{ mLoop.Now() }).second) {
    return;
  }
  mLog.Write(log_event("evacuation_begun").Add("data_centre", dataCentre));
  mMetrics.Count("evacuations_total", "change", "begun");
}

void evacuations::Remove(const std::string& aDataCentre)
{
  const auto found = mEvacuated.find(aDataCentre);
  if (found == mEvacuated.end()) {
    return;
  }
  mLog.Write(log_event("evacuation_ended")
               .Add("data_centre", aDataCentre)
               .Add("lasted_ms", (mLoop.Now() - found->second.mSince).count()));
  mMetrics.Count("evacuations_total", "change", "ended");
  mEvacuated.erase(found);
}

void evacuations::OnChanged()
{
  mMetrics.Set("evacuated_data_centres", static_cast<double>(mEvacuated.size()));
  if (mEvacuated.empty()) {
    mMetrics.Set("evacuated_runs", 0.0);
  }
  mOnChange();
}

} // namespace anvildoor
