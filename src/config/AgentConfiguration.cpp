#include "src/config/AgentConfiguration.h"

#include <memory>
#include <utility>

#include "src/config/ConfigurationParser.h"

namespace heatherplank {

AgentConfiguration::AgentConfiguration(const Options& aOptions)
  : mOptions(aOptions)
{
}

void AgentConfiguration::OnConnected(HostId aBalancer, Time aNow)
{
  OnDisconnected(aBalancer);
  mBalancers.push_back({ aBalancer, aNow + mOptions.mRequestInterval });
  SendRequest(aBalancer);
}

void AgentConfiguration::OnDisconnected(HostId aBalancer)
{
  std::erase_if(mBalancers, [aBalancer](const Balancer& aIt) {
    return aIt.mId == aBalancer;
  });
}

void AgentConfiguration::SendRequest(HostId aBalancer)
{
  ConfigRequest request;
  request.mVersion = Version();
  request.mService = mOptions.mService;
  request.mRoot = mEntry;
  mActions.emplace_back(ConfigSend{ aBalancer, std::move(request) });
}

void AgentConfiguration::Tick(Time aNow)
{
  for (auto& it : mBalancers) {
    if (aNow >= it.mNextRequestAt) {
      it.mNextRequestAt = aNow + mOptions.mRequestInterval;
      SendRequest(it.mId);
    }
  }
}

void AgentConfiguration::OnMessage(HostId aFrom, const ConfigMessage& aMessage,
                                   Time)
{
  std::visit([&](const auto& aIt) { Handle(aFrom, aIt); }, aMessage);
}

/** A balancer that was isolated or suspended still pushes its version when it
 * resumes. Adopting that version would end a drain or restore a removed rule on
 * this host, so a lower version is refused. */
bool AgentConfiguration::ShouldAdopt(std::uint64_t aVersion)
{
  if (aVersion > Version() ||
      (!mOptions.mRefuseOlder && aVersion != Version())) {
    return true;
  }
  mCounters.mRefusedOlder += aVersion < Version() ? 1 : 0;
  return false;
}

void AgentConfiguration::Handle(HostId aFrom, const ConfigOffer& aOffer)
{
  if (!ShouldAdopt(aOffer.mVersion)) {
    return;
  }
  if (!mInForce || aOffer.mRoot != mEntry) {
    SendRequest(aFrom);
    return;
  }
  auto renumbered = std::make_shared<Configuration>(*mInForce);
  renumbered->mVersion = aOffer.mVersion;
  PutInForce(std::move(renumbered), mEntry);
}

void AgentConfiguration::Handle(HostId, const ConfigObjects& aObjects)
{
  if (!ShouldAdopt(aObjects.mVersion)) {
    return;
  }
  JsonFaults faults("entry");
  auto parsed = ParseConfiguration(aObjects.mText, aObjects.mVersion, faults);
  bool hasService = parsed && parsed->Find(mOptions.mService) != nullptr;
  if (mOptions.mValidate && !hasService) {
    ++mCounters.mRefusedInvalid;
    return;
  }
  if (!parsed) {
    parsed = std::make_shared<Configuration>();
  }
  PutInForce(std::move(parsed), HashPart(aObjects.mText));
}

void AgentConfiguration::PutInForce(ConfigurationPtr aConfiguration,
                                    const PartHash& aEntry)
{
  mInForce = std::move(aConfiguration);
  mEntry = aEntry;
  ++mCounters.mAdopted;
  mActions.emplace_back(ConfigInForce{ mInForce });
}

std::vector<ConfigAction> AgentConfiguration::TakeActions()
{
  return std::exchange(mActions, {});
}

} // namespace heatherplank
