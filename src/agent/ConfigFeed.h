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

/** Drives an agent's configuration: asks the balancers for the entry of its
 * own service. No call of the platform, so that it starts in an outage too.
 * Thread safe, by its own lock.
 */
class ConfigFeed
{
public:
  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    ControlLinks& mLinks;
    /** Called for each version, in order; it must not call the feed. */
    InForceRelay::OnChange mOnChange;
  };

  /** aSeeds: control addresses of balancers to begin with. */
  ConfigFeed(Parts aParts, ServiceId aService, std::span<const Address> aSeeds);

  /** The balancers that are believed to live; they are asked besides those to
   * begin with. */
  void SetBalancers(std::span<const Member> aBalancers);

  /** The configuration in force here, or null. */
  ConfigurationPtr Current() const;

  /** Takes a frame of a configuration kind. Malformed ones are counted. */
  void OnFrame(const Hello& aFrom, const Frame& aFrame);

  /** Call every 100 ms. */
  void Tick();

private:
  template<typename Change>
  void Do(const Change& aChange);
  bool IsKnown(const Address& aControl) const;

  Parts mParts;
  InForceRelay mRelay;
  mutable std::mutex mLock;
  AgentConfiguration mConfiguration;
  ConfigCounters mExported;
  /** Where to reach balancers, by id; one to begin with has the hash of its
   * address for an id until it says its own. */
  std::map<HostId, Address> mAddresses;
};

} // namespace heatherplank
