#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "src/base/LogQueue.h"

namespace heatherplank {

/** Severity of a log line. */
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

/** Starts logging to standard output; each line carries the process's name. A
 * dedicated thread writes, so that a stalled reader blocks no caller. aFlows:
 * also write the lines of LogFlow. Call once, before any other thread runs.
 */
void StartLog(std::string_view aProcess, bool aFlows = true);

/** Writes all queued lines; call it before the process exits. Thread safe. */
void FlushLog();

/** Lines dropped since the start, over a limit of LogQueue. Thread safe. */
std::uint64_t DroppedLogLines();

/** Writes one structured line, event=NAME key=value ...; values with spaces
 * are quoted. For changes in the process's view of other processes, rejections
 * and failures; frequent events are counted, or written by LogFlow. Lines
 * before StartLog are discarded. Thread safe, never blocks.
 */
void LogEvent(LogLevel aLevel, std::string_view aEvent,
              std::initializer_list<LogField> aFields);

/** As LogEvent, for the normal processing of a flow; these lines are dropped
 * first when there are too many. Thread safe, never blocks. */
void LogFlow(std::string_view aEvent, std::initializer_list<LogField> aFields);

} // namespace heatherplank
