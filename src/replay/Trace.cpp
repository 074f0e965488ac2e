#include "src/replay/Trace.h"

#include "src/replay/TraceReader.h"

namespace heatherplank::replay {

namespace {

// A line's position in messages, as FILE:LINE.
std::string Location(std::string_view aName, int aLine)
{
  return std::string(aName) + ":" + std::to_string(aLine);
}

bool IsBlank(std::string_view aLine)
{
  return aLine.find_first_not_of(" \t\r") == std::string_view::npos;
}

} // namespace

Result<TraceResult> PlayTrace(std::string_view aName, std::string_view aText,
                              std::ostream& aOut)
{
  TraceReader reader(aOut);
  int line = 0;
  while (!aText.empty()) {
    ++line;
    const std::size_t end = aText.find('\n');
    const std::string_view text = aText.substr(0, end);
    const bool isLast = end == std::string_view::npos;
    aText.remove_prefix(isLast ? aText.size() : end + 1);
    if (IsBlank(text)) {
      continue;
    }
    if (auto error = reader.Read(Location(aName, line), text)) {
      return tl::unexpected(*error);
    }
  }
  return reader.Finish(aName);
}

} // namespace heatherplank::replay
