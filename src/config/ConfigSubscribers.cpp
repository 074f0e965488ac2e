#include "src/config/ConfigSubscribers.h"

#include <algorithm>
#include <utility>

#include <boost/json/serialize.hpp>

#include "src/config/ConfigurationParser.h"

namespace heatherplank {

ServiceEntry MakeServiceEntry(const Configuration& aConfiguration,
                              ServiceId aService)
{
  Configuration reduced;
  reduced.mDataCentres = aConfiguration.mDataCentres;
  reduced.mPolicy = aConfiguration.mPolicy;
  if (const Service* service = aConfiguration.Find(aService)) {
    reduced.mServices.emplace(aService, *service);
    for (const auto& it : aConfiguration.mDrainedHosts) {
      if (std::ranges::find(service->mHosts, it, &ExpectedHost::mName) !=
          service->mHosts.end()) {
        reduced.mDrainedHosts.push_back(it);
      }
    }
  }
  ServiceEntry out;
  out.mText = boost::json::serialize(ToJson(reduced));
  out.mHash = HashPart(out.mText);
  return out;
}

const ServiceEntry& ConfigSubscribers::EntryOf(const ConfigurationPtr& aInForce,
                                               ServiceId aService)
{
  if (mEntriesVersion != aInForce->mVersion) {
    mEntries.clear();
    mEntriesVersion = aInForce->mVersion;
  }
  auto it = mEntries.find(aService);
  if (it == mEntries.end()) {
    it =
      mEntries.emplace(aService, MakeServiceEntry(*aInForce, aService)).first;
  }
  return it->second;
}

void ConfigSubscribers::Notify(HostId aTo, Agent& aAgent,
                               const ConfigurationPtr& aInForce,
                               std::vector<ConfigAction>& aOut)
{
  // A service that is not in the inventory has no entry: its agent keeps its
  // last configuration, and balancers send it nothing.
  if (aInForce->Find(aAgent.mService) == nullptr) {
    return;
  }
  const ServiceEntry& entry = EntryOf(aInForce, aAgent.mService);
  if (entry.mHash == aAgent.mEntry) {
    ConfigOffer offer;
    offer.mVersion = aInForce->mVersion;
    offer.mRoot = entry.mHash;
    aOut.emplace_back(ConfigSend{ aTo, std::move(offer) });
    return;
  }
  aAgent.mEntry = entry.mHash;
  aOut.emplace_back(
    ConfigSend{ aTo, ConfigObjects{ aInForce->mVersion, entry.mText, {} } });
}

void ConfigSubscribers::OnRequest(HostId aAgent, const ConfigRequest& aRequest,
                                  const ConfigurationPtr& aInForce,
                                  std::vector<ConfigAction>& aOut)
{
  Agent& agent = mAgents[aAgent];
  agent = { aRequest.mService, aRequest.mRoot };
  if (aInForce && aRequest.mVersion < aInForce->mVersion) {
    Notify(aAgent, agent, aInForce, aOut);
  }
}

void ConfigSubscribers::OnInForce(const ConfigurationPtr& aInForce,
                                  std::vector<ConfigAction>& aOut)
{
  for (auto& [id, agent] : mAgents) {
    Notify(id, agent, aInForce, aOut);
  }
}

} // namespace heatherplank
