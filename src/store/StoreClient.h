#pragma once

#include "anvildoor/Error.h"
#include "base/EventLoop.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvildoor {

/** A value and the store's revision at which it was written; revisions only rise. */
struct store_value
{
  std::string mValue;
  uint64_t mVersion = 0;

  auto operator<=>(const store_value&) const = default;
};

struct store_entry
{
  std::string mKey;
  store_value mValue;

  auto operator<=>(const store_entry&) const = default;
};

/** A conditional write. */
struct store_write
{
  std::string mKey;
  std::string mValue;
  uint64_t mExpectedVersion = 0; ///< 0: the key must not exist.
  uint64_t mLease = 0;           ///< 0: the key outlives every lease.

  auto operator<=>(const store_write&) const = default;
};

template<typename T>
using store_done = std::function<void(result<T>)>;

/**
 * The platform's key-value service. Every call answers exactly once, on the event
 * loop and never inside the call. Reads fail with kUnavailable; writes fail with
 * kUnavailable when nothing took effect, and with kUnknownEffect when no answer came.
 * Thread-safe.
 */
class store_client
{
public:
  virtual ~store_client() = default;

  /** Reads one key; an empty optional means that it does not exist. */
  void Get(const std::string& aKey, store_done<std::optional<store_value>> aDone)
  {
    OnGet(aKey, std::move(aDone));
  }

  /** Writes if the version still is the expected one; kConflict otherwise. */
  void Cas(const store_write& aWrite, store_done<uint64_t> aDone)
  {
    OnCas(aWrite, std::move(aDone));
  }

  /** Deletes the key if its version still is aVersion; kConflict otherwise. */
  void Remove(const std::string& aKey, uint64_t aVersion, store_done<uint64_t> aDone)
  {
    OnRemove(aKey, aVersion, std::move(aDone));
  }

  /** Reads every key that begins with aPrefix, in key order. */
  void List(const std::string& aPrefix, store_done<std::vector<store_entry>> aDone)
  {
    OnList(aPrefix, std::move(aDone));
  }

  /** Answers once the key's version differs from aKnown, or after aWait as it is. */
  void Watch(const std::string& aKey,
             uint64_t aKnown,
             duration aWait,
             store_done<std::optional<store_value>> aDone)
  {
    OnWatch(aKey, aKnown, aWait, std::move(aDone));
  }

  /** Grants a lease; its keys vanish unless it is renewed within aTtl (> 0 ms). */
  void GrantLease(duration aTtl, store_done<uint64_t> aDone)
  {
    OnGrantLease(aTtl, std::move(aDone));
  }

  /** Renews a lease by its own TTL; kNotFound once it has lapsed. */
  void RenewLease(uint64_t aLease, store_done<uint64_t> aDone)
  {
    OnRenewLease(aLease, std::move(aDone));
  }

protected:
  virtual void OnGet(const std::string& aKey,
                     store_done<std::optional<store_value>> aDone) = 0;
  virtual void OnCas(const store_write& aWrite, store_done<uint64_t> aDone) = 0;
  virtual void OnRemove(const std::string& aKey,
                        uint64_t aVersion,
                        store_done<uint64_t> aDone) = 0;
  virtual void OnList(const std::string& aPrefix,
                      store_done<std::vector<store_entry>> aDone) = 0;
  virtual void OnWatch(const std::string& aKey,
                       uint64_t aKnown,
                       duration aWait,
                       store_done<std::optional<store_value>> aDone) = 0;
  virtual void OnGrantLease(duration aTtl, store_done<uint64_t> aDone) = 0;
  virtual void OnRenewLease(uint64_t aLease, store_done<uint64_t> aDone) = 0;
};

} // namespace anvildoor
