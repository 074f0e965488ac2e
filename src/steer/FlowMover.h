#pragma once

#include <cstdint>
#include <vector>

#include "src/steer/OwnershipState.h"

namespace heatherplank {

/** Hands off the flows of a draining host, each between two requests.
 *
 * No packet of a flow is dispatched during its hand-off. If the target neither
 * accepts nor refuses, the flow is not offered to another host until the target
 * is declared dead and its fence has passed: the target may have accepted, and
 * a second offer could result in two owners. Not thread safe. The state must
 * outlive it.
 */
class FlowMover
{
public:
  explicit FlowMover(OwnershipState& aState)
    : mState(aState)
    , mPending(aState.mOptions.mMaxHandOffs)
  {
  }

  /** Starts the hand-off of a flow if its ownership is confirmed
   * (OwnershipState::IsConfirmed), it has no request in progress, and there is
   * a host to offer it to. Does nothing while mMaxHandOffs hand-offs are in
   * progress, or for mRetryAfter after no host was left to offer a flow to.
   */
  void StartIfReady(FlowTable::Entry& aFlow, Time aNow, OwnershipActions& aOut);

  /** Holds a packet during a hand-off; refuses it beyond mMaxHeldPackets. */
  void Hold(const PacketEvent& aPacket, Time aNow, OwnershipActions& aOut);

  /** Handles the reply of the target. */
  void OnAck(const HandOffAck& aAck, Time aNow, OwnershipActions& aOut);

  /** Ends the hand-off of a flow, if there is one, because aOwner owns the
   * flow; forwards the held packets to aOwner.
   */
  void Cancel(const FlowKey& aFlow, const Peer& aOwner, FlowEpoch aEpoch,
              OwnershipActions& aOut);

  /** Repeats offers, and refuses held packets that timed out. Adds flows to
   * aUnconfirmed that must be reconfirmed before their hand-off continues.
   */
  void Tick(Time aNow, OwnershipActions& aOut,
            std::vector<FlowKey>& aUnconfirmed);

private:
  struct Held
  {
    PacketEvent mPacket;
    Time mUntil;
  };
  struct PendingHandOff
  {
    Peer mTo;
    Time mStart;
    Time mNextTry;
    std::vector<HostId> mRefusedBy;
    std::vector<Held> mHeld;
  };
  using PendingHandOffs = BoundedTable<PendingHandOff>;

  bool ChooseTarget(PendingHandOffs::Entry& aPending, Time aNow);
  void Offer(PendingHandOffs::Entry& aPending, FlowTable::Entry& aFlow,
             Time aNow, OwnershipActions& aOut);
  void Retarget(PendingHandOffs::Entry& aPending, FlowTable::Entry& aFlow,
                Time aNow, OwnershipActions& aOut);
  void RefuseOverdue(PendingHandOff& aPending, Time aNow,
                     OwnershipActions& aOut);

  OwnershipState& mState;
  PendingHandOffs mPending;
  /** No hand-off is started before this, after one found no target. */
  Time mPauseUntil;
};

} // namespace heatherplank
