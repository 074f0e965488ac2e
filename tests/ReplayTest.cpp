#include "src/replay/Replay.h"

#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "src/replay/Trace.h"
#include "src/settings/JsonReader.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

const std::string kFleet = R"({"event":"fleet","service":"desk","hosts":2,)"
                           R"("rules":[{"name":"checks","deadline_ms":100}]})"
                           "\n";

std::string PlayAndDescribeError(const std::string& aText)
{
  std::ostringstream out;
  auto result = replay::PlayTrace("bad.jsonl", aText, out);
  return result ? "played" : result.error().Describe();
}

std::string PathOf(const std::string& aName)
{
  return HEATHERPLANK_SOURCE_DIR "/tests/traces/" + aName + ".jsonl";
}

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

TEST_GROUP(Replay){};

TEST(Replay, EveryRecordedTraceMeetsItsExpectations)
{
  std::vector<std::string> traces;
  for (auto name :
       { "burst", "busy-callers", "slow-backend-server", "long-among-short",
         "saturation", "saturation-claims", "saturation-documents",
         "cold-start", "lying-endpoints", "retry-storm", "platform-outage" }) {
    traces.push_back(PathOf(name));
  }
  std::ostringstream out;
  const int status = RunReplay(traces, out);
  STRCMP_EQUAL("", status == 0 ? "" : out.str().c_str());
}

TEST(Replay, UnmetExpectationReportsTraceLineAndFigures)
{
  std::ostringstream out;
  const std::string text =
    kFleet + R"({"event":"requests","class":"checks","count":4,"takes_ms":20})"
             "\n\n"
             R"({"event":"end"})"
             "\n"
             R"({"event":"expect","figure":"answered","at_most":1})"
             "\n";
  auto result = replay::PlayTrace("a.jsonl", text, out);
  CHECK_EQUAL(1, result.value().mFailed);
  STRCMP_EQUAL("a.jsonl:5: expected answered at most 1, got 4\n",
               out.str().c_str());
}

TEST(Replay, InvalidTraceReportsLineAndRemedy)
{
  CHECK_TRUE(Contains(PlayAndDescribeError("{\"event\":\"requests\"}\n"),
                      "bad.jsonl:1"));
  CHECK_TRUE(
    Contains(PlayAndDescribeError("{\"event\":\"end\"}\n"), "begin the trace"));
  CHECK_TRUE(Contains(PlayAndDescribeError(kFleet + "{oops\n"), "bad.jsonl:2"));
  CHECK_TRUE(Contains(PlayAndDescribeError(kFleet),
                      "the trace contains no expectation"));
  CHECK_TRUE(
    Contains(PlayAndDescribeError(
               kFleet + R"({"event":"expect","figure":"p42","at_least":1})"),
             "p99_ms"));
  CHECK_TRUE(
    Contains(PlayAndDescribeError(
               kFleet + R"({"event":"requests","class":"x","count":1})"),
             "no rule is named"));
  CHECK_TRUE(
    Contains(PlayAndDescribeError(
               R"({"event":"fleet","service":"a","hosts":1,"balancing":"b"})"),
             "least-latency"));
}

TEST(Replay, MissingFileReturnsStatusTwoAndNamesThePath)
{
  std::ostringstream out;
  const std::vector<std::string> traces{ "/nonexistent.jsonl" };
  CHECK_EQUAL(2, RunReplay(traces, out));
  CHECK_TRUE(Contains(out.str(), "/nonexistent.jsonl"));
}

// Guards against traces that pass whatever the decision code does: with the
// guard off or another admission policy, each trace misses an expectation.
TEST(Replay, TraceMissesAnExpectationWithItsGuardOff)
{
  const std::pair<const char*, const char*> cases[] = {
    { "burst", R"("admission":"fifo")" },
    { "busy-callers", R"("guards_off":["fairness"])" },
    { "slow-backend-server", R"("outlier":"off")" },
    { "long-among-short", R"("guards_off":["reservation"])" },
    { "saturation", R"("admission":"priority")" },
    { "saturation-claims", R"("guards_off":["early_refusal"])" },
    { "saturation-documents", R"("admission":"fifo")" },
    { "cold-start", R"("slow_start":"off")" },
    { "lying-endpoints", R"("outlier":"off")" },
    { "retry-storm", R"("guards_off":["spread_returns"])" },
  };
  const std::string fleetEvent = R"("event":"fleet",)";
  for (const auto& [name, setting] : cases) {
    std::string text = ReadFile(PathOf(name)).value();
    text.insert(text.find(fleetEvent) + fleetEvent.size(),
                std::string(setting) + ",");
    std::ostringstream out;
    auto result = replay::PlayTrace(name, text, out);
    CHECK_TRUE_TEXT(result.has_value() && result->mFailed > 0, name);
  }
}
