#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/config/ConfigActions.h"

namespace heatherplank {

/** A service's entry: the configuration reduced to this service, which is all
 * that an agent receives. */
struct ServiceEntry
{
  std::string mText;
  PartHash mHash;
};

/** Makes the entry of a service. Thread safe. */
ServiceEntry MakeServiceEntry(const Configuration& aConfiguration,
                              ServiceId aService);

/** The agents that receive their configuration from this balancer. No I/O or
 * clock access; not thread safe.
 */
class ConfigSubscribers
{
public:
  /** Handles an agent's request: registers the agent, and answers if its
   * version is lower than the one in force. */
  void OnRequest(HostId aAgent, const ConfigRequest& aRequest,
                 const ConfigurationPtr& aInForce,
                 std::vector<ConfigAction>& aOut);

  /** A new version is in force: sends each agent its entry if the entry
   * changed, otherwise only the version number. */
  void OnInForce(const ConfigurationPtr& aInForce,
                 std::vector<ConfigAction>& aOut);

  void Remove(HostId aAgent) { mAgents.erase(aAgent); }
  std::size_t Count() const { return mAgents.size(); }

private:
  struct Agent
  {
    ServiceId mService;
    /** Hash of the entry last sent to the agent or reported by it. */
    PartHash mEntry;
  };

  const ServiceEntry& EntryOf(const ConfigurationPtr& aInForce,
                              ServiceId aService);
  void Notify(HostId aTo, Agent& aAgent, const ConfigurationPtr& aInForce,
              std::vector<ConfigAction>& aOut);

  std::map<HostId, Agent> mAgents;
  /** Entries of the version in force, made on first use. */
  std::uint64_t mEntriesVersion = 0;
  std::map<ServiceId, ServiceEntry> mEntries;
};

} // namespace heatherplank
