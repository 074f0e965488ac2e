#include "src/explain/FlowStory.h"

#include <algorithm>
#include <cstdlib>

namespace heatherplank {

namespace {

/** Seconds of process events shown before the flow's first event. Earlier
 * events explain little of a request, which takes a few seconds. */
constexpr double kContextSeconds = 5;
constexpr std::size_t kTimeLength = 15;

/** The value of a key, without quotes; empty if the line lacks the key. */
std::string Value(std::string_view aLine, std::string_view aKey)
{
  std::string prefix = " " + std::string(aKey) + "=";
  auto at = aLine.find(prefix);
  if (at == std::string_view::npos) {
    return {};
  }
  auto value = aLine.substr(at + prefix.size());
  if (value.starts_with('"')) {
    value.remove_prefix(1);
    return std::string(value.substr(0, value.find('"')));
  }
  return std::string(value.substr(0, value.find(' ')));
}

double SecondsOfDay(const std::string& aTime)
{
  return std::atof(aTime.substr(0, 2).c_str()) * 3600 +
         std::atof(aTime.substr(3, 2).c_str()) * 60 +
         std::atof(aTime.substr(6).c_str());
}

bool IsTime(std::string_view aText)
{
  return aText.size() == kTimeLength && aText[2] == ':' && aText[5] == ':' &&
         aText[8] == '.';
}

} // namespace

bool ParseLogLine(std::string_view aLine, LogLine& aOut)
{
  // Log collectors may prepend text to a line.
  auto at = aLine.find(" process=");
  if (at == std::string_view::npos || at < kTimeLength) {
    return false;
  }
  aOut.mTime = std::string(aLine.substr(at - kTimeLength, kTimeLength));
  aOut.mText = std::string(aLine.substr(at + 1));
  aOut.mProcess = Value(aLine, "process");
  aOut.mEvent = Value(aLine, "event");
  aOut.mFlow = Value(aLine, "flow");
  return IsTime(aOut.mTime) && !aOut.mEvent.empty();
}

std::vector<LogLine> CollectFlowEvents(std::span<const LogLine> aLines,
                                       std::string_view aFlow)
{
  double first = 0;
  double last = -1;
  for (const LogLine& it : aLines) {
    if (it.mFlow == aFlow) {
      double at = SecondsOfDay(it.mTime);
      first = last < 0 ? at : std::min(first, at);
      last = std::max(last, at);
    }
  }
  std::vector<LogLine> out;
  if (last < 0) {
    return out;
  }
  for (const LogLine& it : aLines) {
    double at = SecondsOfDay(it.mTime);
    bool isContext =
      it.mFlow.empty() && at >= first - kContextSeconds && at <= last;
    if (it.mFlow == aFlow || isContext) {
      out.push_back(it);
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const LogLine& aLeft, const LogLine& aRight) {
                     return aLeft.mTime < aRight.mTime;
                   });
  return out;
}

} // namespace heatherplank
