#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <boost/container/static_vector.hpp>

#include "include/heatherplank/Clock.h"
#include "src/steer/OwnershipOptions.h"
#include "src/steer/ServiceView.h"
#include "src/wire/OwnershipMessages.h"

namespace heatherplank {

/** The status of another agent according to this one's views. */
enum class PeerStatus : std::uint8_t
{
  /** In the view, or too new to be in it. */
  Live,
  /** Declared dead recently: it may be stalled and still own flows. */
  Fenced,
  /** Restarted, left, or declared dead longer than the fence ago. */
  Gone,
};

/** The current view of an agent's service and the recent ones, which other
 * processes may still use. Not thread safe.
 */
class ViewHistory
{
public:
  static constexpr std::size_t kMaxPeers = 16;
  using Peers = boost::container::static_vector<Peer, kMaxPeers>;

  /** aOptions must outlive this. */
  ViewHistory(const Peer& aSelf, const OwnershipOptions& aOptions, Time aStart);

  /** Takes a new view, or a confirmation of the current one. aConfirmedAt: when
   * the request for it was sent, so that a reply that was buffered during a
   * process stall does not count as fresh.
   */
  void OnView(ServiceViewPtr aView, Time aConfirmedAt, Time aNow);

  /** Records that the lease, which had expired by a process stall or a network
   * partition, is regained at aNow.
   */
  void OnLeaseRegained(Time aNow);

  /** Until aUntil, flows are placed only after a query. */
  void DistrustUntil(Time aUntil);

  /** Excludes this host from Candidates. */
  void SetDraining() { mDraining = true; }

  /** True if the view was confirmed within mViewTrustTimeout and shows this
   * incarnation of this host. Balancers declare a host dead only after a
   * longer timeout, so no host takes over this host's flows while this is true:
   * it is the lease of an owner.
   */
  bool IsFresh(Time aNow) const;

  /** True if an expired lease was regained so recently that messages from
   * before may still arrive.
   */
  bool LeaseExpiredRecently(Time aNow) const { return aNow < mExpiryWindowEnd; }

  /** True if this host is the flow's arbiter in the current view and was in
   * any that was current within mQueryWindow: no other agent can have placed
   * the flow. False until DistrustUntil has passed.
   */
  bool IsSettled(std::uint64_t aFlowHash, Time aNow) const;

  /** The flow's candidates, without this host while it drains. */
  RankedMembers Candidates(std::uint64_t aFlowHash) const;

  /** The first of Candidates, or null. */
  const Member* Arbiter(std::uint64_t aFlowHash) const;

  /** All other hosts that may own the flow according to the current view or
   * any that was current within mQueryWindow, up to kMaxPeers. */
  Peers PeersToQuery(std::uint64_t aFlowHash) const;

  /** How much longer the flow must not be taken over because a host that may
   * own it was declared dead recently; 0 or less if it may be.
   */
  Duration RemainingFence(std::uint64_t aFlowHash, Time aNow) const;

  /** The status of an agent that became known at aLearnedAt. */
  PeerStatus StatusOf(const Peer& aPeer, Time aLearnedAt, Time aNow) const;

  /** The member of a host in the current view, or null. */
  const Member* Find(HostId aHost) const;

  /** Incremented with each change of the view and each regained lease. */
  std::uint32_t Generation() const { return mGeneration; }

private:
  struct PastView
  {
    ServiceViewPtr mView;
    /** When it was replaced by a newer one. */
    Time mUntil;
  };
  static constexpr std::size_t kMaxPastViews = 8;

  void ForgetExpired(Time aNow);
  bool IsSelf(const Member* aMember) const;
  /** The end of a host's fence, or Time{} if it has none. */
  Time FenceEnd(HostId aHost) const;

  Peer mSelf;
  const OwnershipOptions& mOptions;
  ServiceViewPtr mCurrent;
  std::vector<PastView> mPastViews;
  Time mConfirmedAt;
  Time mDistrustUntil;
  Time mExpiryWindowEnd;
  std::uint32_t mGeneration = 1;
  bool mHasView = false;
  bool mShowsSelf = false;
  bool mDraining = false;
};

/** Identity and address of a member's agent. */
inline Peer ToPeer(const Member& aMember)
{
  return { aMember.mHost, aMember.mIncarnation, aMember.mTunnel };
}

} // namespace heatherplank
