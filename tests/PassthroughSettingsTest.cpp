#include "src/passthrough/PassthroughSettings.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

const std::string kShared = R"(
  "name": "b", "data_centre": "z",
  "tunnel": "10.0.0.1:7000", "control": "10.0.0.1:7000",
  "admin": "10.0.0.1:8000", "platform": "10.0.0.9:80",
  "seeds": ["10.0.0.1:99", "10.0.0.2:99"], "seed_port": 7000,
  "caller_port_of": "10.0.0.1:4444", )";

const std::string kBalancer =
  "{" + kShared + R"("ingress": "10.0.0.1:4444", "routes_key": "a/b"})";

} // namespace

TEST_GROUP(PassthroughSettings){};

TEST(PassthroughSettings, ReadsABalancer)
{
  auto read = ParseFlowBalancerSettings(kBalancer, "f.json");
  CHECK_TRUE(read.has_value());
  STRCMP_EQUAL("10.0.0.1:4444", read->mIngress.ToString().c_str());
  CHECK_EQUAL(4444, read->mCallerPort);
  // The balancer's control address is no seed; the others get the seeds' port.
  CHECK_EQUAL(1, read->mSeeds.size());
  STRCMP_EQUAL("10.0.0.2:7000", read->mSeeds[0].ToString().c_str());
}

TEST(PassthroughSettings, ReadsTheLinkCapacityAndPropagationTime)
{
  auto read = ParseFlowBalancerSettings(
    "{" + kShared + R"("ingress": "10.0.0.1:4444", "routes_key": "a/b",
      "link_mbps": 2.5, "routes_in_force_within_ms": 6000})",
    "f.json");
  CHECK_TRUE(read.has_value());
  DOUBLES_EQUAL(2.5, read->mLinkMbps, 0);
  CHECK_EQUAL(6000, read->mRoutesInForceWithinMs);
  CHECK_FALSE(
    ParseFlowBalancerSettings("{" + kShared + R"("ingress": "10.0.0.1:4444",
      "routes_key": "a/b", "link_mbps": 0})",
                              "f.json")
      .has_value());
}

TEST(PassthroughSettings, TheErrorNamesEveryFault)
{
  auto read = ParseFlowBalancerSettings(
    "{" + kShared + R"("ingres": "x", "max_hints": 0})", "f.json");
  CHECK_FALSE(read.has_value());
  std::string why = read.error().Describe();
  for (const char* it : { "f.json", "ingress", "routes_key", "max_hints" }) {
    CHECK_TRUE(why.find(it) != std::string::npos);
  }
}

TEST(PassthroughSettings, ReadsAnAgent)
{
  auto read = ParseFlowAgentSettings(
    "{" + kShared + R"("service": "s", "host_inbox": "10.0.0.1:1",
      "host_outbox": "10.0.0.1:2", "host_calls": "10.0.0.1:3",
      "host_heartbeat_ms": 500, "schedule_requests": false})",
    "f.json");
  CHECK_TRUE(read.has_value());
  CHECK_FALSE(read->mScheduleRequests);
  CHECK_TRUE(FlowAgentSettings().mScheduleRequests);
  CHECK_EQUAL(500, read->mHostHeartbeatMs);
  CHECK_EQUAL(60, read->mFlowsLastS);
  CHECK_FALSE(
    ParseFlowAgentSettings("{" + kShared + "}", "f.json").has_value());
}
