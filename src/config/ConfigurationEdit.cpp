#include "src/config/ConfigurationEdit.h"

#include <algorithm>
#include <memory>

#include "src/decide/BalancingPolicy.h"

namespace heatherplank {

namespace {

bool HasHost(const Configuration& aConfiguration, const std::string& aHost)
{
  return std::ranges::any_of(aConfiguration.mServices, [&](const auto& aEntry) {
    const auto& hosts = aEntry.second.mHosts;
    return std::ranges::find(hosts, aHost, &ExpectedHost::mName) != hosts.end();
  });
}

} // namespace

Result<ConfigurationPtr> WithPolicy(const Configuration& aFrom,
                                    const std::string& aName)
{
  auto policy = MakeBalancingPolicy(aName, 0);
  if (!policy) {
    return tl::unexpected(policy.error());
  }
  auto out = std::make_shared<Configuration>(aFrom);
  out->mPolicy.mName = aName;
  return out;
}

Result<ConfigurationPtr> WithDrain(const Configuration& aFrom,
                                   const std::string& aHost, bool aDrain)
{
  if (!HasHost(aFrom, aHost)) {
    return Fail(ErrorKind::InvalidInput,
                "no service in the inventory has a host \"" + aHost + "\"",
                "look up its name with `get`");
  }
  auto out = std::make_shared<Configuration>(aFrom);
  std::erase(out->mDrainedHosts, aHost);
  if (aDrain) {
    out->mDrainedHosts.push_back(aHost);
  }
  return out;
}

} // namespace heatherplank
