#pragma once

#include <cstdint>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/config/ConfigActions.h"

namespace heatherplank {

/** The agent's side of configuration distribution: holds the entry of the
 * agent's service at the highest version received. It sends requests to the
 * balancers that it is connected to and adopts the first reply of a version.
 * No I/O or clock access; not thread safe.
 */
class AgentConfiguration
{
public:
  struct Options
  {
    ServiceId mService;
    /** Interval of requests to each balancer, which recover lost pushes. */
    Duration mRequestInterval = std::chrono::seconds(1);
    /** Guard: refuses older versions. */
    bool mRefuseOlder = true;
    /** Guard: validates the entry before it comes into force. */
    bool mValidate = true;
  };

  explicit AgentConfiguration(const Options& aOptions);

  /** A connection to a balancer was established, or ended. */
  void OnConnected(HostId aBalancer, Time aNow);
  void OnDisconnected(HostId aBalancer);

  /** Handles a ConfigOffer or ConfigObjects; ignores other messages. */
  void OnMessage(HostId aFrom, const ConfigMessage& aMessage, Time aNow);

  /** Sends the requests that are due; to be called every 0.1 to 0.5 s. */
  void Tick(Time aNow);

  /** Returns the actions added since the last call, in order. */
  std::vector<ConfigAction> TakeActions();

  /** The configuration in force, with this service only; null if none. */
  const ConfigurationPtr& InForce() const { return mInForce; }
  std::uint64_t Version() const { return mInForce ? mInForce->mVersion : 0; }
  const ConfigCounters& Counters() const { return mCounters; }

private:
  struct Balancer
  {
    HostId mId;
    Time mNextRequestAt{};
  };

  void SendRequest(HostId aBalancer);
  void Handle(HostId aFrom, const ConfigOffer& aOffer);
  void Handle(HostId aFrom, const ConfigObjects& aObjects);
  void Handle(HostId, const ConfigRequest&) {}
  bool ShouldAdopt(std::uint64_t aVersion);
  void PutInForce(ConfigurationPtr aConfiguration, const PartHash& aEntry);

  Options mOptions;
  std::vector<Balancer> mBalancers;
  ConfigurationPtr mInForce;
  PartHash mEntry;
  std::vector<ConfigAction> mActions;
  ConfigCounters mCounters;
};

} // namespace heatherplank
