#pragma once

#include "anvildoor/Error.h"

#include <functional>
#include <optional>
#include <string>

namespace anvildoor {

/** Questions to the VM that schedules. One thread. */
class peer_query
{
public:
  template<typename T>
  using done = std::function<void(const result<std::optional<T>>&)>;

  virtual ~peer_query() = default;

  /** Asks the VM at aAddress for a job's state; empty: it does not know the job. */
  void StateOf(const std::string& aAddress,
               const std::string& aJob,
               done<std::string> aDone)
  {
    OnStateOf(aAddress, aJob, std::move(aDone));
  }

  /** Asks for the number of a queue's jobs without a started task. */
  void PendingOf(const std::string& aAddress,
                 const std::string& aQueue,
                 done<size_t> aDone)
  {
    OnPendingOf(aAddress, aQueue, std::move(aDone));
  }

protected:
  virtual void OnStateOf(const std::string& aAddress,
                         const std::string& aJob,
                         done<std::string> aDone) = 0;
  virtual void OnPendingOf(const std::string& aAddress,
                           const std::string& aQueue,
                           done<size_t> aDone) = 0;
};

} // namespace anvildoor
