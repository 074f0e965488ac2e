#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/membership/BalancerMembership.h"
#include "src/wire/Frame.h"

namespace heatherplank {

class MessageSender;
class MetricsRegistry;

/** Drives a balancer's membership protocol under the inventory in force. Thread
 * safe; one lock suffices for a few hundred messages per second. */
class MemberPlane
{
public:
  /** Called without locks held when views of services have changed. */
  using ViewsChanged = std::function<void(std::span<const MemberViewPtr>,
                                          std::span<const ServiceId>)>;

  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    MessageSender& mLinks;
    ViewsChanged mViewsChanged;
  };

  /** The options for balancers that forward request packets (opaque flows: see
   * src/passthrough). aSeeds: control addresses of balancers to join by. */
  static BalancerMembershipOptions DefaultOptions(std::vector<Address> aSeeds);

  MemberPlane(Parts aParts, const Member& aSelf,
              const BalancerMembershipOptions& aOptions);
  ~MemberPlane();

  /** Applies the inventory of a configuration. Hosts that it doesn't list for
   * their service are refused. */
  void SetConfiguration(const Configuration& aConfiguration);

  /** Handles a frame of a membership kind; malformed frames are counted. */
  void OnFrame(const Frame& aFrame);

  /** Call every 50 ms. */
  void Tick();

  /** Replaces the seeds when the settings have changed. */
  void SetSeeds(std::vector<Address> aSeeds);

  /** Requests heartbeats from up to aCount random hosts in view, and returns
   * those hosts. */
  std::vector<Member> RequestHeartbeats(std::size_t aCount);

  /** Notifies the peers that this balancer is stopping. */
  void Leave();

  /** Whether the membership view can be used for steering. */
  MembershipReadiness Readiness() const;

  /** The other balancers that aren't declared dead. */
  std::vector<Member> Balancers() const;

  /** Whether a host was declared dead within aWithin and is not back. */
  bool HasRecentDeath(Duration aWithin) const;

  /** Number of hosts in view. */
  std::size_t Size() const;

  /** Number of hosts in view whose heartbeats are due by now, so that their
   * absence counts. */
  std::size_t MonitoredCount() const;

private:
  class ConfiguredInventory;

  void Flush();
  void ExportCounters();

  Parts mParts;
  std::unique_ptr<ConfiguredInventory> mInventory;
  const HostId mSelf;
  mutable std::mutex mLock;
  BalancerMembership mMembership;
  std::vector<std::uint64_t> mExported;
};

} // namespace heatherplank
