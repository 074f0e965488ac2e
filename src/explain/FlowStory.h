#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heatherplank {

/** A parsed log line. */
struct LogLine
{
  /** Time of day as the process wrote it, "12:30:05.123456". */
  std::string mTime;
  std::string mProcess;
  std::string mEvent;
  /** The flow that the event concerns; empty for an event of the process. */
  std::string mFlow;
  std::string mText;
};

/** Parses a line; false if it is no log line of this project. Thread safe. */
bool ParseLogLine(std::string_view aLine, LogLine& aOut);

/** The events of a flow from the logs of many processes, ordered by time.
 * Events that concern no flow are included from 5 seconds before the flow's
 * first event to its last. Clocks of different machines differ by some
 * milliseconds, so neighbouring lines may be out of order. Thread safe. */
std::vector<LogLine> CollectFlowEvents(std::span<const LogLine> aLines,
                                       std::string_view aFlow);

} // namespace heatherplank
