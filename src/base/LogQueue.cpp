#include "src/base/LogQueue.h"

#include <utility>

namespace heatherplank {

bool LogQueue::IsOverBudget(Time aNow)
{
  if (aNow - mWindowStart >= std::chrono::seconds(1)) {
    mWindowStart = aNow;
    mFlowLines = 0;
  }
  return mFlowLines >= kMaxFlowLinesPerSecond;
}

void LogQueue::Drop()
{
  ++mUnreportedDrops;
  ++mTotalDropped;
}

bool LogQueue::AdmitFlowLine(Time aNow)
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
  std::size_t limit = isFlow ? kMaxBytes - kDiagnosticReserveBytes : kMaxBytes;
  bool isOver = isFlow && IsOverBudget(aNow);
  if (isOver || mPending.size() + aLine.size() > limit) {
    Drop();
    return;
  }
  mFlowLines += isFlow ? 1 : 0;
  mPending += aLine;
}

std::string LogQueue::Take()
{
  std::string out = std::exchange(mPending, {});
  if (mUnreportedDrops > 0) {
    out += "event=log_dropped lines=" + std::to_string(mUnreportedDrops) + "\n";
    mUnreportedDrops = 0;
  }
  return out;
}

} // namespace heatherplank
