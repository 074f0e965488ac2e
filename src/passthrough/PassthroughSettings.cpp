#include "src/passthrough/PassthroughSettings.h"

#include <algorithm>

#include "src/settings/SettingsParts.h"

namespace heatherplank {

namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxFlows = 50000000;
constexpr std::int64_t kSecondsPerDay = 86400;
constexpr std::int64_t kMsPerHour = 3600000;
/** Watches last a share of this time: below it they would cost too many store
 * calls. */
constexpr std::int64_t kMinInForceMs = 500;
constexpr double kMinLinkMbps = 0.01;
constexpr double kMaxLinkMbps = 1000000;
constexpr std::int64_t kMaxClockOffsetMs = kSecondsPerDay * 1000;

void ReadShared(JsonReader& aReader, PassthroughSettings& aOut)
{
  ReadCommon(aReader, aOut);
  aOut.mSeedPort = static_cast<std::uint16_t>(
    aReader.Integer("seed_port", 0, kMaxPort, aOut.mSeedPort));
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
    aReader.Integer("flows_last_s", 1, kSecondsPerDay, aOut.mFlowsLastS));
  aOut.mFaultInjection = aReader.Bool("fault_injection", false);
  aOut.mClockOffsetMs = aReader.Integer("clock_offset_ms", -kMaxClockOffsetMs,
                                        kMaxClockOffsetMs, 0);
}

void ReadBalancer(JsonReader& aReader, FlowBalancerSettings& aOut)
{
  ReadShared(aReader, aOut);
  aOut.mIngress = RequiredAddress(aReader, "ingress");
  aOut.mRoutesKey = aReader.RequiredString("routes_key");
  aOut.mDrains = aReader.String("drains", "");
  aOut.mMaxHints = static_cast<std::uint32_t>(
    aReader.Integer("max_hints", 1, kMaxFlows, aOut.mMaxHints));
  aOut.mLinkMbps =
    aReader.Number("link_mbps", kMinLinkMbps, kMaxLinkMbps, aOut.mLinkMbps);
  aOut.mRoutesInForceWithinMs = static_cast<std::uint32_t>(
    aReader.Integer("routes_in_force_within_ms", kMinInForceMs, kMsPerHour,
                    aOut.mRoutesInForceWithinMs));
  aOut.mDrainsInForceWithinMs = static_cast<std::uint32_t>(
    aReader.Integer("drains_in_force_within_ms", kMinInForceMs, kMsPerHour,
                    aOut.mRoutesInForceWithinMs));
}

void ReadAgent(JsonReader& aReader, FlowAgentSettings& aOut)
{
  ReadShared(aReader, aOut);
  aOut.mService = aReader.RequiredString("service");
  aOut.mHostInbox = RequiredAddress(aReader, "host_inbox");
  aOut.mHostOutbox = RequiredAddress(aReader, "host_outbox");
  aOut.mHostCalls = RequiredAddress(aReader, "host_calls");
  aOut.mHostHeartbeatMs = static_cast<std::uint32_t>(aReader.Integer(
    "host_heartbeat_ms", 10, kMsPerHour, aOut.mHostHeartbeatMs));
  aOut.mMaxFlows = static_cast<std::uint32_t>(
    aReader.Integer("max_flows", 1, kMaxFlows, aOut.mMaxFlows));
  aOut.mScheduleRequests =
    aReader.Bool("schedule_requests", aOut.mScheduleRequests);
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
