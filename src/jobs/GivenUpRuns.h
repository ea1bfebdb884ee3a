#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace anvildoor {

/**
 * The runs of a task or gang that were given up before their end was known, so that an
 * end as failed that comes later counts, once. Runs in succession take one range, and
 * of too many ranges the latest are kept. Not thread-safe.
 */
class given_up_runs
{
public:
  /** First and last run. */
  using run_range = std::pair<uint32_t, uint32_t>;

  static constexpr size_t kMaxRanges = 4;

  /** Adds a run; the runs must be added in ascending order. */
  void Add(uint32_t aRun) { AddRange({ aRun, aRun }); }

  /**
   * Adds runs; their first must not be lower than the last run added. Ranges that are
   * reversed or out of order are ignored.
   */
  void AddRange(const run_range& aRuns);

  /** Forgets a run. Returns whether it was known as given up. */
  bool Remove(uint32_t aRun);

  /** Returns the ranges in ascending order; no two of them touch. */
  const std::vector<run_range>& Ranges() const { return mRanges; }

private:
  void DropOldest();

  std::vector<run_range> mRanges;
};

} // namespace anvildoor
