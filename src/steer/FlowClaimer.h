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

  /** The round of asks that only find out if an entry is still true. */
  static constexpr std::uint64_t kVerifyRound = 0;

  /** As arbiter: takes a claim of a flow that this host does not own. Gives
   * the answer, and false if none is to be sent yet: there is no room, or
   * another owner is known that has to confirm it first.
   */
  bool Take(const Peer& aFrom, ClaimedFlow& aClaimed, Time aNow,
            OwnershipActions& aOut);

  /** Takes the answer to an ask of kVerifyRound. */
  void OnVerified(const AskReply& aReply, Time aNow);

private:
  bool Dispute(OwnerTable::Entry& aKnown, Time aNow, OwnershipActions& aOut);
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
