#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <boost/container/static_vector.hpp>

#include "include/heatherplank/Clock.h"
#include "src/steer/OwnershipMessages.h"
#include "src/steer/OwnershipOptions.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

/** Whether another agent is still there, as far as this one's view says. */
enum class PeerStatus : std::uint8_t
{
  /** In the view, or too new for it. */
  Live,
  /** Held dead a moment ago: it may be paused, and still own flows. */
  Fenced,
  /** Restarted, left, or held dead for long enough. */
  Gone,
};

/** The present view of an agent's service and those of the last moments, which
 * other processes may still act on. Not thread safe.
 */
class ViewHistory
{
public:
  static constexpr std::size_t kMaxPeers = 16;
  using Peers = boost::container::static_vector<Peer, kMaxPeers>;

  /** aOptions must outlive this. */
  ViewHistory(const Peer& aSelf, const OwnershipOptions& aOptions, Time aStart);

  /** Takes a view, or the present one again. aConfirmedAt: when the exchange
   * that brought it began, so that an answer that lay in a buffer during a
   * pause does not count as fresh.
   */
  void OnView(ServiceViewPtr aView, Time aConfirmedAt, Time aNow);

  /** Notes that the trust in the view had lapsed until aNow: this process was
   * paused, or cut off.
   */
  void OnLapse(Time aNow);

  /** No flow is placed without asking before aUntil. */
  void DistrustUntil(Time aUntil);

  /** This host no longer counts itself as a candidate. */
  void SetDraining() { mDraining = true; }

  /** True if the view was confirmed a short while ago and shows this host.
   * Others hold a host dead only after a longer silence, so while this is true
   * nobody takes over what this host owns: it is the lease of an owner.
   */
  bool IsFresh(Time aNow) const;

  /** True if the trust in the view had lapsed so short ago that messages from
   * that time may still come in.
   */
  bool HadLapsed(Time aNow) const { return aNow < mLapseOver; }

  /** True if this host was the flow's arbiter in every view of the ask window:
   * whoever placed the flow was this agent.
   */
  bool IsSettled(std::uint64_t aFlowHash, Time aNow) const;

  /** The flow's candidates, without this host once it drains. */
  RankedMembers Candidates(std::uint64_t aFlowHash) const;

  /** The first of Candidates, or null. */
  const Member* Arbiter(std::uint64_t aFlowHash) const;

  /** Every other host that may own the flow by any view of the window. */
  Peers WhoToAsk(std::uint64_t aFlowHash) const;

  /** How long the flow must not be taken over yet, because a host that may own
   * it was held dead only now.
   */
  Duration FenceLeft(std::uint64_t aFlowHash, Time aNow) const;

  /** What the views say of an agent that was heard of at aLearned. */
  PeerStatus StatusOf(const Peer& aPeer, Time aLearned, Time aNow) const;

  /** The member of a host in the present view, or null. */
  const Member* Find(HostId aHost) const;

  /** Counts changes of the view and lapses. */
  std::uint32_t Generation() const { return mGeneration; }

private:
  struct Earlier
  {
    ServiceViewPtr mView;
    /** When the next one replaced it. */
    Time mUntil;
  };
  static constexpr std::size_t kMaxEarlier = 8;

  void Forget(Time aNow);
  bool IsSelf(const Member* aMember) const;
  /** The end of a host's fence: 0 if it has none. */
  Time FenceEnd(HostId aHost) const;

  Peer mSelf;
  const OwnershipOptions& mOptions;
  ServiceViewPtr mPresent;
  std::vector<Earlier> mEarlier;
  Time mConfirmedAt;
  Time mDistrustUntil;
  Time mLapseOver;
  std::uint32_t mGeneration = 1;
  bool mHasView = false;
  bool mShowsSelf = false;
  bool mDraining = false;
};

/** The agent of a member. */
inline Peer ToPeer(const Member& aMember)
{
  return { aMember.mHost, aMember.mIncarnation, aMember.mTunnel };
}

} // namespace heatherplank
