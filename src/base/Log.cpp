#include "src/base/Log.h"

#include <glog/logging.h>

namespace heatherplank {

namespace {

bool NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" =\"\n") != std::string_view::npos;
}

std::string Quote(std::string_view aValue)
{
  std::string out = "\"";
  for (char it : aValue) {
    if (it == '\n') {
      out += "\\n";
      continue;
    }
    if (it == '"' || it == '\\') {
      out += '\\';
    }
    out += it;
  }
  return out + "\"";
}

std::string& ProcessName()
{
  static std::string sName;
  return sName;
}

} // namespace

void StartLog(std::string_view aProcess)
{
  ProcessName() = aProcess;
  FLAGS_logtostderr = true;
  google::InitGoogleLogging("heatherplank");
}

void LogEvent(LogLevel aLevel, std::string_view aEvent,
              std::initializer_list<LogField> aFields)
{
  std::string line = "process=" + ProcessName() + " event=";
  line += aEvent;
  for (const auto& it : aFields) {
    line += ' ';
    line += it.mKey;
    line += '=';
    line += NeedsQuotes(it.mValue) ? Quote(it.mValue) : it.mValue;
  }
  switch (aLevel) {
    case LogLevel::Info:
      LOG(INFO) << line;
      return;
    case LogLevel::Warning:
      LOG(WARNING) << line;
      return;
    case LogLevel::Error:
      LOG(ERROR) << line;
      return;
  }
}

} // namespace heatherplank
