#pragma once

#include <cstdint>
#include <unordered_map>

#include "src/steer/OwnershipState.h"

namespace heatherplank {

/** Tells arbiters which flows this host owns.
 *
 * Guards against this failure: a view change gives a flow a new arbiter, the
 * views settle, and the new arbiter, which by then asks nobody, takes the
 * flow's next packet for a new flow. The caller would see its flow answered by
 * another life. Each owner therefore claims its flows from a new arbiter until
 * that has acknowledged them, many times over within the settle window.
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

  /** Looks at an owned flow during a sweep; the claim waits for Flush. */
  void Consider(FlowTable::Entry& aFlow, Time aNow, OwnershipActions& aOut);

  /** Sends the claims that Consider collected. */
  void Flush(OwnershipActions& aOut);

  /** As arbiter: takes a claim of a flow that this host does not own. Gives
   * the answer, and false if there is no room, so that none is to be sent.
   */
  bool Take(const Peer& aFrom, ClaimedFlow& aClaimed, Time aNow);

private:
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
