#pragma once

#include <cstdint>
#include <optional>
#include <unordered_set>
#include <vector>

#include <boost/container/static_vector.hpp>

#include "include/heatherplank/Clock.h"
#include "src/steer/BoundedTable.h"
#include "src/steer/OwnershipActions.h"
#include "src/steer/OwnershipMessages.h"
#include "src/steer/OwnershipOptions.h"
#include "src/steer/ViewHistory.h"

namespace heatherplank {

/** How a round of asking ended. */
enum class AskOutcome : std::uint8_t
{
  /** Everybody answered, and nobody owns the flow. */
  Nobody,
  /** mOwner owns it. */
  Owner,
  /** mOwner asks for it too, and has the better rank. */
  Yield,
  /** A live host did not answer in time. */
  Silent,
};

/** A round that has ended, with the packets that waited for it. */
struct AskResult
{
  AskOutcome mOutcome{};
  FlowKey mFlow;
  AskPurpose mPurpose{};
  Peer mOwner;
  /** The flow's life, if somebody knew of it; 0 if not. */
  FlowEpoch mEpoch = 0;
  std::uint16_t mMoves = 0;
  /** The owner may not have heard that it was chosen. */
  bool mJustPlaced = false;
  std::vector<PacketEvent> mHeld;
};

/** Asks other agents who owns a flow, and holds its packets meanwhile. Pure;
 * not thread safe. The options and views must outlive it.
 */
class FlowAsker
{
public:
  FlowAsker(const Peer& aSelf, const OwnershipOptions& aOptions,
            const ViewHistory& aViews);

  /** True if the flow is being asked about. */
  bool IsAsking(const FlowKey& aFlow) { return mRounds.Find(aFlow) != nullptr; }

  /** True if no further flow can be asked about. */
  bool IsFull() const { return mRounds.IsFull(); }

  /** Begins a round; ended at once if there is nobody to ask. aLife: the flow
   * and the life that it is to have if nobody owns it, epoch 0 for a new one.
   * aAlso: whom to ask besides those that the views name, or null.
   * Preconditions: not asking about the flow, not full.
   */
  std::optional<AskResult> Start(const ClaimedFlow& aLife, AskPurpose aPurpose,
                                 const Peer* aAlso, Time aNow,
                                 OwnershipActions& aOut);

  /** True if the flow may be owned by a host that is alive in the view but left
   * the last question unanswered: such a flow is never placed unasked, since
   * that host's claims may have been lost like its answers.
   */
  bool HasSilentPeer(std::uint64_t aFlowHash) const;

  /** Notes that a host was heard of. */
  void HeardFrom(HostId aHost) { mSilent.erase(aHost); }

  /** Keeps a packet until the round ends; false if too many wait already.
   * Precondition: asking about the flow.
   */
  bool Hold(const PacketEvent& aPacket);

  /** Takes an answer; of another round it is ignored. */
  std::optional<AskResult> OnReply(const AskReply& aReply, Time aNow,
                                   OwnershipActions& aOut);

  /** Another agent asks about a flow that this one asks about too. Gives the
   * end of the round here if the other goes first, and nothing if this one
   * does. The order is total and the same everywhere: who owned the flow goes
   * before who wants to place it, then the later life, since it began after the
   * earlier one was looked for in vain, then the better rank, then the name.
   * Precondition: asking about the flow.
   */
  std::optional<AskResult> OnRival(const Ask& aAsk);

  /** Ends the round of a flow, if there is one, since its owner is known. */
  std::optional<AskResult> EndWithOwner(const FlowKey& aFlow,
                                        const Peer& aOwner, FlowEpoch aEpoch,
                                        std::uint16_t aMoves);

  /** Asks again where no answer came, and ends rounds that are over. */
  void Tick(Time aNow, OwnershipActions& aOut, std::vector<AskResult>& aEnded);

  /** Ends all rounds as Silent: what was heard before a pause is void. */
  void EndAll(std::vector<AskResult>& aEnded);

private:
  struct Asked
  {
    Peer mPeer;
    bool mAnswered = false;
  };
  struct Round
  {
    std::uint64_t mId = 0;
    AskPurpose mPurpose{};
    boost::container::static_vector<Asked, ViewHistory::kMaxPeers> mAsked;
    std::vector<PacketEvent> mHeld;
    Time mStart;
    Time mNextTry;
    /** A host that owned the flow but could not confirm it. */
    Peer mUnconfirmed;
    FlowEpoch mEpoch = 0;
    std::uint16_t mMoves = 0;
    bool mJustPlaced = false;
  };
  using Rounds = BoundedTable<Round>;

  Ask MakeAsk(const Rounds::Entry& aEntry) const;
  void AskPeer(const Rounds::Entry& aEntry, const Peer& aPeer,
               OwnershipActions& aOut) const;
  AskResult End(Rounds::Entry& aEntry, AskOutcome aOutcome, const Peer& aOwner);
  std::optional<AskResult> TakeVerdict(Rounds::Entry& aEntry,
                                       const AskReply& aReply, Time aNow,
                                       OwnershipActions& aOut);
  AskResult EndSilent(Rounds::Entry& aEntry, Time aNow);
  std::optional<AskResult> EndIfAnswered(Rounds::Entry& aEntry, Time aNow);
  bool IsUsable(const Round& aRound, const AskReply& aReply, Time aNow) const;
  std::optional<AskResult> TakeOwner(Rounds::Entry& aEntry,
                                     const AskReply& aReply, Time aNow,
                                     OwnershipActions& aOut);
  /** Asks a host too; true if it was asked before, false if there is no room.
   */
  bool AddPeer(Rounds::Entry& aEntry, const Peer& aPeer,
               OwnershipActions& aOut);
  bool IsOpen(const Asked& aAsked, const Round& aRound, Time aNow) const;
  std::optional<AskResult> TickRound(Rounds::Entry& aEntry, Time aNow,
                                     OwnershipActions& aOut);

  Peer mSelf;
  const OwnershipOptions& mOptions;
  const ViewHistory& mViews;
  Rounds mRounds;
  std::unordered_set<HostId> mSilent;
  std::uint64_t mLastRound = 0;
};

} // namespace heatherplank
