#include "src/config/ConfigurationCheck.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace heatherplank {

namespace {

std::size_t CountHosts(const Configuration& aConfiguration)
{
  std::size_t out = 0;
  for (const auto& it : aConfiguration.mServices) {
    out += it.second.mHosts.size();
  }
  return out;
}

void AddSharedFault(const std::string& aItem, const Service& aFirst,
                    const Service& aSecond, JsonFaults& aFaults)
{
  aFaults.Add("services",
              aItem + " is listed in \"" + aFirst.mName + "\" and \"" +
                aSecond.mName + "\"",
              "list it once, in one service");
}

} // namespace

void CheckServicesAndDrains(const Configuration& aConfiguration,
                            JsonFaults& aFaults)
{
  if (aConfiguration.mServices.empty()) {
    aFaults.Add("services", "no service", "list at least one service");
  }
  if (aConfiguration.mDrainedHosts.empty()) {
    return;
  }
  std::unordered_set<std::string_view> hosts;
  for (const auto& it : aConfiguration.mServices) {
    for (const auto& host : it.second.mHosts) {
      hosts.insert(host.mName);
    }
  }
  std::unordered_set<std::string_view> seen;
  for (const auto& it : aConfiguration.mDrainedHosts) {
    if (!hosts.contains(it)) {
      aFaults.Add("drained_hosts", "\"" + it + "\" is not in the inventory",
                  "name a host of a service");
    }
    if (!seen.insert(it).second) {
      aFaults.Add("drained_hosts", "\"" + it + "\" appears twice",
                  "list it once");
    }
  }
}

void CheckUniqueness(const Configuration& aConfiguration, JsonFaults& aFaults)
{
  std::unordered_map<HostId, const Service*> hosts;
  std::unordered_map<Address, const Service*> addresses;
  hosts.reserve(CountHosts(aConfiguration));
  addresses.reserve(aConfiguration.mServices.size());
  for (const auto& [id, service] : aConfiguration.mServices) {
    for (const auto& it : service.mHosts) {
      auto [other, isNew] = hosts.emplace(MakeHostId(it.mName), &service);
      if (!isNew) {
        AddSharedFault("host " + it.mName, *other->second, service, aFaults);
      }
    }
    for (const auto& it : service.mAddresses) {
      auto [other, isNew] = addresses.emplace(it, &service);
      if (!isNew) {
        AddSharedFault("address " + it.ToString(), *other->second, service,
                       aFaults);
      }
    }
  }
}

} // namespace heatherplank
