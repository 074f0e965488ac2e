#include "src/settings/ProcessSettings.h"

#include "src/settings/JsonReader.h"
#include "src/settings/SettingsParts.h"

namespace heatherplank {

namespace {

constexpr std::int64_t kMaxEntries = 50000000;
constexpr std::int64_t kMaxSlots = 10000;

void ReadBalancer(JsonReader& aReader, BalancerSettings& aOut)
{
  ReadCommon(aReader, aOut);
  aOut.mPeers = ReadAddresses(aReader, "peers");
  for (const auto& it : aOut.mPeers) {
    CheckFamily(aReader, "peers", aOut.mTunnel, it);
  }
  aOut.mMaxHints = static_cast<std::uint32_t>(
    aReader.Integer("max_hints", 1, kMaxEntries, aOut.mMaxHints));
}

void ReadAgent(JsonReader& aReader, AgentSettings& aOut)
{
  ReadCommon(aReader, aOut);
  aOut.mService = aReader.RequiredString("service");
  aOut.mBalancers = ReadAddresses(aReader, "balancers");
  if (aOut.mBalancers.empty()) {
    aReader.AddFault("balancers", "is missing or empty",
                     "list the control address of at least one balancer");
  }
  for (const auto& it : aOut.mBalancers) {
    CheckFamily(aReader, "balancers", aOut.mTunnel, it);
  }
  aOut.mBackend = RequiredAddress(aReader, "backend");
  aOut.mSlots = static_cast<std::uint16_t>(
    aReader.Integer("slots", 1, kMaxSlots, aOut.mSlots));
  aOut.mWeight = static_cast<std::uint16_t>(
    aReader.Integer("weight", 1, kMaxSlots, aOut.mWeight));
  aOut.mMaxFlows = static_cast<std::uint32_t>(
    aReader.Integer("max_flows", 1, kMaxEntries, aOut.mMaxFlows));
  aOut.mMaxAnswerBytes = static_cast<std::uint32_t>(aReader.Integer(
    "max_answer_bytes", 65536, 1073741824, aOut.mMaxAnswerBytes));
  aOut.mConfirmAfterMs = static_cast<std::uint32_t>(
    aReader.Integer("vouch_after_ms", 0, 3600000, aOut.mConfirmAfterMs));
  aOut.mDrainTimeoutMs = static_cast<std::uint32_t>(
    aReader.Integer("drain_timeout_ms", 0, 3600000, aOut.mDrainTimeoutMs));
}

} // namespace

Result<BalancerSettings> ParseBalancerSettings(std::string_view aText,
                                               const std::string& aFile)
{
  return ParseSettings<BalancerSettings>(aText, aFile, ReadBalancer);
}

Result<AgentSettings> ParseAgentSettings(std::string_view aText,
                                         const std::string& aFile)
{
  return ParseSettings<AgentSettings>(aText, aFile, ReadAgent);
}

Result<BalancerSettings> ReadBalancerSettings(const std::string& aFile)
{
  return ReadFile(aFile).and_then([&](const std::string& aText) {
    return ParseBalancerSettings(aText, aFile);
  });
}

Result<AgentSettings> ReadAgentSettings(const std::string& aFile)
{
  return ReadFile(aFile).and_then(
    [&](const std::string& aText) { return ParseAgentSettings(aText, aFile); });
}

} // namespace heatherplank
