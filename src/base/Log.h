#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "src/base/LogQueue.h"

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

/** Starts the log on standard output, each line under the process's name. A
 * thread of its own writes, so a reader that stalls holds nobody up. aFlows:
 * also the lines of LogFlow. Call once, before any other thread runs.
 */
void StartLog(std::string_view aProcess, bool aFlows = true);

/** Writes what still waits; call it before the process ends. Thread safe. */
void FlushLog();

/** Lines dropped since the start, for lack of room. Thread safe. */
std::uint64_t DroppedLogLines();

/** Writes one structured line, event=NAME key=value ...; values with spaces
 * are quoted. For what the process believes or decided against: what happens
 * often is counted, or written by LogFlow. Before StartLog lines
 * go nowhere. Thread safe, never blocks.
 */
void LogEvent(LogLevel aLevel, std::string_view aEvent,
              std::initializer_list<LogField> aFields);

/** The same for the ordinary course of a flow; the first to be dropped when
 * there are too many lines. Thread safe, never blocks. */
void LogFlow(std::string_view aEvent, std::initializer_list<LogField> aFields);

} // namespace heatherplank
