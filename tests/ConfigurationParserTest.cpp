#include "src/config/ConfigurationParser.h"

#include <string>

#include <boost/json/serialize.hpp>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

/** Returns a small valid configuration in which aOld is replaced by aNew. */
std::string WithChange(const std::string& aOld, const std::string& aNew)
{
  std::string text = R"({
    "data_centres": ["hall-a", "hall-b"],
    "policy": {"name": "random"},
    "services": [
      {"name": "desk", "addresses": ["127.0.0.1:7001"],
       "hosts": [{"name": "desk-1", "data_centre": "hall-a"}],
       "rules": [{"name": "claims", "method": "POST", "importance": "high"}]},
      {"name": "docs", "addresses": ["127.0.0.1:7002"]}],
    "drained_hosts": ["desk-1"]})";
  auto at = text.find(aOld);
  CHECK_TRUE(at != std::string::npos);
  return text.replace(at, aOld.size(), aNew);
}

std::string FaultsOf(const std::string& aText)
{
  JsonFaults faults("c");
  ParseConfiguration(aText, 1, faults);
  return faults.Describe();
}

} // namespace

TEST_GROUP(ConfigurationParser){};

TEST(ConfigurationParser, FaultNamesPathValueAndRemedy)
{
  struct Case
  {
    const char* mOld;
    const char* mNew;
    const char* mFault;
  };
  const Case cases[] = {
    { "hall-b", "hall-a",
      "c: data_centres: \"hall-a\" appears twice; list each data centre once" },
    { "[\"hall-a\", \"hall-b\"]", "[]", "c: data_centres: no data centre" },
    { "random", "best", "c: policy.name: found \"best\"; give one of: random" },
    { "\"random\"", "\"random\", \"imbalance_weight\": -1",
      "c: policy.imbalance_weight: found -1" },
    { "\"docs\"", "\"desk\"", "c: services[1].name: \"desk\" appears twice" },
    { "\"docs\"", "\"Docs\"", "c: services[1].name: found \"Docs\"; use at" },
    { "7002", "7001",
      "c: services[1].addresses[0]: 127.0.0.1:7001 belongs to service "
      "\"desk\"; list each address once, in one service" },
    { "127.0.0.1:7002", "desk.example:80",
      "c: services[1].addresses[0]: found \"desk.example:80\"" },
    { "127.0.0.1:7002", "224.0.0.1:7002", "which callers cannot reach" },
    { "127.0.0.1:7002", "0.0.0.0:7002", "which callers cannot reach" },
    { "127.0.0.1:7002", "[fe80::1]:7002", "which callers cannot reach" },
    { "127.0.0.1:7002", "10.0.0.1:0", "which callers cannot reach" },
    { "\"data_centre\": \"hall-a\"", "\"data_centre\": \"hall-z\"",
      "c: services[0].hosts[0].data_centre: \"hall-z\" is not in" },
    { ", \"data_centre\": \"hall-a\"", "",
      "c: services[0].hosts[0].data_centre: missing; add the key" },
    { "\"high\"", "\"urgent\"", "c: services[0].rules[0].importance: found" },
    { "\"POST\"", "\"post\"", "c: services[0].rules[0].method: found" },
    { "\"high\"", "\"high\", \"deadline_ms\": 0",
      "c: services[0].rules[0].deadline_ms: found 0; give a whole number" },
    { "\"rules\": [", "\"rules\": [{\"name\": \"all\"}, ",
      "c: services[0].rules[1].name: rule \"claims\" is never reached" },
    { "[\"desk-1\"]", "[\"desk-9\"]",
      "c: drained_hosts: \"desk-9\" is not in the inventory" },
    { "\"drained_hosts\"", "\"draind_hosts\"",
      "c: draind_hosts: unknown key; did you mean \"drained_hosts\"?" },
  };
  STRCMP_EQUAL("", FaultsOf(WithChange("hall-b", "hall-b")).c_str());
  for (const auto& it : cases) {
    STRCMP_CONTAINS(it.mFault, FaultsOf(WithChange(it.mOld, it.mNew)).c_str());
  }
}

TEST(ConfigurationParser, ReportsAllFaultsOfADocument)
{
  std::string faults = FaultsOf(R"({"data_centres": ["a"], "polici": {},
    "services": [{"name": "x", "addresses": ["nowhere"], "hosts": 3}]})");
  STRCMP_CONTAINS("polici", faults.c_str());
  STRCMP_CONTAINS("services[0].addresses[0]", faults.c_str());
  STRCMP_CONTAINS("services[0].hosts", faults.c_str());
}

TEST(ConfigurationParser, ExamplesAreValidAndCanonicalTextRoundTrips)
{
  for (const char* file :
       { "examples/lakeside.json", "examples/puntada-fina.json" }) {
    std::string path = std::string(HEATHERPLANK_SOURCE_DIR) + "/" + file;
    auto first = ParseConfiguration(ReadFile(path).value(), 3, path);
    CHECK_TRUE(first.has_value());
    LONGS_EQUAL(2, (*first)->mServices.size());
    std::string text = ToPrettyText(ToJson(**first));
    auto second = ParseConfiguration(text, 3, "canonical");
    CHECK_TRUE(second.has_value());
    STRCMP_EQUAL(text.c_str(), ToPrettyText(ToJson(**second)).c_str());
  }
}

TEST(ConfigurationParser, FindsServiceByAddressAndKeepsOrderOfRules)
{
  std::string path =
    std::string(HEATHERPLANK_SOURCE_DIR) + "/examples/lakeside.json";
  auto config = ParseConfiguration(ReadFile(path).value(), 1, path).value();
  const auto* desk = config->Find(MakeServiceId("cover-desk"));
  CHECK_TRUE(desk == config->FindByAddress(desk->mAddresses[0]));
  LONGS_EQUAL(7, desk->mHosts.size());
  CHECK_TRUE(desk->mRules[0].mNeverRepeat);
  CHECK_TRUE(desk->mRules[0].mImportance == Importance::Critical);
}
