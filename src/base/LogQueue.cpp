#include "src/base/LogQueue.h"

#include <utility>

namespace heatherplank {

bool LogQueue::IsOverBudget(Time aNow)
{
  if (aNow - mSecond >= std::chrono::seconds(1)) {
    mSecond = aNow;
    mFlowLines = 0;
  }
  return mFlowLines >= kMostFlowLinesPerSecond;
}

void LogQueue::Drop()
{
  ++mDropped;
  ++mDroppedInAll;
}

bool LogQueue::HasFlowBudget(Time aNow)
{
  bool isOver = IsOverBudget(aNow);
  if (isOver) {
    Drop();
  }
  return !isOver;
}

void LogQueue::Put(LogClass aClass, std::string_view aLine, Time aNow)
{
  bool isFlow = aClass == LogClass::Flow;
  std::size_t room = isFlow ? kMostBytes - kKeptForBeliefs : kMostBytes;
  bool isOver = isFlow && IsOverBudget(aNow);
  if (isOver || mWaiting.size() + aLine.size() > room) {
    Drop();
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
