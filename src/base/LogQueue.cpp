#include "src/base/LogQueue.h"

#include <utility>

namespace heatherplank {

void LogQueue::Put(LogClass aClass, std::string_view aLine, Time aNow)
{
  if (aNow - mSecond >= std::chrono::seconds(1)) {
    mSecond = aNow;
    mFlowLines = 0;
  }
  bool isFlow = aClass == LogClass::Flow;
  std::size_t room = isFlow ? kMostBytes - kKeptForBeliefs : kMostBytes;
  bool overBudget = isFlow && mFlowLines >= kMostFlowLinesPerSecond;
  if (overBudget || mWaiting.size() + aLine.size() > room) {
    ++mDropped;
    ++mDroppedInAll;
    return;
  }
  mFlowLines += isFlow ? 1 : 0;
  mWaiting += aLine;
}

std::string LogQueue::Take()
{
  std::string out = std::exchange(mWaiting, {});
  if (mDropped > 0) {
    out += "event=log_dropped lines=" + std::to_string(mDropped) + "\n";
    mDropped = 0;
  }
  return out;
}

} // namespace heatherplank
