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

/** Drives a balancer's configuration distribution: watches on the platform, and
 * messages to and from other balancers and agents. Thread safe. */
class ConfigPlane
{
public:
  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    ControlLinks& mLinks;
    /** Must outlive this ConfigPlane. */
    ObjectStore& mStore;
    /** Called for each version, in order. It must not call this ConfigPlane. */
    InForceRelay::OnChange mOnChange;
  };

  ConfigPlane(Parts aParts, const Member& aSelf);

  /** Sets the other balancers that aren't declared dead. */
  void SetPeers(std::span<const Member> aPeers);

  /** The configuration in force here, or null. */
  ConfigurationPtr Current() const;

  /** Handles a frame of a configuration kind; malformed frames are counted. */
  void OnFrame(const Hello& aFrom, const Frame& aFrame);

  /** Stops sending to an agent that has left the membership view. */
  void OnAgentGone(HostId aAgent);

  /** Call every 50 to 100 ms. */
  void Tick();

private:
  template<typename Change>
  void Update(const Change& aChange);
  void Perform(const ConfigSend& aAction);
  void Perform(const ConfigWatch& aAction);
  void Perform(const ConfigFetch& aAction);
  void Perform(const ConfigInForce& aAction);
  void ExportCounters();

  Parts mParts;
  /** Delivers versions in order when threads report them concurrently. */
  InForceRelay mRelay;
  mutable std::mutex mLock;
  ConfigDistribution mDistribution;
  ConfigCounters mExported;
  /** Control addresses of balancers and agents. */
  std::map<HostId, Address> mAddresses;
};

} // namespace heatherplank
