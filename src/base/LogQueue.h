#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Class of a log line; flow lines are dropped before diagnostic lines. */
enum class LogClass : std::uint8_t
{
  /** A change in the process's view of other processes, a lost dependency, a
   * rejected or aborted request: few lines, needed to explain a failure. */
  Diagnostic,
  /** Normal processing of one request or flow. */
  Flow,
};

/** Queue of lines to be written to the log. Limited in bytes, and flow lines
 * also in lines per second, so that many flow lines neither exhaust the memory
 * nor displace the lines that explain them. Dropped lines are counted and
 * reported in a line of their own. Never blocks. Not thread safe.
 */
class LogQueue
{
public:
  /** Maximum queued bytes: the output of one second at the highest line rate,
   * so that a reader may stall that long without loss. */
  static constexpr std::size_t kMaxBytes = std::size_t{ 256 } * 1024;
  /** Bytes that flow lines leave free for diagnostic lines. */
  static constexpr std::size_t kDiagnosticReserveBytes = kMaxBytes / 4;
  /** At about 200 bytes and 5 microseconds per line, this limits the log to
   * 60 KB/s and 0.15 % of a core. */
  static constexpr std::uint32_t kMaxFlowLinesPerSecond = 300;

  /** Returns whether a flow line is within the rate limit; if not, counts it as
   * dropped. Checking first saves formatting a line that would be dropped. */
  bool AdmitFlowLine(Time aNow);

  /** Queues a line, or counts it as dropped. */
  void Put(LogClass aClass, std::string_view aLine, Time aNow);

  /** Removes and returns all queued lines, followed by a line with the number
   * of lines dropped since the last call; empty if there are none. */
  std::string Take();

  bool IsEmpty() const { return mPending.empty() && mUnreportedDrops == 0; }
  std::uint64_t Dropped() const { return mTotalDropped; }

private:
  bool IsOverBudget(Time aNow);
  void Drop();

  std::string mPending;
  Time mWindowStart{};
  std::uint32_t mFlowLines = 0;
  std::uint64_t mUnreportedDrops = 0;
  std::uint64_t mTotalDropped = 0;
};

} // namespace heatherplank
