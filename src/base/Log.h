#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace heatherplank {

/** How much a line matters. */
enum class LogLevel
{
  Info,
  Warning,
  Error,
};

/** A key and its value in a log line. */
struct LogField
{
  template<typename T>
  LogField(std::string_view aKey, const T& aValue)
    : mKey(aKey)
    , mValue(ToText(aValue))
  {
  }

  std::string_view mKey;
  std::string mValue;

private:
  static std::string ToText(std::string_view aValue)
  {
    return std::string(aValue);
  }
  template<typename T>
  requires std::is_arithmetic_v<T>
  static std::string ToText(T aValue) { return std::to_string(aValue); }
};

/** Starts glog on standard error, each line under the process's name. Call
 * once, before any other thread runs.
 */
void StartLog(std::string_view aProcess);

/** Writes one structured line, event=NAME key=value ...; values with spaces
 * are quoted. Lines stand only for changes of state, what happens often is
 * counted instead. Thread safe.
 */
void LogEvent(LogLevel aLevel, std::string_view aEvent,
              std::initializer_list<LogField> aFields);

} // namespace heatherplank
