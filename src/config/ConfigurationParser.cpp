#include "src/config/ConfigurationParser.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/ip/udp.hpp>

#include "src/config/ConfigurationCheck.h"
#include "src/decide/BalancingPolicy.h"
#include "src/net/Endpoint.h"

namespace heatherplank {

namespace {

constexpr std::array<std::string_view, 4> kImportances{ "low", "normal", "high",
                                                        "critical" };
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxWeight = 10000;
constexpr std::int64_t kMaxDeadlineMs = 600000;
constexpr std::int64_t kMaxQueue = 1000000;
constexpr double kMaxScoreWeight = 1000;
/** Keeps a service's canonical JSON well below the size of a part object. */
constexpr std::size_t kMaxHostsPerService = 4000;
constexpr std::size_t kMaxNameBytes = 63;
constexpr std::int64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();

/** Restricts names to characters safe in URLs, metric labels and keys. */
bool IsPlainName(std::string_view aName)
{
  return aName.size() <= kMaxNameBytes &&
         std::ranges::all_of(aName, [](unsigned char aChar) {
           return (aChar >= 'a' && aChar <= 'z') ||
                  (aChar >= '0' && aChar <= '9') || aChar == '-' ||
                  aChar == '_' || aChar == '.';
         });
}

/** Reads one document and checks that its names and addresses are unique. */
class ConfigurationReader
{
public:
  explicit ConfigurationReader(Configuration& aOut)
    : mOut(&aOut)
  {
  }

  void ReadGeneral(JsonReader& aReader)
  {
    mOut->mDataCentres = aReader.Strings("data_centres");
    CheckDataCentres(aReader);
    aReader.Object("policy", [this](JsonReader& aIt) { ReadPolicy(aIt); });
    mOut->mDrainedHosts = aReader.Strings("drained_hosts");
  }

  void ReadServices(JsonReader& aReader)
  {
    aReader.Objects("services", [this](JsonReader& aIt) { ReadService(aIt); });
  }

private:
  std::string ReadName(JsonReader& aReader)
  {
    std::string name = aReader.RequiredString("name");
    if (!IsPlainName(name)) {
      aReader.AddFault("name", "found \"" + name + "\"",
                       "use at most 63 of a-z, 0-9, '-', '_' and '.'");
    }
    return name;
  }

  void CheckDataCentres(JsonReader& aReader)
  {
    if (mOut->mDataCentres.empty()) {
      aReader.AddFault("data_centres", "no data centre", "list at least one");
    }
    std::set<DataCentreId> ids;
    for (const auto& it : mOut->mDataCentres) {
      if (!IsPlainName(it)) {
        aReader.AddFault("data_centres", "found \"" + it + "\"",
                         "use at most 63 of a-z, 0-9, '-', '_' and '.'");
      }
      if (!ids.insert(MakeDataCentreId(it)).second) {
        aReader.AddFault("data_centres", "\"" + it + "\" appears twice",
                         "list each data centre once");
      }
    }
  }

  void ReadPolicy(JsonReader& aReader)
  {
    PolicyChoice& policy = mOut->mPolicy;
    policy.mName = aReader.Choice("name", BalancingPolicyNames(), policy.mName);
    policy.mBrokenFlowsWeight = aReader.Number(
      "broken_flows_weight", 0, kMaxScoreWeight, policy.mBrokenFlowsWeight);
    policy.mImbalanceWeight = aReader.Number(
      "imbalance_weight", 0, kMaxScoreWeight, policy.mImbalanceWeight);
    if (policy.mBrokenFlowsWeight + policy.mImbalanceWeight <= 0) {
      aReader.AddFault("broken_flows_weight", "both weights are 0",
                       "give at least one weight above 0");
    }
  }

  void ReadService(JsonReader& aReader)
  {
    Service service;
    service.mName = ReadName(aReader);
    service.mId = MakeServiceId(service.mName);
    service.mSlotsPerHost = static_cast<std::uint16_t>(
      aReader.Integer("slots_per_host", 1, kMaxSlots, service.mSlotsPerHost));
    ReadAddresses(aReader, service);
    aReader.Objects("hosts", [&](JsonReader& aIt) { ReadHost(aIt, service); });
    CheckHostCount(aReader, service);
    aReader.Objects("rules", [&](JsonReader& aIt) { ReadRule(aIt, service); });
    auto [it, isNew] = mOut->mServices.try_emplace(service.mId, service);
    if (!isNew) {
      AddDuplicateFault(aReader, it->second.mName, service.mName);
    }
  }

  /** Adds a fault for a repeated name or for two names with the same hash.
   * Either would merge two services, and packets of one would reach the other.
   */
  static void AddDuplicateFault(JsonReader& aReader, const std::string& aFirst,
                                const std::string& aSecond)
  {
    if (aFirst == aSecond) {
      aReader.AddFault("name", "\"" + aSecond + "\" appears twice",
                       "use a different name for each");
      return;
    }
    aReader.AddFault(
      "name", "\"" + aSecond + "\" has the same hash as \"" + aFirst + "\"",
      "change one of the two names");
  }

  void ReadAddresses(JsonReader& aReader, Service& aService)
  {
    auto texts = aReader.Strings("addresses");
    if (texts.empty()) {
      aReader.AddFault("addresses", "no address", "list at least one IP:port");
    }
    for (std::size_t i = 0; i < texts.size(); ++i) {
      ReadAddress(aReader, "addresses[" + std::to_string(i) + "]", texts[i],
                  aService);
    }
  }

  void ReadAddress(JsonReader& aReader, const std::string& aKey,
                   const std::string& aText, Service& aService)
  {
    auto address = ParseAddress(aText);
    if (!address) {
      aReader.AddFault(aKey, "found \"" + aText + "\"",
                       address.error().mRemedy);
      return;
    }
    if (!IsReachable(*address)) {
      aReader.AddFault(aKey,
                       "found \"" + aText + "\", which callers cannot reach",
                       "give a unicast IP address and a port from 1");
      return;
    }
    auto [it, isNew] = mServiceByAddress.try_emplace(*address, aService.mName);
    if (!isNew) {
      aReader.AddFault(aKey,
                       aText + " belongs to service \"" + it->second + "\"",
                       "list each address once, in one service");
      return;
    }
    aService.mAddresses.push_back(*address);
  }

  /** False for unspecified, multicast and link-local IPv6 addresses (an address
   * has no scope here), and for port 0. */
  static bool IsReachable(const Address& aAddress)
  {
    auto ip = ToEndpoint<boost::asio::ip::udp>(aAddress).address();
    bool linkLocal = ip.is_v6() && ip.to_v6().is_link_local();
    return aAddress.mPort != 0 && !ip.is_unspecified() && !ip.is_multicast() &&
           !linkLocal;
  }

  void ReadHost(JsonReader& aReader, Service& aService)
  {
    ExpectedHost host;
    host.mName = ReadName(aReader);
    host.mDataCentre = aReader.RequiredString("data_centre");
    host.mWeight = static_cast<std::uint16_t>(
      aReader.Integer("weight", 0, kMaxWeight, host.mWeight));
    if (!host.mDataCentre.empty() &&
        std::ranges::find(mOut->mDataCentres, host.mDataCentre) ==
          mOut->mDataCentres.end()) {
      aReader.AddFault("data_centre",
                       "\"" + host.mDataCentre + "\" is not in data_centres",
                       "use a listed data centre, or add this one to the list");
    }
    auto [it, isNew] =
      mHostNames.try_emplace(MakeHostId(host.mName), host.mName);
    if (!isNew) {
      AddDuplicateFault(aReader, it->second, host.mName);
    }
    aService.mHosts.push_back(std::move(host));
  }

  static void CheckHostCount(JsonReader& aReader, const Service& aService)
  {
    if (aService.mHosts.size() > kMaxHostsPerService) {
      aReader.AddFault(
        "hosts", "found " + std::to_string(aService.mHosts.size()) + " hosts",
        "split the service: at most " + std::to_string(kMaxHostsPerService));
    }
  }

  void ReadRule(JsonReader& aReader, Service& aService)
  {
    Rule rule;
    rule.mName = ReadName(aReader);
    rule.mMethod = aReader.String("method", "");
    rule.mPathPrefix = aReader.String("path_prefix", "");
    std::string importance =
      aReader.Choice("importance", kImportances, "normal");
    rule.mImportance = static_cast<Importance>(
      std::ranges::find(kImportances, importance) - kImportances.begin());
    rule.mNeverRepeat = aReader.Bool("never_repeat", false);
    rule.mMayWait = aReader.Bool("may_wait", false);
    rule.mDeadline = std::chrono::milliseconds(
      aReader.Integer("deadline_ms", 1, kMaxDeadlineMs, 2000));
    rule.mQueueLimit = static_cast<std::uint32_t>(
      aReader.Integer("queue_limit", 0, kMaxQueue, rule.mQueueLimit));
    CheckRule(aReader, rule, aService);
    aService.mRules.push_back(std::move(rule));
  }

  static void CheckRule(JsonReader& aReader, const Rule& aRule,
                        const Service& aService)
  {
    if (!aRule.mMethod.empty() &&
        !std::ranges::all_of(aRule.mMethod, [](char aChar) {
          return aChar >= 'A' && aChar <= 'Z';
        })) {
      aReader.AddFault("method", "found \"" + aRule.mMethod + "\"",
                       "give an HTTP method in capitals, such as GET");
    }
    if (!aRule.mPathPrefix.empty() && aRule.mPathPrefix.front() != '/') {
      aReader.AddFault("path_prefix", "found \"" + aRule.mPathPrefix + "\"",
                       "begin the path with /");
    }
    if (std::ranges::find(aService.mRules, aRule.mName, &Rule::mName) !=
        aService.mRules.end()) {
      aReader.AddFault("name", "rule \"" + aRule.mName + "\" appears twice",
                       "use a different name for each rule of a service");
    }
    for (const auto& it : aService.mRules) {
      bool covers = (it.mMethod.empty() || it.mMethod == aRule.mMethod) &&
                    aRule.mPathPrefix.starts_with(it.mPathPrefix);
      if (covers) {
        aReader.AddFault("name",
                         "rule \"" + aRule.mName +
                           "\" is never reached, since \"" + it.mName +
                           "\" before it matches every request that it matches",
                         "put the narrower rule first");
        return;
      }
    }
  }

  Configuration* mOut;
  std::map<Address, std::string> mServiceByAddress;
  std::map<HostId, std::string> mHostNames;
};

} // namespace

ConfigurationPtr ParseConfiguration(std::string_view aText,
                                    std::uint64_t aVersion, JsonFaults& aFaults)
{
  auto out = std::make_shared<Configuration>();
  out->mVersion = aVersion;
  ConfigurationReader reader(*out);
  ReadJsonDocument(aText, aFaults, [&](JsonReader& aReader) {
    std::int64_t version = aReader.Integer("version", 0, kMaxVersion, 0);
    if (aVersion == 0) {
      out->mVersion = static_cast<std::uint64_t>(version);
    }
    reader.ReadGeneral(aReader);
    reader.ReadServices(aReader);
    CheckServicesAndDrains(*out, aFaults);
  });
  if (!aFaults.IsEmpty()) {
    return nullptr;
  }
  IndexAddresses(*out);
  return out;
}

void ReadGeneralPart(std::string_view aText, Configuration& aOut,
                     JsonFaults& aFaults)
{
  ConfigurationReader reader(aOut);
  ReadJsonDocument(aText, aFaults,
                   [&](JsonReader& aReader) { reader.ReadGeneral(aReader); });
}

std::vector<Service> ReadServicePart(
  std::string_view aText, const std::vector<std::string>& aDataCentres,
  JsonFaults& aFaults)
{
  Configuration part;
  part.mDataCentres = aDataCentres;
  ConfigurationReader reader(part);
  ReadJsonDocument(aText, aFaults,
                   [&](JsonReader& aReader) { reader.ReadServices(aReader); });
  std::vector<Service> out;
  out.reserve(part.mServices.size());
  for (auto& it : part.mServices) {
    out.push_back(std::move(it.second));
  }
  return out;
}

Result<ConfigurationPtr> ParseConfiguration(std::string_view aText,
                                            std::uint64_t aVersion,
                                            const std::string& aFile)
{
  JsonFaults faults(aFile);
  auto out = ParseConfiguration(aText, aVersion, faults);
  if (!out) {
    return tl::unexpected(faults.ToError());
  }
  return out;
}

void IndexAddresses(Configuration& aConfiguration)
{
  aConfiguration.mByAddress.clear();
  for (const auto& [id, service] : aConfiguration.mServices) {
    for (const auto& it : service.mAddresses) {
      aConfiguration.mByAddress.emplace(it, id);
    }
  }
}

} // namespace heatherplank
