#include "src/config/ConfigurationParts.h"
#include "src/config/ConfigurationAssembler.h"

#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/ObjectStore.h"
#include "src/config/ConfigurationMerge.h"
#include "tests/ConfigWorld.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(ConfigurationParts){};

TEST(ConfigurationParts, PlannedFleetFitsAndServiceChangeAltersOnePart)
{
  Configuration fleet = MakeFleet(6000);
  std::size_t count = ChoosePartCount(6000, 0);
  LONGS_EQUAL(512, count);
  auto parts = SplitConfiguration(fleet, count).value();
  ConfigurationHead head;
  head.mVersion = 1;
  for (const auto& it : parts) {
    CHECK_TRUE(it.size() <= ObjectStore::kMaxObjectSize);
    head.mParts.push_back({ HashPart(it), 1 });
  }
  CHECK_TRUE(SerializeHead(head).size() <= ObjectStore::kMaxObjectSize);
  auto assemble = [&] {
    return AssembleConfiguration(
      head, std::vector<std::string_view>(parts.begin(), parts.end()));
  };
  auto whole = assemble();
  CHECK_TRUE(whole.has_value());
  CHECK_TRUE(HasSameContent(fleet, **whole));
  auto after =
    SplitConfiguration(MakeFleet(6000, 9), ChoosePartCount(6000, count))
      .value();
  int changed = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    changed += parts[i] == after[i] ? 0 : 1;
  }
  LONGS_EQUAL(1, changed);
  parts[5][9] ^= 1;
  CHECK_FALSE(assemble().has_value());
}

TEST(ConfigurationParts, LargeServicesAreSplitIntoMoreParts)
{
  Configuration fleet = MakeFleet(2);
  ExpectedHost host{ std::string(100, 'h'), "a", 1 };
  for (auto& it : fleet.mServices) {
    it.second.mHosts.assign(4000, host);
  }
  auto parts = SplitConfiguration(fleet, 1);
  CHECK_TRUE(parts.has_value());
  CHECK_TRUE(parts->size() > 2);
  fleet.mServices.begin()->second.mHosts.assign(9000, host);
  CHECK_FALSE(SplitConfiguration(fleet, 1).has_value());
}
