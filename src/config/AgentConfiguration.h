#pragma once

#include <cstdint>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/config/ConfigActions.h"

namespace heatherplank {

/** An agent's side of configuration distribution: it holds the entry of its
 * own service, at the highest version that it heard of. It asks the balancers
 * that it is connected to; the first answer of a version counts. Pure; not
 * thread safe.
 */
class AgentConfiguration
{
public:
  struct Options
  {
    ServiceId mService;
    /** How often each balancer is asked, as the net under lost pushes. */
    Duration mAskPeriod = std::chrono::seconds(1);
    /** Guard: never take an older version. */
    bool mRefuseOlder = true;
    /** Guard: check the entry before it comes into force. */
    bool mCheckWhole = true;
  };

  explicit AgentConfiguration(const Options& aOptions);

  /** A connection to a balancer stands, or ended. */
  void OnConnected(HostId aBalancer, Time aNow);
  void OnDisconnected(HostId aBalancer);

  /** A balancer's ConfigOffer or ConfigObjects; others are ignored. */
  void OnMessage(HostId aFrom, const ConfigMessage& aMessage, Time aNow);

  /** Call it every 0.1 to 0.5 s. */
  void Tick(Time aNow);

  /** What is to be done since the last call. */
  std::vector<ConfigAction> TakeActions();

  /** The configuration in force, with this service only; null before the
   * first. */
  const ConfigurationPtr& InForce() const { return mInForce; }
  std::uint64_t Version() const { return mInForce ? mInForce->mVersion : 0; }
  const ConfigCounters& Counters() const { return mCounters; }

private:
  struct Balancer
  {
    HostId mId;
    Time mAskAt{};
  };

  void Ask(HostId aBalancer);
  void Handle(HostId aFrom, const ConfigOffer& aOffer);
  void Handle(HostId aFrom, const ConfigObjects& aObjects);
  void Handle(HostId, const ConfigRequest&) {}
  bool IsNews(std::uint64_t aVersion);
  void PutInForce(ConfigurationPtr aConfiguration, const PartHash& aEntry);

  Options mOptions;
  std::vector<Balancer> mBalancers;
  ConfigurationPtr mInForce;
  PartHash mEntry;
  std::vector<ConfigAction> mActions;
  ConfigCounters mCounters;
};

} // namespace heatherplank
