#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heatherplank {

/** A line of a log, taken apart. */
struct LogLine
{
  /** Time of day as the process wrote it, "12:30:05.123456". */
  std::string mTime;
  std::string mProcess;
  std::string mEvent;
  /** The flow that it is about; empty for what a process believes. */
  std::string mFlow;
  std::string mText;
};

/** Takes a line apart; false if it is none of ours. Thread safe. */
bool ParseLogLine(std::string_view aLine, LogLine& aOut);

/** The story of a flow from the logs of many processes: its own lines in the
 * order of time, and among them what processes came to believe from some
 * seconds before its first line to its last. Clocks of machines differ by some
 * milliseconds, and so may the order of neighbouring lines. Thread safe. */
std::vector<LogLine> TellFlow(std::span<const LogLine> aLines,
                              std::string_view aFlow);

} // namespace heatherplank
