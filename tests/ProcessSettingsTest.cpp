#include <string>
#include <vector>

#include "src/settings/ProcessSettings.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

const std::string kGood = R"({
  // A host of the front desk.
  "name": "cover-desk-1", "service": "cover-desk", "data_centre": "hall-a",
  "tunnel": "127.0.0.1:1", "control": "127.0.0.1:2", "admin": "127.0.0.1:3",
  "platform": "127.0.0.1:4", "balancers": ["127.0.0.1:5"],
  "backend": "127.0.0.1:6", "slots": 2,
})";

std::string Replace(const std::string& aFrom, const std::string& aTo)
{
  std::string out = kGood;
  return out.replace(out.find(aFrom), aFrom.size(), aTo);
}

} // namespace

TEST_GROUP(ProcessSettings){};

TEST(ProcessSettings, ParsesAgentSettingsWithComments)
{
  auto settings = ParseAgentSettings(kGood, "a.json").value();
  STRCMP_EQUAL("cover-desk", settings.mService.c_str());
  CHECK_EQUAL(5, settings.mBalancers[0].mPort);
}

TEST(ProcessSettings, EachFaultNamesFileKeyAndRemedy)
{
  struct Case
  {
    std::string mText;
    std::vector<std::string> mExpected;
  };
  const std::vector<Case> cases{
    { Replace("\"slots\": 2", "\"slotz\": 2"), { "slotz", "slots" } },
    { Replace("\"slots\": 2", "\"slots\": \"2\""), { "slots" } },
    { Replace("\"slots\": 2", "\"slots\": 0"), { "slots", "1" } },
    { Replace("\"slots\": 2", "\"slots\": 2, \"slots\": 3"), { "slots" } },
    { Replace("127.0.0.1:6", "127.0.0.1"), { "backend", "127.0.0.1:8080" } },
    { Replace("127.0.0.1:5", "[::1]:5"), { "balancers", "family" } },
    { Replace("127.0.0.1:3", "127.0.0.1:2"), { "admin", "own port" } },
    { Replace("\"name\": \"cover-desk-1\",", ""), { "name" } },
  };
  for (const auto& it : cases) {
    auto settings = ParseAgentSettings(it.mText, "a.json");
    CHECK_FALSE(settings.has_value());
    std::string text = settings.error().Describe();
    CHECK_TRUE(text.find("a.json") != std::string::npos);
    for (const auto& expected : it.mExpected) {
      std::string missing = expected;
      missing.append(" not in: ").append(text);
      CHECK_TEXT(text.find(expected) != std::string::npos, missing.c_str());
    }
  }
}

TEST(ProcessSettings, ReportsAllFaultsAtOnce)
{
  auto settings = ParseBalancerSettings("{\"name\": 3, \"nam\": 1}", "b.json");
  std::string text = settings.error().Describe();
  for (const char* key : { "name", "nam", "tunnel", "control", "admin" }) {
    CHECK_TRUE(text.find(key) != std::string::npos);
  }
}
