#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/config/ConfigActions.h"

namespace heatherplank {

/** A service's entry: the configuration with this service alone. An agent
 * needs no more, and gets no more. Thread safe, both. */
struct ServiceEntry
{
  std::string mText;
  PartHash mHash;
};
ServiceEntry MakeServiceEntry(const Configuration& aConfiguration,
                              ServiceId aService);

/** The agents that take their configuration from this balancer. Pure; not
 * thread safe.
 */
class ConfigSubscribers
{
public:
  /** An agent asked: it is remembered, and answered if it lacks something. */
  void OnRequest(HostId aAgent, const ConfigRequest& aRequest,
                 const ConfigurationPtr& aInForce,
                 std::vector<ConfigAction>& aOut);

  /** A new version is in force: each agent gets its entry if that changed,
   * else only the version's number. */
  void OnInForce(const ConfigurationPtr& aInForce,
                 std::vector<ConfigAction>& aOut);

  void Remove(HostId aAgent) { mAgents.erase(aAgent); }
  std::size_t Count() const { return mAgents.size(); }

private:
  struct Agent
  {
    ServiceId mService;
    /** The entry that it was last sent or said to hold. */
    PartHash mEntry;
  };

  const ServiceEntry& EntryOf(const ConfigurationPtr& aInForce,
                              ServiceId aService);
  void Tell(HostId aTo, Agent& aAgent, const ConfigurationPtr& aInForce,
            std::vector<ConfigAction>& aOut);

  std::map<HostId, Agent> mAgents;
  /** Entries of the version in force, made when first asked for. */
  std::uint64_t mEntriesVersion = 0;
  std::map<ServiceId, ServiceEntry> mEntries;
};

} // namespace heatherplank
