#pragma once

#include "store/SettledCas.h"
#include "store/SharedLease.h"
#include "store/StoreClient.h"

#include <functional>
#include <string>

namespace anvildoor {

/**
 * Settles in which data centre a caller's job key lives, so that a repeat of the key
 * in another data centre does not start a second job. A key is kept for a day longer
 * than the longest job may run. Thread-safe.
 */
class job_home
{
public:
  using home_done = std::function<void(result<std::string>)>;

  /** The references must outlive the object. */
  job_home(event_loop& aLoop, store_client& aStore, std::string aDataCentre);

  /**
   * Answers with the data centre that holds aJob, which is this one unless another
   * claimed it first; kUnavailable or kUnknownEffect while the store does not answer.
   */
  void Claim(const std::string& aJob, home_done aDone);

private:
  void Write(const std::string& aJob, uint64_t aLease, home_done aDone);

  event_loop& mLoop;
  store_client& mStore;
  std::string mDataCentre;
  shared_lease mLease;
};

} // namespace anvildoor
