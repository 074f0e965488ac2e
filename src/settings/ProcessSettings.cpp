#include "src/settings/ProcessSettings.h"

#include <set>

#include "src/net/Endpoint.h"
#include "src/settings/JsonReader.h"

namespace heatherplank {

namespace {

constexpr std::int64_t kMostThreads = 256;
constexpr std::int64_t kMostEntries = 50000000;
constexpr std::int64_t kMostSlots = 10000;

/** An address that must have a port. */
Address RequiredAddress(JsonReader& aReader, std::string_view aKey)
{
  std::string text = aReader.RequiredString(aKey);
  if (text.empty()) {
    return {};
  }
  auto parsed = ParseAddress(text);
  if (!parsed) {
    aReader.AddFault(aKey, parsed.error().mMessage, parsed.error().mRemedy);
    return {};
  }
  if (parsed->mPort == 0) {
    aReader.AddFault(aKey, "\"" + text + "\" has port 0",
                     "set the port that others shall use");
  }
  return *parsed;
}

std::vector<Address> Addresses(JsonReader& aReader, std::string_view aKey)
{
  std::vector<Address> out;
  std::set<Address> seen;
  for (const auto& it : aReader.Strings(aKey)) {
    auto parsed = ParseAddress(it);
    if (!parsed) {
      aReader.AddFault(aKey, parsed.error().mMessage, parsed.error().mRemedy);
      continue;
    }
    if (!seen.insert(*parsed).second) {
      aReader.AddFault(aKey, "\"" + it + "\" stands twice", "remove one");
      continue;
    }
    out.push_back(*parsed);
  }
  return out;
}

bool IsV4(const Address& aAddress)
{
  return ToEndpoint<boost::asio::ip::udp>(aAddress).address().is_v4();
}

/** A process that listens on IPv4 can't send to an IPv6 peer from that socket;
 * it shows as silence, so it is refused before anything starts. */
void CheckFamily(JsonReader& aReader, std::string_view aKey,
                 const Address& aOwn, const Address& aOther)
{
  if (!aOwn.IsNone() && !aOther.IsNone() && IsV4(aOwn) != IsV4(aOther)) {
    aReader.AddFault(aKey,
                     aOther.ToString() +
                       " is of another address family than \"tunnel\" (" +
                       aOwn.ToString() + ") and can't be reached",
                     "use addresses of one family");
  }
}

void CheckOwnAddresses(JsonReader& aReader, const ProcessSettings& aSettings)
{
  CheckFamily(aReader, "control", aSettings.mTunnel, aSettings.mControl);
  if (aSettings.mControl == aSettings.mAdmin && !aSettings.mAdmin.IsNone()) {
    aReader.AddFault("admin",
                     "is the same as \"control\" (" +
                       aSettings.mAdmin.ToString() + ")",
                     "give each its own port");
  }
}

void ReadCommon(JsonReader& aReader, ProcessSettings& aOut)
{
  aOut.mName = aReader.RequiredString("name");
  aOut.mDataCentre = aReader.RequiredString("data_centre");
  aOut.mTunnel = RequiredAddress(aReader, "tunnel");
  aOut.mControl = RequiredAddress(aReader, "control");
  aOut.mAdmin = RequiredAddress(aReader, "admin");
  aOut.mPlatform = RequiredAddress(aReader, "platform");
  aOut.mThreads = static_cast<std::uint32_t>(
    aReader.Integer("threads", 1, kMostThreads, aOut.mThreads));
  aOut.mTokenFile = aReader.String("token_file", "");
  CheckOwnAddresses(aReader, aOut);
}

void ReadBalancer(JsonReader& aReader, BalancerSettings& aOut)
{
  ReadCommon(aReader, aOut);
  aOut.mPeers = Addresses(aReader, "peers");
  for (const auto& it : aOut.mPeers) {
    CheckFamily(aReader, "peers", aOut.mTunnel, it);
  }
  aOut.mMaxHints = static_cast<std::uint32_t>(
    aReader.Integer("max_hints", 1, kMostEntries, aOut.mMaxHints));
}

void ReadAgent(JsonReader& aReader, AgentSettings& aOut)
{
  ReadCommon(aReader, aOut);
  aOut.mService = aReader.RequiredString("service");
  aOut.mBalancers = Addresses(aReader, "balancers");
  if (aOut.mBalancers.empty()) {
    aReader.AddFault("balancers", "is missing or empty",
                     "list the control address of one balancer at least");
  }
  for (const auto& it : aOut.mBalancers) {
    CheckFamily(aReader, "balancers", aOut.mTunnel, it);
  }
  aOut.mBackend = RequiredAddress(aReader, "backend");
  aOut.mSlots = static_cast<std::uint16_t>(
    aReader.Integer("slots", 1, kMostSlots, aOut.mSlots));
  aOut.mWeight = static_cast<std::uint16_t>(
    aReader.Integer("weight", 1, kMostSlots, aOut.mWeight));
  aOut.mMaxFlows = static_cast<std::uint32_t>(
    aReader.Integer("max_flows", 1, kMostEntries, aOut.mMaxFlows));
  aOut.mMaxAnswerBytes = static_cast<std::uint32_t>(aReader.Integer(
    "max_answer_bytes", 65536, 1073741824, aOut.mMaxAnswerBytes));
  aOut.mVouchAfterMs = static_cast<std::uint32_t>(
    aReader.Integer("vouch_after_ms", 0, 3600000, aOut.mVouchAfterMs));
  aOut.mDrainTimeoutMs = static_cast<std::uint32_t>(
    aReader.Integer("drain_timeout_ms", 0, 3600000, aOut.mDrainTimeoutMs));
}

template<typename Settings>
Result<Settings> Parse(std::string_view aText, const std::string& aFile,
                       void (*aRead)(JsonReader&, Settings&))
{
  Settings settings;
  JsonFaults faults(aFile);
  ReadJsonDocument(aText, faults,
                   [&](JsonReader& aReader) { aRead(aReader, settings); });
  if (!faults.IsEmpty()) {
    return tl::unexpected(faults.ToError());
  }
  return settings;
}

} // namespace

Result<BalancerSettings> ParseBalancerSettings(std::string_view aText,
                                               const std::string& aFile)
{
  return Parse<BalancerSettings>(aText, aFile, ReadBalancer);
}

Result<AgentSettings> ParseAgentSettings(std::string_view aText,
                                         const std::string& aFile)
{
  return Parse<AgentSettings>(aText, aFile, ReadAgent);
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
