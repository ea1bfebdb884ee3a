#include "scheduler/WorkerPaces.h"

#include "scheduler/StoreKeys.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace anvildoor {

namespace {

using nlohmann::json;

/** Shortest time between two writes of the record. */
constexpr duration kWritePeriod{ 10'000 };
/** A larger record is written more rarely, so that it takes at most this on average. */
constexpr size_t kMaxWriteBytesPerSecond = 5'000;
/** A read without an answer, or that failed, is repeated after so long. */
constexpr duration kReadPeriod{ 2'000 };
/** Nothing is written while a transaction takes longer: the store may be away. */
constexpr duration kMaxTransactionTime{ 1'000 };
/** The record holds whole numbers of this part. */
constexpr double kScale = 1'000.0;
constexpr int64_t kMaxScaled = 10'000;
constexpr int64_t kMsPerSecond = 1'000;

int64_t Scaled(double aValue)
{
  return std::clamp<int64_t>(std::llround(aValue * kScale), -kMaxScaled, kMaxScaled);
}

json EntryOf(const pace_estimate& aEstimate)
{
  return { Scaled(aEstimate.mLogPace),
           std::max<int64_t>(1, Scaled(aEstimate.mVariance)),
           Scaled(aEstimate.mNoise) };
}

/** Reads one number of an entry; throws if it is out of range. */
double Unscaled(const json& aValue, int64_t aMin)
{
  const auto value = aValue.get<int64_t>();
  if (!aValue.is_number_integer() || value < aMin || value > kMaxScaled) {
    throw json::other_error::create(0, "a number is out of range", nullptr);
  }
  return static_cast<double>(value) / kScale;
}

} // namespace

std::string EncodePaces(const pace_record& aRecord)
{
  size_t bytes = 2;
  for (const auto& [pool, estimates] : aRecord) {
    bytes += pool.size() + 6;
    for (const auto& [id, estimate] : estimates) {
      // With the quotes, the colon and the comma.
      bytes += id.size() + EntryOf(estimate).dump().size() + 4;
    }
  }
  const auto kept = std::min(
    1.0, static_cast<double>(kMaxPaceRecordBytes) / (static_cast<double>(bytes) + 1.0));
  auto text = json::object();
  for (const auto& [pool, estimates] : aRecord) {
    auto& entries = text[pool] = json::object();
    double due = 0.0;
    for (const auto& [id, estimate] : estimates) {
      due += kept;
      if (due >= 1.0 || kept == 1.0) {
        due -= 1.0;
        entries[id] = EntryOf(estimate);
      }
    }
  }
  return text.dump();
}

result<pace_record> DecodePaces(const std::string& aText)
{
  try {
    pace_record record;
    for (const auto& [pool, entries] : json::parse(aText).get<json::object_t>()) {
      auto& estimates = record[pool];
      for (const auto& [id, entry] : entries.get<json::object_t>()) {
        estimates[id] = { Unscaled(entry.at(0), -kMaxScaled),
                          Unscaled(entry.at(1), 1),
                          Unscaled(entry.at(2), 0) };
      }
    }
    return record;
  } catch (const json::exception& failure) {
    return Fail(
      error_code::kInvalid, "decode paces", store_keys::kPaces, failure.what());
  }
}

worker_paces::worker_paces(event_loop& aLoop,
                           transaction_store& aStore,
                           event_log& aLog,
                           metrics& aMetrics,
                           record_writer& aWriter)
  : mLoop(aLoop)
  , mStore(aStore)
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mWriter(aWriter)
{
}

void worker_paces::Begin()
{
  End();
  mIsActive = true;
  mNextWriteAt = mLoop.Now() + kWritePeriod;
  Read();
}

void worker_paces::End()
{
  mIsActive = false;
  mIsRead = false;
  mHasLoggedFailure = false;
  mIsAdopted = false;
  mIsChanged = false;
  ++mReadNumber;
  mModels.clear();
  mMetrics.Set("workers_slow", 0.0);
  mMetrics.Set("workers_quick", 0.0);
}

void worker_paces::Read()
{
  mReadAt = mLoop.Now();
  const auto number = ++mReadNumber;
  mStore.Get(
    store_keys::kPaces,
    [this, number](const result<std::optional<stored_item>>& aItem) {
      if (number != mReadNumber) {
        return;
      }
      mIsRead = aItem.has_value();
      if (!aItem && !std::exchange(mHasLoggedFailure, true)) {
        mLog.Write(
          log_event("worker_paces_unread").Add("error", Describe(aItem.error())));
      }
      if (aItem && *aItem) {
        Adopt((*aItem)->mValue);
      }
    });
}

void worker_paces::Adopt(const std::string& aText)
{
  const auto record = DecodePaces(aText);
  if (!record) {
    mLog.Write(
      log_event("worker_paces_unreadable").Add("error", Describe(record.error())));
    return;
  }
  size_t workers = 0;
  for (const auto& [pool, estimates] : *record) {
    mModels[pool].Adopt(estimates);
    workers += estimates.size();
  }
  mIsAdopted = true;
  mLog.Write(
    log_event("worker_paces_adopted").Add("workers", static_cast<int64_t>(workers)));
}

void worker_paces::Observe(const std::string& aPool, const pace_sample& aSample)
{
  if (!aPool.empty()) {
    mModels[aPool].Observe(aSample);
  }
}

void worker_paces::OnNewLife(const std::string& aPool, const std::string& aWorker)
{
  const auto found = mModels.find(aPool);
  if (found != mModels.end()) {
    found->second.OnNewLife(aWorker);
  }
}

void worker_paces::ForgetJob(const std::string& aJob)
{
  for (auto& [pool, model] : mModels) {
    model.ForgetJob(aJob);
  }
}

bool worker_paces::Check(
  const std::function<bool(const std::string&, const std::string&)>& aIsListed)
{
  if (!mIsActive) {
    return false;
  }
  if (!mIsRead && mLoop.Now() - mReadAt >= kReadPeriod) {
    Read();
  }
  bool isMoved = std::exchange(mIsAdopted, false);
  for (auto& [pool, model] : mModels) {
    for (const auto& change : model.Update()) {
      isMoved = true;
      mIsChanged = true;
      mLog.Write(log_event("worker_pace")
                   .Add("worker", change.mWorker)
                   .Add("pool", pool)
                   .Add("class", ToString(change.mClass))
                   .Add("former", ToString(change.mFormer))
                   .Add("percent", std::lround(100.0 * change.mPace)));
    }
  }
  if (isMoved) {
    size_t slow = 0;
    size_t quick = 0;
    for (const auto& [pool, model] : mModels) {
      slow += model.Count(pace_class::kSlow);
      quick += model.Count(pace_class::kQuick);
    }
    mMetrics.Set("workers_slow", static_cast<double>(slow));
    mMetrics.Set("workers_quick", static_cast<double>(quick));
  }
  if (mIsRead && mLoop.Now() >= mNextWriteAt) {
    ForgetFormerWorkers(aIsListed);
    WriteIfDue();
  }
  return isMoved;
}

void worker_paces::ForgetFormerWorkers(
  const std::function<bool(const std::string&, const std::string&)>& aIsListed)
{
  for (auto& [pool, model] : mModels) {
    const auto isListed = [&, inPool = pool](const std::string& aWorker) {
      return aIsListed(inPool, aWorker);
    };
    if (model.WorkerCount() > 2 * model.CountWorkers(isListed)) {
      model.KeepWorkers(isListed);
    }
  }
}

void worker_paces::WriteIfDue()
{
  const auto now = mLoop.Now();
  const bool isDue = mIsChanged && mWriter.IsStored(store_keys::kPaces) &&
                     mWriter.InFlightFor() < kMaxTransactionTime;
  if (!isDue) {
    return;
  }
  mIsChanged = false;
  const auto bytes = Encode().size();
  mNextWriteAt =
    now + std::max(kWritePeriod,
                   duration(static_cast<int64_t>(bytes / kMaxWriteBytesPerSecond) *
                            kMsPerSecond));
  mWriter.Write(store_keys::kPaces, record_writer::urgency::kBatched, nullptr);
}

const worker_pace_model* worker_paces::Find(const std::string& aPool) const
{
  const auto found = mModels.find(aPool);
  return found == mModels.end() ? nullptr : &found->second;
}

std::string worker_paces::Encode() const
{
  pace_record record;
  for (const auto& [pool, model] : mModels) {
    record[pool] = model.Known();
  }
  return EncodePaces(record);
}

} // namespace anvildoor
