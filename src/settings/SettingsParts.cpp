#include "src/settings/SettingsParts.h"

#include <set>

#include "src/net/Endpoint.h"

namespace heatherplank {

namespace {

constexpr std::int64_t kMaxThreads = 256;

bool IsV4(const Address& aAddress)
{
  return ToEndpoint<boost::asio::ip::udp>(aAddress).address().is_v4();
}

void CheckSelfAddresses(JsonReader& aReader, const ProcessSettings& aSettings)
{
  CheckFamily(aReader, "control", aSettings.mTunnel, aSettings.mControl);
  if (aSettings.mControl == aSettings.mAdmin && !aSettings.mAdmin.IsNone()) {
    aReader.AddFault("admin",
                     "is the same as \"control\" (" +
                       aSettings.mAdmin.ToString() + ")",
                     "give each its own port");
  }
}

} // namespace

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
                     "set the port that other processes use");
  }
  return *parsed;
}

std::vector<Address> ReadAddresses(JsonReader& aReader, std::string_view aKey)
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
      aReader.AddFault(aKey, "\"" + it + "\" is listed twice", "remove one");
      continue;
    }
    out.push_back(*parsed);
  }
  return out;
}

void CheckFamily(JsonReader& aReader, std::string_view aKey,
                 const Address& aSelf, const Address& aPeer)
{
  if (!aSelf.IsNone() && !aPeer.IsNone() && IsV4(aSelf) != IsV4(aPeer)) {
    aReader.AddFault(aKey,
                     aPeer.ToString() +
                       " is of another address family than \"tunnel\" (" +
                       aSelf.ToString() + ") and can't be reached",
                     "use addresses of one family");
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
    aReader.Integer("threads", 1, kMaxThreads, aOut.mThreads));
  aOut.mTokenFile = aReader.String("token_file", "");
  aOut.mLogFlows = aReader.Bool("log_flows", aOut.mLogFlows);
  CheckSelfAddresses(aReader, aOut);
}

} // namespace heatherplank
