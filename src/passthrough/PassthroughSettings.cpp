#include "src/passthrough/PassthroughSettings.h"

#include <algorithm>

#include "src/settings/SettingsParts.h"

namespace heatherplank {

namespace {

constexpr std::int64_t kLargestPort = 65535;
constexpr std::int64_t kMostFlows = 50000000;
constexpr std::int64_t kDaySeconds = 86400;
constexpr std::int64_t kHourMs = 3600000;
/** Watches of a part of it would be a stream of calls below. */
constexpr std::int64_t kLeastInForceMs = 500;
constexpr double kLeastLinkMbps = 0.01;
constexpr double kMostLinkMbps = 1000000;
constexpr std::int64_t kMostOffsetMs = kDaySeconds * 1000;

void ReadShared(JsonReader& aReader, PassthroughSettings& aOut)
{
  ReadCommon(aReader, aOut);
  aOut.mSeedPort = static_cast<std::uint16_t>(
    aReader.Integer("seed_port", 0, kLargestPort, aOut.mSeedPort));
  aOut.mSeeds = ReadAddresses(aReader, "seeds");
  for (Address& it : aOut.mSeeds) {
    it.mPort = aOut.mSeedPort == 0 ? it.mPort : aOut.mSeedPort;
  }
  std::erase(aOut.mSeeds, aOut.mControl);
  aOut.mDirectory = aReader.String("directory", "");
  if (aReader.Has("caller_port_of")) {
    aOut.mCallerPort = RequiredAddress(aReader, "caller_port_of").mPort;
  }
  if (aReader.Has("metrics")) {
    aOut.mMetrics = RequiredAddress(aReader, "metrics");
  }
  aOut.mFlowsLastS = static_cast<std::uint32_t>(
    aReader.Integer("flows_last_s", 1, kDaySeconds, aOut.mFlowsLastS));
  aOut.mFaultInjection = aReader.Bool("fault_injection", false);
  aOut.mClockOffsetMs =
    aReader.Integer("clock_offset_ms", -kMostOffsetMs, kMostOffsetMs, 0);
}

void ReadBalancer(JsonReader& aReader, FlowBalancerSettings& aOut)
{
  ReadShared(aReader, aOut);
  aOut.mIngress = RequiredAddress(aReader, "ingress");
  aOut.mRoutesKey = aReader.RequiredString("routes_key");
  aOut.mDrains = aReader.String("drains", "");
  aOut.mMaxHints = static_cast<std::uint32_t>(
    aReader.Integer("max_hints", 1, kMostFlows, aOut.mMaxHints));
  aOut.mLinkMbps =
    aReader.Number("link_mbps", kLeastLinkMbps, kMostLinkMbps, aOut.mLinkMbps);
  aOut.mRoutesInForceWithinMs = static_cast<std::uint32_t>(
    aReader.Integer("routes_in_force_within_ms", kLeastInForceMs, kHourMs,
                    aOut.mRoutesInForceWithinMs));
  aOut.mDrainsInForceWithinMs = static_cast<std::uint32_t>(
    aReader.Integer("drains_in_force_within_ms", kLeastInForceMs, kHourMs,
                    aOut.mRoutesInForceWithinMs));
}

void ReadAgent(JsonReader& aReader, FlowAgentSettings& aOut)
{
  ReadShared(aReader, aOut);
  aOut.mService = aReader.RequiredString("service");
  aOut.mHostInbox = RequiredAddress(aReader, "host_inbox");
  aOut.mHostOutbox = RequiredAddress(aReader, "host_outbox");
  aOut.mHostCalls = RequiredAddress(aReader, "host_calls");
  aOut.mHostHeartbeatMs = static_cast<std::uint32_t>(
    aReader.Integer("host_heartbeat_ms", 10, kHourMs, aOut.mHostHeartbeatMs));
  aOut.mMaxFlows = static_cast<std::uint32_t>(
    aReader.Integer("max_flows", 1, kMostFlows, aOut.mMaxFlows));
}

} // namespace

Result<FlowBalancerSettings> ParseFlowBalancerSettings(std::string_view aText,
                                                       const std::string& aFile)
{
  return ParseSettings<FlowBalancerSettings>(aText, aFile, ReadBalancer);
}

Result<FlowAgentSettings> ParseFlowAgentSettings(std::string_view aText,
                                                 const std::string& aFile)
{
  return ParseSettings<FlowAgentSettings>(aText, aFile, ReadAgent);
}

Result<FlowBalancerSettings> ReadFlowBalancerSettings(const std::string& aFile)
{
  return ReadFile(aFile).and_then([&](const std::string& aText) {
    return ParseFlowBalancerSettings(aText, aFile);
  });
}

Result<FlowAgentSettings> ReadFlowAgentSettings(const std::string& aFile)
{
  return ReadFile(aFile).and_then([&](const std::string& aText) {
    return ParseFlowAgentSettings(aText, aFile);
  });
}

} // namespace heatherplank
