#include "lab/flows/FlowExperiment.h"

#include "src/settings/JsonReader.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace heatherplank::lab;

TEST_GROUP(FlowExperiment)
{
  static constexpr const char* kText = R"({
    "title": "t", "hosts": 9, "seconds": 5, // short
    "classes": [ { "name": "checks", "per_second": 500 } ],
    "loads": [ { "name": "usual" }, { "name": "slow", "slow_hosts": 2,
                                      "slowness": 6 } ],
  })";
};

TEST(FlowExperiment, TheSameSeedGivesTheSameTable)
{
  auto it = ParseFlowExperiment(kText, "test");
  CHECK_TRUE(it.has_value());
  auto table = FlowTable(*it, PlayFlowLoad(*it, it->mLoads[1]));
  CHECK_TRUE(table == FlowTable(*it, PlayFlowLoad(*it, it->mLoads[1])));
  for (const char* name :
       { "walk (ours)", "two choices", "first rank", "hash modulo n" }) {
    CHECK_TRUE(table.find(name) != std::string::npos);
  }
}

TEST(FlowExperiment, EveryFaultIsNamedWithItsRemedy)
{
  auto it = ParseFlowExperiment(
    R"({ "title": "t", "hosts": 1, "sots": 3, "classes": [], "loads": [] })",
    "test");
  CHECK_FALSE(it.has_value());
  std::string text = it.error().Describe();
  for (const char* part : { "hosts", "sots", "classes" }) {
    CHECK_TRUE(text.find(part) != std::string::npos);
  }
}

TEST(FlowExperiment, TheExamplesCanBePlayed)
{
  for (const char* file :
       { "lakeside-grown.json", "puntada-fina-grown.json" }) {
    auto text = ReadFile(std::string(HEATHERPLANK_SOURCE_DIR) +
                         "/lab/experiments/" + file);
    CHECK_TRUE(text.has_value());
    CHECK_TRUE(ParseFlowExperiment(*text, file).has_value());
  }
}

// A host leaves and balancers without memory get the packets of open flows.
// Hash modulo n sends nearly all of them to a wrong host, ranks that nobody
// asks along lose those that were placed past a busy host; the search finds
// every one.
TEST(FlowExperiment, OnlyTheSearchKeepsFlowsWhenAHostLeaves)
{
  auto it = ParseFlowExperiment(kText, "test");
  auto results = PlayFlowLoad(*it, it->mLoads[0]);
  auto lost = [&](FlowPlacement aPlacement) {
    return results[static_cast<std::size_t>(aPlacement)].mLost;
  };
  CHECK_TRUE(lost(FlowPlacement::Walk) == 0);
  CHECK_TRUE(lost(FlowPlacement::Modulo) > 0.8);
  CHECK_TRUE(lost(FlowPlacement::TwoChoices) > 0.1);
}
