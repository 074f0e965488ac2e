#include "src/config/ConfigCodec.h"

#include <random>

#include "src/config/ConfigDistribution.h"
#include "tests/ConfigWorld.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

ConfigMessage RoundTrip(const ConfigMessage& aMessage)
{
  auto encoded = EncodeConfigMessage(aMessage);
  return DecodeConfigMessage({ encoded.mKind, encoded.mPayload }).value();
}

const ConfigMessage kMessages[] = {
  ConfigOffer{ 7, { 1, 2 }, { 3, 4 }, "ana", 5, 6, { { 8, { { 9, 1 }, 2 } } } },
  ConfigRequest{ 7, { 3 }, { 4, 5 }, true, { { 6, 7 }, { 8, 9 } } },
  ConfigObjects{ 7, "{\"version\": 8}", { "{}", "{\"services\":[]}" } },
};

} // namespace

TEST_GROUP(ConfigCodec){};

TEST(ConfigCodec, RoundTripPreservesEachMessage)
{
  for (const auto& it : kMessages) {
    CHECK_TRUE(RoundTrip(it) == it);
  }
}

// A balancer and an agent receive truncated or corrupted messages. Each message
// must be rejected or handled without a crash, and the configuration version in
// force must not change.
TEST(ConfigCodec, CorruptedMessagesLeaveTheVersionInForce)
{
  ConfigWorld world({});
  world.Publish(MakeFleet(4));
  world.Run(std::chrono::seconds(3));
  auto* balancer = world.Balancers().front();
  auto* agent = world.Agents().front();
  std::mt19937_64 random(1);
  int rejected = 0;
  for (int i = 0; i < 10000; ++i) {
    auto encoded = EncodeConfigMessage(kMessages[random() % 3]);
    Bytes& bytes = encoded.mPayload;
    for (auto n = random() % 4; n > 0; --n) {
      bytes[random() % bytes.size()] ^= 1U << (random() % 8);
    }
    bytes.resize(random() % 3 == 0 ? random() % bytes.size() : bytes.size());
    auto message = DecodeConfigMessage({ encoded.mKind, bytes });
    rejected += message ? 0 : 1;
    if (message) {
      balancer->mBalancer->OnMessage(agent->mId, *message, world.mNow);
      agent->mAgent->OnMessage(balancer->mId, *message, world.mNow);
      balancer->mBalancer->TakeActions();
      agent->mAgent->TakeActions();
    }
  }
  CHECK_TRUE(rejected > 3000);
  LONGS_EQUAL(1, balancer->mBalancer->Version());
  LONGS_EQUAL(1, agent->mAgent->Version());
}
