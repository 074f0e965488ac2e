#pragma once

#include <cstdint>
#include <unordered_map>

#include "src/steer/OwnershipState.h"

namespace heatherplank {

/** Notifies arbiters of the flows that this host owns.
 *
 * Guards against this failure: a view change gives a flow a new arbiter, the
 * views settle, and the new arbiter, which by then no longer queries other
 * hosts, places the flow's next packet as a new flow. The caller's established
 * flow would be answered by a host without its state. Each owner therefore
 * repeats its claim to a new arbiter until it is acknowledged, many times
 * within the settle window.
 *
 * Not thread safe. The state must outlive it.
 */
class FlowClaimer
{
public:
  explicit FlowClaimer(OwnershipState& aState)
    : mState(aState)
  {
  }

  /** Adds a claim to the batch if one is due for this owned flow; Flush sends
   * it. */
  void ClaimIfDue(FlowTable::Entry& aFlow, Time aNow, OwnershipActions& aOut);

  /** Sends the claims that ClaimIfDue collected. */
  void Flush(OwnershipActions& aOut);

  /** Round of queries that verify a directory entry; lookups start at 1. */
  static constexpr std::uint64_t kVerifyRound = 0;

  /** As arbiter: handles a claim of a flow that this host does not own. Sets
   * aClaimed.mAccepted; false if no acknowledgement is to be sent yet: the
   * directory is full, or another known owner must confirm first.
   */
  bool HandleClaim(const Peer& aFrom, ClaimedFlow& aClaimed, Time aNow,
                   OwnershipActions& aOut);

  /** Handles the reply to a query of kVerifyRound. */
  void OnVerifyReply(const AskReply& aReply, Time aNow);

private:
  bool HandleConflict(OwnerTable::Entry& aKnown, Time aNow,
                      OwnershipActions& aOut);
  void Send(Claim& aClaim, const Address& aTo, OwnershipActions& aOut);

  struct Batch
  {
    Address mTo;
    Claim mClaim;
  };

  OwnershipState& mState;
  std::unordered_map<HostId, Batch> mBatches;
};

} // namespace heatherplank
