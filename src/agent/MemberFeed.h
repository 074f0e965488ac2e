#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "src/membership/AgentMembership.h"
#include "src/steer/ServiceView.h"
#include "src/wire/Frame.h"

namespace heatherplank {

class MessageSender;
class MetricsRegistry;

/** Drives an agent's membership: sends heartbeats and receives the view of the
 * agent's service. Sends nothing until Announce, since a host without a
 * configuration of its service can only refuse requests. Thread safe.
 */
class MemberFeed
{
public:
  /** Called with no lock held when a balancer answered a heartbeat or the view
   * changed. aConfirmedAt: when the latest answered heartbeat was sent. */
  using OnView = std::function<void(ServiceViewPtr, Time aConfirmedAt)>;

  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    MessageSender& mLinks;
    /** If empty, no view is built, which saves about 24 ms per change in a
     * large service; IsInView must not be called then. */
    OnView mOnView;
  };

  /** Options for agents of the request interface. aSeeds: control addresses of
   * the initial balancers. */
  static AgentMembershipOptions DefaultOptions(std::vector<Address> aSeeds);

  MemberFeed(Parts aParts, const Member& aSelf,
             const AgentMembershipOptions& aOptions);
  ~MemberFeed();

  /** Starts heartbeats, in state Serving. Later calls do nothing. */
  void Announce();

  /** Announces another state at once. Ignored if the host is in that state or a
   * later one; only BeginIncarnation returns to an earlier state. */
  void SetState(HostState aState);

  /** Announces a new incarnation of the host, in aState. */
  void BeginIncarnation(HostState aState);

  /** Announces how many requests the host runs concurrently. */
  void SetSlots(std::uint16_t aSlots);

  /** Replaces the initial balancers after a change of the settings. */
  void SetSeeds(std::vector<Address> aSeeds);

  /** Handles a frame of a membership kind. Malformed frames are counted. */
  void OnFrame(const Frame& aFrame);

  /** Call every 50 ms. */
  void Tick();

  /** When the latest heartbeat that a balancer answered was sent; zero before
   * the first reply. */
  Time ConfirmedAt() const;

  /** True if a balancer has answered and the view contains this host. */
  bool IsInView() const;

  /** The balancers that are believed to be alive. */
  std::vector<Member> Balancers() const;

  /** Balancers, or those of an assignment where a list of all is not held. */
  std::vector<Member> KnownBalancers() const;

private:
  struct ServiceCheck;

  /** Sends due messages, and delivers the view if it changed or was confirmed
   * again. */
  void Flush();

  Parts mParts;
  std::unique_ptr<ServiceCheck> mServiceCheck;
  mutable std::mutex mLock;
  AgentMembership mMembership;
  bool mAnnounced = false;
  ServiceViewPtr mView;
  MemberViewPtr mMemberView;
  Time mConfirmedAt{};
};

} // namespace heatherplank
