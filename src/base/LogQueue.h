#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Which lines go first when there are too many. */
enum class LogClass : std::uint8_t
{
  /** What the process believes changed, a dependency was lost, a request was
   * refused or cut: few, and what a failure is explained by. */
  Belief,
  /** The ordinary course of one request or flow. */
  Flow,
};

/** Lines on their way to the log. Bounded in bytes, and ordinary lines in lines
 * a second too: a flood of them must neither take the memory nor push out the
 * lines that explain it. What is dropped is counted, and said in a line of its
 * own. Never blocks. Not thread safe.
 */
class LogQueue
{
public:
  /** Bytes that wait at most: what a reader that stalls for a second would
   * miss at the highest rate of lines. */
  static constexpr std::size_t kMostBytes = std::size_t{ 256 } * 1024;
  /** Room that ordinary lines leave free for the others. */
  static constexpr std::size_t kKeptForBeliefs = kMostBytes / 4;
  /** Ordinary lines a second. At some 200 bytes and 5 microseconds a line it
   * bounds the log at 60 KB a second and 0.15 % of a core. */
  static constexpr std::uint32_t kMostFlowLinesPerSecond = 300;

  /** Whether an ordinary line is within the budget now; if not it counts as
   * dropped. Asked first, it saves making a line that would be dropped. */
  bool HasFlowBudget(Time aNow);

  /** Takes a line, or counts it as dropped. */
  void Put(LogClass aClass, std::string_view aLine, Time aNow);

  /** Everything that waits, with a line on what was dropped since the last
   * call; empty if there is nothing. */
  std::string Take();

  bool IsEmpty() const { return mWaiting.empty() && mDropped == 0; }
  std::uint64_t Dropped() const { return mDroppedInAll; }

private:
  bool IsOverBudget(Time aNow);
  void Drop();

  std::string mWaiting;
  Time mSecond{};
  std::uint32_t mFlowLines = 0;
  std::uint64_t mDropped = 0;
  std::uint64_t mDroppedInAll = 0;
};

} // namespace heatherplank
