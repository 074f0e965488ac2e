#include "src/explain/FlowStory.h"

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

std::vector<LogLine> Parse(const std::vector<std::string>& aLines)
{
  std::vector<LogLine> out;
  for (const auto& it : aLines) {
    LogLine line;
    if (ParseLogLine(it, line)) {
      out.push_back(line);
    }
  }
  return out;
}

std::string ReadAll(const std::filesystem::path& aPath)
{
  std::stringstream out;
  out << std::ifstream(aPath).rdbuf();
  return out.str();
}

} // namespace

TEST_GROUP(FlowStory){};

TEST(FlowStory, ParsesALogLine)
{
  LogLine line;
  CHECK_TRUE(ParseLogLine("  5.34 side-1 I21:52:04.340380 process=side-1 "
                          "event=passed_on flow=1.2.3.4:5>6.7.8.9:10 to=x",
                          line));
  STRCMP_EQUAL("21:52:04.340380", line.mTime.c_str());
  STRCMP_EQUAL("side-1", line.mProcess.c_str());
  STRCMP_EQUAL("passed_on", line.mEvent.c_str());
  STRCMP_EQUAL("1.2.3.4:5>6.7.8.9:10", line.mFlow.c_str());
  CHECK_FALSE(ParseLogLine("a line of another program", line));
  CHECK_FALSE(ParseLogLine(" process=x", line));
}

// An engineer investigates one failed request with the logs of all VMs and the
// caller's address and port.
TEST(FlowStory, CollectsAFlowsEventsAndRecentProcessEvents)
{
  auto lines = Parse({
    "I10:00:09.500000 process=b event=placed flow=f1",
    "I10:00:09.400000 process=a event=offered flow=f1",
    "I10:00:09.450000 process=a event=offered flow=f2",
    "I10:00:06.000000 process=b event=host_announced state=draining",
    "I10:00:01.000000 process=b event=started",
    "I10:00:20.000000 process=b event=stopped",
  });
  auto events = CollectFlowEvents(lines, "f1");
  CHECK_EQUAL(3, events.size());
  STRCMP_EQUAL("host_announced", events[0].mEvent.c_str());
  STRCMP_EQUAL("offered", events[1].mEvent.c_str());
  STRCMP_EQUAL("placed", events[2].mEvent.c_str());
  CHECK_TRUE(CollectFlowEvents(lines, "f3").empty());
}

// An engineer looks up a log event in the operations page. Fails if a logged
// event is missing from that page.
TEST(FlowStory, EveryLogEventIsDocumentedInOperationsPage)
{
  std::filesystem::path root(HEATHERPLANK_SOURCE_DIR);
  std::string page = ReadAll(root / "docs" / "OPERATIONS.md");
  std::regex call("Log(?:Event|Flow)\\(\\s*(?:LogLevel::\\w+,\\s*)?\"(\\w+)\"");
  std::set<std::string> events;
  for (const char* folder : { "src", "platform" }) {
    for (const auto& it :
         std::filesystem::recursive_directory_iterator(root / folder)) {
      if (it.path().extension() != ".cpp") {
        continue;
      }
      std::string text = ReadAll(it.path());
      for (std::sregex_iterator at(text.begin(), text.end(), call), end;
           at != end; ++at) {
        events.insert((*at)[1]);
      }
    }
  }
  CHECK_TRUE(events.size() > 20);
  for (const auto& it : events) {
    CHECK_TRUE_TEXT(page.find("`" + it + "`") != std::string::npos, it.c_str());
  }
}
