#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/StoreVersion.h"

namespace heatherplank {

/** An object of the platform's object API, with the version that was read. */
struct Object
{
  std::string mKey;
  std::string mValue;
  StoreVersion mVersion;
};

/** An entry of a listing: a key and the version of its object. */
struct ObjectName
{
  std::string mKey;
  StoreVersion mVersion;
};

/** Result of watching the names under a prefix. */
struct NameChange
{
  /** Store version as of which this is valid: aAfter of the next watch. */
  StoreVersion mAsOf;
  /** All names, without the prefix; nullopt if they have not changed. */
  std::optional<std::vector<std::string>> mNames;
};

/** Condition under which a write takes effect. */
struct WriteCondition
{
  enum class Kind : std::uint8_t
  {
    Always,
    IfAbsent,
    IfVersion,
  };
  Kind mKind = Kind::Always;
  StoreVersion mVersion;

  static WriteCondition Always() { return {}; }
  static WriteCondition IfAbsent() { return { Kind::IfAbsent, {} }; }
  static WriteCondition IfVersion(StoreVersion aVersion)
  {
    return { Kind::IfVersion, aVersion };
  }
};

/** The platform's object API. Values hold at most kMaxObjectSize bytes. Each
 * call, including a pending watch, counts towards the platform's rate limits.
 *
 * Errors of every call: Unavailable, it took no effect and may be retried;
 * Timeout, its effect is unknown: read back; Malformed, the response does not
 * parse. Thread safe; each callback runs once, on the store's executor.
 *
 * A response of an era below the newest seen is a Timeout: the store has been
 * restored since, and the call's effect may be lost. A write conditional on a
 * version of such an era is a Conflict.
 */
class ObjectStore
{
public:
  static constexpr std::size_t kMaxObjectSize = 1000000;

  template<typename T>
  using Done = std::function<void(Result<T>)>;

  virtual ~ObjectStore() = default;

  /** Reads an object; NotFound if there is none. */
  virtual void Get(std::string_view aKey, Done<Object> aDone) = 0;

  /** Writes an object and returns its new version; Conflict if aCondition did
   * not hold, TooLarge if the value is over the limit (nothing was sent).
   */
  virtual void Put(std::string_view aKey, std::string aValue,
                   WriteCondition aCondition, Done<StoreVersion> aDone) = 0;

  /** Removes an object; Conflict if aCondition did not hold. */
  virtual void Delete(std::string_view aKey, WriteCondition aCondition,
                      Done<StoreVersion> aDone) = 0;

  /** Waits until the object's version is above aAfter; nullopt after aWait. */
  virtual void Watch(std::string_view aKey, StoreVersion aAfter, Duration aWait,
                     Done<std::optional<Object>> aDone) = 0;

  /** Lists the keys that begin with aPrefix. */
  virtual void List(std::string_view aPrefix,
                    Done<std::vector<ObjectName>> aDone) = 0;

  /** Waits up to aWait until the names that begin with aPrefix change after
   * store version aAfter, then returns all of them; at once if aAfter is not
   * known. Unavailable if the store does not support watching names. */
  virtual void WatchNames(std::string_view aPrefix, StoreVersion aAfter,
                          Duration aWait, Done<NameChange> aDone);

  /** The newest store version that a response has reported. Its era is that of
   * the last response, its revision 0 if no response of that era had one. Data
   * read as of this version was current when that response was sent. */
  virtual StoreVersion LastSeenVersion() const { return {}; }

  /** The connections to the store may be silent: later calls use new ones.
   * Pending calls are not affected. */
  virtual void RenewConnections() {}
};

} // namespace heatherplank
