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

/** Drives an agent's membership: heartbeats out, the view of its own service
 * in. Announces nothing until Announce, since a host that does not know its
 * service yet can only refuse. Thread safe, by its own lock.
 */
class MemberFeed
{
public:
  /** Called with no lock held each time that a balancer answered a heartbeat or
   * the view changed; aConfirmedAt is when that heartbeat was sent. */
  using OnView = std::function<void(ServiceViewPtr, Time aConfirmedAt)>;

  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    MessageSender& mLinks;
    /** Empty: no view is made, which costs some 24 ms a change in a large
     * service. IsInView may not be called then. */
    OnView mOnView;
  };

  /** How agents of the request interface are wired. aSeeds: control addresses
   * of balancers to begin with. */
  static AgentMembershipOptions DefaultOptions(std::vector<Address> aSeeds);

  MemberFeed(Parts aParts, const Member& aSelf,
             const AgentMembershipOptions& aOptions);
  ~MemberFeed();

  /** Begins to announce the host, as serving. Later calls do nothing. */
  void Announce();

  /** Announces another state, at once. A state never goes back, but by
   * BeginLife. */
  void SetState(HostState aState);

  /** Announces a new life of the host, in this state. */
  void BeginLife(HostState aState);

  /** Announces how many requests the host works on at once. */
  void SetSlots(std::uint16_t aSlots);

  /** Other balancers to begin with: the settings changed. */
  void SetSeeds(std::vector<Address> aSeeds);

  /** Takes a frame of a membership kind. Malformed ones are counted. */
  void OnFrame(const Frame& aFrame);

  /** Call every 50 ms. */
  void Tick();

  /** When the latest heartbeat that a balancer answered was sent; zero before
   * the first. */
  Time ConfirmedAt() const;

  /** A balancer has answered and this host stands in the view. */
  bool IsInView() const;

  /** The balancers that are believed to live. */
  std::vector<Member> Balancers() const;

private:
  struct OwnService;

  /** Sends what is due, and gives out the view if it or its confirmation is
   * news. */
  void Flush();

  Parts mParts;
  std::unique_ptr<OwnService> mOwnService;
  mutable std::mutex mLock;
  AgentMembership mMembership;
  bool mAnnounced = false;
  ServiceViewPtr mView;
  MemberViewPtr mMemberView;
  Time mConfirmedAt{};
};

} // namespace heatherplank
