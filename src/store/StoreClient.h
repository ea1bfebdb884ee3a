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

/** A value and the store revision of its last write. Revisions only increase. */
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
  uint64_t mLease = 0;           ///< 0: the key has no lease.

  auto operator<=>(const store_write&) const = default;
};

template<typename T>
using store_done = std::function<void(result<T>)>;

/**
 * Client of the platform's key-value store. Each call runs its callback exactly once,
 * on the event loop and never inside the call. Reads fail with kUnavailable. Writes
 * fail with kUnavailable if nothing took effect, and with kUnknownEffect if no answer
 * arrived. Thread-safe.
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

  /** Writes the key if its version is the expected one; otherwise kConflict. */
  void Cas(const store_write& aWrite, store_done<uint64_t> aDone)
  {
    OnCas(aWrite, std::move(aDone));
  }

  /** Deletes the key if its version is aVersion; otherwise kConflict. */
  void Remove(const std::string& aKey, uint64_t aVersion, store_done<uint64_t> aDone)
  {
    OnRemove(aKey, aVersion, std::move(aDone));
  }

  /** Reads every key that begins with aPrefix, in key order. */
  void List(const std::string& aPrefix, store_done<std::vector<store_entry>> aDone)
  {
    OnList(aPrefix, std::move(aDone));
  }

  /**
   * Returns the key's value once its version differs from aKnownVersion, or the
   * unchanged value after aWait.
   */
  void Watch(const std::string& aKey,
             uint64_t aKnownVersion,
             duration aWait,
             store_done<std::optional<store_value>> aDone)
  {
    OnWatch(aKey, aKnownVersion, aWait, std::move(aDone));
  }

  /**
   * Grants a lease and returns its id. The store deletes the keys attached to the lease
   * unless it is renewed within aTtl, which must be positive.
   */
  void GrantLease(duration aTtl, store_done<uint64_t> aDone)
  {
    OnGrantLease(aTtl, std::move(aDone));
  }

  /** Renews a lease for its full TTL; fails with kNotFound once it has expired. */
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
                       uint64_t aKnownVersion,
                       duration aWait,
                       store_done<std::optional<store_value>> aDone) = 0;
  virtual void OnGrantLease(duration aTtl, store_done<uint64_t> aDone) = 0;
  virtual void OnRenewLease(uint64_t aLease, store_done<uint64_t> aDone) = 0;
};

} // namespace anvildoor
