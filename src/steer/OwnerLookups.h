#pragma once

#include <cstdint>
#include <optional>
#include <unordered_set>
#include <vector>

#include <boost/container/static_vector.hpp>

#include "include/heatherplank/Clock.h"
#include "src/steer/BoundedTable.h"
#include "src/steer/OwnershipActions.h"
#include "src/steer/OwnershipOptions.h"
#include "src/steer/ViewHistory.h"
#include "src/wire/OwnershipMessages.h"

namespace heatherplank {

/** How a lookup ended: one round of queries for the owner of a flow. */
enum class LookupOutcome : std::uint8_t
{
  /** All live peers replied, and no host owns the flow. */
  Nobody,
  /** mOwner owns it. */
  Owner,
  /** mOwner queries for the flow too, and takes precedence. */
  Yield,
  /** A live host did not reply in time, or the lease expired. */
  Unresponsive,
};

/** The result of a query round, with the packets that waited for it. */
struct LookupResult
{
  LookupOutcome mOutcome{};
  FlowKey mFlow;
  AskPurpose mPurpose{};
  Peer mOwner;
  /** The flow's epoch, if any host knew it; else 0. */
  FlowEpoch mEpoch = 0;
  std::uint16_t mMoves = 0;
  /** The owner may not have been notified yet that it was chosen. */
  bool mJustPlaced = false;
  std::vector<PacketEvent> mHeld;
};

/** Queries other agents for flow owners; holds the flows' packets meanwhile. No
 * I/O or clock access; not thread safe. The options and views must outlive it.
 */
class OwnerLookups
{
public:
  OwnerLookups(const Peer& aSelf, const OwnershipOptions& aOptions,
               const ViewHistory& aViews);

  /** True if a query round for the flow is in progress. */
  bool IsActive(const FlowKey& aFlow) { return mRounds.Find(aFlow) != nullptr; }

  /** True if no further round can be started. */
  bool IsFull() const { return mRounds.IsFull(); }

  /** Starts a round; returns its result at once if there is no peer to query.
   * aClaimed: the flow and the epoch that it is to have if no host owns it, 0
   * for a new one. aExtraPeer: a peer to query besides those that the views
   * name, or null. Preconditions: no round for the flow, not full.
   */
  std::optional<LookupResult> Start(const ClaimedFlow& aClaimed,
                                    AskPurpose aPurpose, const Peer* aExtraPeer,
                                    Time aNow, OwnershipActions& aOut);

  /** True if the flow may be owned by a host that is live in the view but did
   * not reply to the last query. The flow is then placed only after a query,
   * since the host's claims may have been lost like its replies.
   */
  bool HasUnresponsivePeer(std::uint64_t aFlowHash) const;

  /** Records that a host has replied. */
  void ClearUnresponsive(HostId aHost) { mUnresponsive.erase(aHost); }

  /** Holds a packet until the round ends; false if too many are held already.
   * Precondition: a round for the flow is in progress.
   */
  bool Hold(const PacketEvent& aPacket);

  /** Handles a reply; ignored if it belongs to another round. */
  std::optional<LookupResult> OnReply(const AskReply& aReply, Time aNow,
                                      OwnershipActions& aOut);

  /** Handles a query of another agent for a flow that this one queries for too.
   * Ends the round here if the other agent takes precedence; else returns
   * nothing. The order is total and the same on all hosts: a host that owned
   * the flow before precedes one that only places it. Of two former owners, the
   * newer epoch wins: it was assigned only after a lookup had not found the
   * older owner. Then the larger hash of flow and host wins, then the larger
   * host id and incarnation. Precondition: a round for the flow is in progress.
   */
  std::optional<LookupResult> OnConcurrentQuery(const Ask& aAsk);

  /** Ends the round of a flow, if there is one, with a known owner. */
  std::optional<LookupResult> EndWithOwner(const FlowKey& aFlow,
                                           const Peer& aOwner, FlowEpoch aEpoch,
                                           std::uint16_t aMoves);

  /** Repeats queries without a reply, and ends rounds that timed out or wait
   * for no live peer any more. */
  void Tick(Time aNow, OwnershipActions& aOut,
            std::vector<LookupResult>& aEnded);

  /** Ends all rounds as Unresponsive: replies from before the lease expired no
   * longer hold. */
  void AbortAll(std::vector<LookupResult>& aEnded);

private:
  struct QueriedPeer
  {
    Peer mPeer;
    bool mAnswered = false;
  };
  struct Round
  {
    std::uint64_t mId = 0;
    AskPurpose mPurpose{};
    boost::container::static_vector<QueriedPeer, ViewHistory::kMaxPeers> mPeers;
    std::vector<PacketEvent> mHeld;
    Time mStart;
    Time mNextTry;
    /** A host that owned the flow but has not reconfirmed it. */
    Peer mUnconfirmed;
    FlowEpoch mEpoch = 0;
    std::uint16_t mMoves = 0;
    bool mJustPlaced = false;
  };
  using Rounds = BoundedTable<Round>;

  Ask MakeQuery(const Rounds::Entry& aEntry) const;
  void SendQuery(const Rounds::Entry& aEntry, const Peer& aPeer,
                 OwnershipActions& aOut) const;
  LookupResult End(Rounds::Entry& aEntry, LookupOutcome aOutcome,
                   const Peer& aOwner);
  std::optional<LookupResult> HandleVerdict(Rounds::Entry& aEntry,
                                            const AskReply& aReply, Time aNow,
                                            OwnershipActions& aOut);
  LookupResult EndOnTimeout(Rounds::Entry& aEntry, Time aNow);
  std::optional<LookupResult> EndIfAnswered(Rounds::Entry& aEntry, Time aNow);
  bool IsUsable(const Round& aRound, const AskReply& aReply, Time aNow) const;
  std::optional<LookupResult> HandleOwner(Rounds::Entry& aEntry,
                                          const AskReply& aReply, Time aNow,
                                          OwnershipActions& aOut);
  /** Queries a host too, unless it is self or was queried already; false if the
   * round has no room for another peer. */
  bool QueryExtraPeer(Rounds::Entry& aEntry, const Peer& aPeer,
                      OwnershipActions& aOut);
  bool IsPending(const QueriedPeer& aPeer, const Round& aRound,
                 Time aNow) const;
  std::optional<LookupResult> TickRound(Rounds::Entry& aEntry, Time aNow,
                                        OwnershipActions& aOut);

  Peer mSelf;
  const OwnershipOptions& mOptions;
  const ViewHistory& mViews;
  Rounds mRounds;
  std::unordered_set<HostId> mUnresponsive;
  std::uint64_t mLastRound = 0;
};

} // namespace heatherplank
