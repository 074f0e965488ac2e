#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"

namespace heatherplank {

/** A value of the platform's object API with the version it was read at. */
struct Object
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0;
};

/** An entry of a listing. */
struct ObjectName
{
  std::string mKey;
  std::uint64_t mVersion = 0;
};

/** The names under a prefix, or that they have not changed. */
struct NameChange
{
  /** The store's version as of which this holds: where to watch from next. */
  std::uint64_t mAsOf = 0;
  /** All names, without the prefix; none if they are as before. */
  std::optional<std::vector<std::string>> mNames;
};

/** When a write may take effect. */
struct WriteCondition
{
  enum class Kind : std::uint8_t
  {
    Always,
    IfAbsent,
    IfVersion,
  };
  Kind mKind = Kind::Always;
  std::uint64_t mVersion = 0;

  static WriteCondition Always() { return {}; }
  static WriteCondition IfAbsent() { return { Kind::IfAbsent, 0 }; }
  static WriteCondition IfVersion(std::uint64_t aVersion)
  {
    return { Kind::IfVersion, aVersion };
  }
};

/** The platform's object API. Values hold at most kMaxObjectSize bytes. Each
 * call, a waiting watch too, counts against the platform's rates.
 *
 * Errors of every call: Unavailable, it took no effect and may be sent again;
 * Timeout, its effect is unknown: read back; Malformed, the answer makes no
 * sense. Thread safe; each callback runs once, on the store's executor.
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

  /** Writes an object and gives its new version; Conflict if aCondition did
   * not hold, TooLarge if the value is over the limit (nothing was sent).
   */
  virtual void Put(std::string_view aKey, std::string aValue,
                   WriteCondition aCondition, Done<std::uint64_t> aDone) = 0;

  /** Removes an object; Conflict if aCondition did not hold. */
  virtual void Delete(std::string_view aKey, WriteCondition aCondition,
                      Done<std::uint64_t> aDone) = 0;

  /** Waits up to aWait for a version above aAfter; none if there was none. */
  virtual void Watch(std::string_view aKey, std::uint64_t aAfter,
                     Duration aWait, Done<std::optional<Object>> aDone) = 0;

  /** Lists keys that begin with aPrefix. */
  virtual void List(std::string_view aPrefix,
                    Done<std::vector<ObjectName>> aDone) = 0;

  /** Waits up to aWait for a change of the names that begin with aPrefix after
   * the store's version aAfter, and gives all of them then; at once if aAfter
   * is 0. Unavailable from a store that can't watch names. */
  virtual void WatchNames(std::string_view aPrefix, std::uint64_t aAfter,
                          Duration aWait, Done<NameChange> aDone);

  /** The newest version of the store that an answer told; 0 if none did. What
   * was read as of it was true when that answer was given. */
  virtual std::uint64_t SeenVersion() const { return 0; }
};

} // namespace heatherplank
