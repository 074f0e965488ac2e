#pragma once

#include <cstdint>
#include <vector>

#include "src/steer/OwnershipState.h"

namespace heatherplank {

/** Hands the flows of a draining host to others, each at a request boundary.
 *
 * A flow on its way gets no packets dispatched. If its new owner neither
 * accepts nor refuses, it is offered to nobody else until that host is held
 * dead and its fence has passed: it may have accepted, and a second offer would
 * make two owners. Not thread safe. The state must outlive it.
 */
class FlowMover
{
public:
  explicit FlowMover(OwnershipState& aState)
    : mState(aState)
    , mMoves(aState.mOptions.mMaxMoving)
  {
  }

  /** Begins to move a flow if it is at a request boundary, confirmed, and there
   * is somebody to take it.
   */
  void Consider(FlowTable::Entry& aFlow, Time aNow, OwnershipActions& aOut);

  /** Holds a packet for a flow on its way, or refuses it. */
  void Hold(const PacketEvent& aPacket, Time aNow, OwnershipActions& aOut);

  /** Takes the answer of the new owner. */
  void OnAck(const HandOffAck& aAck, Time aNow, OwnershipActions& aOut);

  /** Gives a move up since the flow turned out to be owned elsewhere; its held
   * packets go there.
   */
  void Cancel(const FlowKey& aFlow, const Peer& aOwner, FlowEpoch aEpoch,
              OwnershipActions& aOut);

  /** Tries again, and refuses packets that waited for long enough. Flows that
   * must be confirmed before their move goes on are added to aUnconfirmed.
   */
  void Tick(Time aNow, OwnershipActions& aOut,
            std::vector<FlowKey>& aUnconfirmed);

private:
  struct Held
  {
    PacketEvent mPacket;
    Time mUntil;
  };
  struct Move
  {
    Peer mTo;
    Time mStart;
    Time mNextTry;
    std::vector<HostId> mRefusedBy;
    std::vector<Held> mHeld;
  };
  using Moves = BoundedTable<Move>;

  bool ChooseTarget(Moves::Entry& aMove, Time aNow);
  void Offer(Moves::Entry& aMove, FlowTable::Entry& aFlow, Time aNow,
             OwnershipActions& aOut);
  void Retarget(Moves::Entry& aMove, FlowTable::Entry& aFlow, Time aNow,
                OwnershipActions& aOut);
  void RefuseOverdue(Move& aMove, Time aNow, OwnershipActions& aOut);

  OwnershipState& mState;
  Moves mMoves;
  /** No new move before this, since nobody took the last one. */
  Time mPauseUntil;
};

} // namespace heatherplank
