#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <span>
#include <vector>

#include "include/heatherplank/Member.h"
#include "src/config/AgentConfiguration.h"
#include "src/config/InForceRelay.h"
#include "src/wire/HelloCodec.h"

namespace heatherplank {

class ControlLinks;
class MetricsRegistry;

/** Does the I/O of AgentConfiguration: requests the service's part of the
 * configuration from the balancers. Does not use the platform's object store,
 * so an agent can start during a platform outage. Thread safe.
 */
class ConfigFeed
{
public:
  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    ControlLinks& mLinks;
    /** Called for each version in order; must not call the feed. */
    InForceRelay::OnChange mOnChange;
  };

  /** aSeeds: control addresses of the initial balancers. */
  ConfigFeed(Parts aParts, ServiceId aService, std::span<const Address> aSeeds);

  /** Adds live balancers to those that are queried; removes none. */
  void SetBalancers(std::span<const Member> aBalancers);

  /** The configuration in force here, or null. */
  ConfigurationPtr Current() const;

  /** Handles a frame of a configuration kind. Malformed frames are counted. */
  void OnFrame(const Hello& aFrom, const Frame& aFrame);

  /** Call every 100 ms. */
  void Tick();

private:
  /** Runs aChange under the lock, then sends the resulting messages and
   * delivers new configurations. */
  template<typename Change>
  void Apply(const Change& aChange);
  bool IsKnown(const Address& aControl) const;

  Parts mParts;
  InForceRelay mRelay;
  mutable std::mutex mLock;
  AgentConfiguration mConfiguration;
  ConfigCounters mExported;
  /** Control addresses of balancers by id. A seed's id is the hash of its
   * address until the balancer sends its real id. */
  std::map<HostId, Address> mBalancerAddresses;
};

} // namespace heatherplank
