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

/** Drives a balancer's membership over the wire, under the inventory in force.
 * Thread safe, by one lock: a few hundred messages a second.
 */
class MemberPlane
{
public:
  /** Called with no lock held when views of services changed. */
  using ViewsChanged = std::function<void(std::span<const MemberViewPtr>,
                                          std::span<const ServiceId>)>;

  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    MessageSender& mLinks;
    ViewsChanged mViewsChanged;
  };

  /** How balancers of the request interface are wired. aSeeds: control
   * addresses of balancers to begin with. */
  static BalancerMembershipOptions DefaultOptions(std::vector<Address> aSeeds);

  MemberPlane(Parts aParts, const Member& aSelf,
              const BalancerMembershipOptions& aOptions);
  ~MemberPlane();

  /** Applies an inventory: hosts that it does not give their service to are
   * refused from now on. */
  void SetConfiguration(const Configuration& aConfiguration);

  /** Takes a frame of a membership kind. Malformed ones are counted. */
  void OnFrame(const Frame& aFrame);

  /** Call every 50 ms. */
  void Tick();

  /** Other balancers to begin with: the settings changed. */
  void SetSeeds(std::vector<Address> aSeeds);

  /** Asks some hosts in view, at random, for a sign of life. Gives those. */
  std::vector<Member> AskSome(std::size_t aCount);

  /** Tells the peers that this balancer stops. */
  void Leave();

  /** Whether the view can be steered by. */
  MembershipReadiness Readiness() const;

  /** The other balancers that are believed to live. */
  std::vector<Member> Balancers() const;

  /** Hosts in view. */
  std::size_t Size() const;

  /** Those of them that should be heard here by now. */
  std::size_t Judged() const;

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
