#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "include/heatherplank/Member.h"
#include "include/heatherplank/ObjectStore.h"
#include "src/config/ConfigDistribution.h"
#include "src/config/InForceRelay.h"
#include "src/wire/HelloCodec.h"

namespace heatherplank {

class ControlLinks;
class MetricsRegistry;

/** Drives a balancer's configuration distribution: watches at the platform,
 * messages to and from other balancers and agents. Thread safe, by its own
 * lock.
 */
class ConfigPlane
{
public:
  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    ControlLinks& mLinks;
    /** Must outlive the plane. */
    ObjectStore& mStore;
    /** Called for each version, in order; it must not call the plane. */
    InForceRelay::OnChange mOnChange;
  };

  ConfigPlane(Parts aParts, const Member& aSelf);

  /** The other balancers that are believed to live. */
  void SetPeers(std::span<const Member> aPeers);

  /** The configuration in force here, or null. */
  ConfigurationPtr Current() const;

  /** Takes a frame of a configuration kind. Malformed ones are counted. */
  void OnFrame(const Hello& aFrom, const Frame& aFrame);

  /** Agents that are not in view any more get nothing more. */
  void OnAgentGone(HostId aAgent);

  /** Call every 50 to 100 ms. */
  void Tick();

private:
  template<typename Change>
  void Do(const Change& aChange);
  void Perform(const ConfigSend& aAction);
  void Perform(const ConfigWatch& aAction);
  void Perform(const ConfigFetch& aAction);
  void Perform(const ConfigInForce& aAction);
  void ExportCounters();

  Parts mParts;
  /** Two threads may bring versions at once; the later one must win. */
  InForceRelay mRelay;
  mutable std::mutex mLock;
  ConfigDistribution mDistribution;
  ConfigCounters mExported;
  /** Where to reach balancers and agents, by id. */
  std::map<HostId, Address> mAddresses;
};

} // namespace heatherplank
