#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "src/membership/MemberTable.h"
#include "src/net/ControlConnection.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

class ControlClient;
class MetricsRegistry;

/** An agent's membership over the wire: heartbeats out to the balancers, the
 * view of its own service in. Thread safe, by its own lock.
 */
class MemberFeed
{
public:
  /** Called with no lock held each time that a balancer answered a heartbeat or
   * the view changed; aConfirmedAt is when that heartbeat was sent. */
  using OnView = std::function<void(ServiceViewPtr, Time aConfirmedAt)>;

  MemberFeed(const Clock& aClock, MetricsRegistry& aMetrics,
             const Member& aSelf, OnView aOnView);
  ~MemberFeed();

  /** Sets the balancers to send heartbeats to. */
  void SetBalancers(std::vector<std::shared_ptr<ControlClient>> aBalancers);

  /** Announces another state from now on, at once. A state never goes back
   * within an incarnation; an earlier one is ignored. */
  void SetState(HostState aState);
  HostState State() const;

  /** Sends a heartbeat to every balancer. Call every kHeartbeatPeriod. */
  void Beat();

  /** Takes a frame of kind MemberDelta; false if it is of another kind. */
  bool OnFrame(const Frame& aFrame);

  /** A balancer has answered and this host stands in the view. */
  bool IsInView() const;

  /** Four heartbeats fit into the silence that raises a suspicion. */
  static constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(300);

private:
  struct OwnService;

  Heartbeat MakeHeartbeat(Time aNow);
  void Publish(Time aConfirmedAt);

  const Clock& mClock;
  MetricsRegistry& mMetrics;
  OnView mOnView;
  std::unique_ptr<OwnService> mOwnService;
  mutable std::mutex mLock;
  Member mSelf;
  MemberTable mTable;
  std::vector<std::shared_ptr<ControlClient>> mBalancers;
  std::uint32_t mBeat = 0;
  Time mStartedAt;
  /** When the beats of the last seconds were sent. */
  std::map<std::uint32_t, Time> mSentAt;
  ServiceViewPtr mView;
  MemberViewPtr mMemberView;
  Time mConfirmedAt;
};

} // namespace heatherplank
