#include "src/steer/OwnerLookups.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace heatherplank {

namespace {

/** The larger value takes precedence; see OwnerLookups::OnConcurrentQuery. */
auto Precedence(const Ask& aAsk)
{
  const Peer& from = aAsk.mFrom;
  return std::make_tuple(aAsk.mPurpose, aAsk.mEpoch,
                         MixHash(HashFlow(aAsk.mFlow), from.mHost.mValue),
                         from.mHost, from.mIncarnation);
}

} // namespace

OwnerLookups::OwnerLookups(const Peer& aSelf, const OwnershipOptions& aOptions,
                           const ViewHistory& aViews)
  : mSelf(aSelf)
  , mOptions(aOptions)
  , mViews(aViews)
  , mRounds(aOptions.mMaxLookups)
{
}

Ask OwnerLookups::MakeQuery(const Rounds::Entry& aEntry) const
{
  const Round& round = aEntry.mValue;
  bool owned = round.mPurpose == AskPurpose::Reconfirm;
  return { aEntry.mFlow, mSelf, round.mId, round.mPurpose,
           owned ? round.mEpoch : FlowEpoch{ 0 } };
}

void OwnerLookups::SendQuery(const Rounds::Entry& aEntry, const Peer& aPeer,
                             OwnershipActions& aOut) const
{
  aOut.push_back(SendMessage{ aPeer.mTunnel, MakeQuery(aEntry) });
}

std::optional<LookupResult> OwnerLookups::Start(const ClaimedFlow& aClaimed,
                                                AskPurpose aPurpose,
                                                const Peer* aExtraPeer,
                                                Time aNow,
                                                OwnershipActions& aOut)
{
  Rounds::Entry& entry = *mRounds.Insert(aClaimed.mFlow, aNow);
  Round& round = entry.mValue;
  round.mId = ++mLastRound;
  round.mPurpose = aPurpose;
  round.mEpoch = aClaimed.mEpoch;
  round.mMoves = aClaimed.mMoves;
  round.mStart = aNow;
  round.mNextTry = aNow + mOptions.mQueryRetryInterval;
  for (const Peer& it : mViews.PeersToQuery(HashFlow(aClaimed.mFlow))) {
    round.mPeers.push_back({ it, false });
    SendQuery(entry, it, aOut);
  }
  if (aExtraPeer != nullptr) {
    QueryExtraPeer(entry, *aExtraPeer, aOut);
  }
  return EndIfAnswered(entry, aNow);
}

bool OwnerLookups::Hold(const PacketEvent& aPacket)
{
  std::vector<PacketEvent>& held = mRounds.Find(aPacket.mFlow)->mValue.mHeld;
  if (held.size() >= mOptions.mMaxHeldPackets) {
    return false;
  }
  held.push_back(aPacket);
  return true;
}

LookupResult OwnerLookups::End(Rounds::Entry& aEntry, LookupOutcome aOutcome,
                               const Peer& aOwner)
{
  Round& round = aEntry.mValue;
  LookupResult result{ aOutcome,          aEntry.mFlow,
                       round.mPurpose,    aOwner,
                       round.mEpoch,      round.mMoves,
                       round.mJustPlaced, std::move(round.mHeld) };
  mRounds.Erase(aEntry);
  return result;
}

bool OwnerLookups::IsPending(const QueriedPeer& aPeer, const Round& aRound,
                             Time aNow) const
{
  return !aPeer.mAnswered &&
         mViews.StatusOf(aPeer.mPeer, aRound.mStart, aNow) == PeerStatus::Live;
}

std::optional<LookupResult> OwnerLookups::EndIfAnswered(Rounds::Entry& aEntry,
                                                        Time aNow)
{
  const Round& round = aEntry.mValue;
  for (const QueriedPeer& it : round.mPeers) {
    if (IsPending(it, round, aNow)) {
      return std::nullopt;
    }
  }
  if (!round.mUnconfirmed.mHost.IsNone()) {
    return End(aEntry, LookupOutcome::Owner, round.mUnconfirmed);
  }
  return End(aEntry, LookupOutcome::Nobody, {});
}

bool OwnerLookups::QueryExtraPeer(Rounds::Entry& aEntry, const Peer& aPeer,
                                  OwnershipActions& aOut)
{
  auto& peers = aEntry.mValue.mPeers;
  auto isSame = [&](const QueriedPeer& aIt) {
    return aIt.mPeer.mHost == aPeer.mHost;
  };
  if (aPeer.mHost == mSelf.mHost ||
      std::any_of(peers.begin(), peers.end(), isSame)) {
    return true;
  }
  if (peers.size() == peers.capacity()) {
    return false;
  }
  peers.push_back({ aPeer, false });
  SendQuery(aEntry, aPeer, aOut);
  return true;
}

std::optional<LookupResult> OwnerLookups::OnReply(const AskReply& aReply,
                                                  Time aNow,
                                                  OwnershipActions& aOut)
{
  Rounds::Entry* entry = mRounds.Find(aReply.mFlow);
  if (entry == nullptr || entry->mValue.mId != aReply.mRound) {
    return std::nullopt;
  }
  bool isQueried = false;
  for (QueriedPeer& it : entry->mValue.mPeers) {
    bool isFrom = it.mPeer.mHost == aReply.mFrom.mHost;
    it.mAnswered = it.mAnswered || isFrom;
    isQueried = isQueried || isFrom;
  }
  if (isQueried) {
    return HandleVerdict(*entry, aReply, aNow, aOut);
  }
  return std::nullopt;
}

bool OwnerLookups::IsUsable(const Round& aRound, const AskReply& aReply,
                            Time aNow) const
{
  if (aReply.mOwner.mHost == mSelf.mHost) {
    // A reply that names this host counts only if the flow was just placed
    // here; otherwise it is about a flow that this host has dropped, or about
    // an earlier incarnation.
    return aReply.mJustPlaced &&
           aReply.mOwner.mIncarnation == mSelf.mIncarnation;
  }
  // A reply with the epoch to be confirmed but no more moves than this host has
  // recorded dates from before this host accepted the hand-off.
  bool isOutdated = aRound.mPurpose == AskPurpose::Reconfirm &&
                    aReply.mEpoch == aRound.mEpoch &&
                    aReply.mMoves <= aRound.mMoves;
  // Of two unconfirmed epochs the newer one wins; see OnConcurrentQuery.
  bool isEarlier = aRound.mPurpose == AskPurpose::Reconfirm &&
                   aReply.mVerdict == AskVerdict::Unconfirmed &&
                   aReply.mEpoch < aRound.mEpoch;
  return !isOutdated && !isEarlier &&
         mViews.StatusOf(aReply.mOwner, aNow, aNow) != PeerStatus::Gone;
}

std::optional<LookupResult> OwnerLookups::HandleOwner(Rounds::Entry& aEntry,
                                                      const AskReply& aReply,
                                                      Time aNow,
                                                      OwnershipActions& aOut)
{
  Round& round = aEntry.mValue;
  bool mayBeUnaware = aReply.mJustPlaced && round.mPurpose == AskPurpose::Place;
  bool isSecondHand =
    aReply.mOwner.mHost != aReply.mFrom.mHost && !mayBeUnaware;
  // Another agent's entry may be outdated, so the host that it names is queried
  // too. Using the entry unverified could make the flow's packets loop between
  // the two agents until the entry expires.
  if (isSecondHand && QueryExtraPeer(aEntry, aReply.mOwner, aOut)) {
    return EndIfAnswered(aEntry, aNow);
  }
  bool isSelf = aReply.mOwner.mHost == mSelf.mHost;
  if (isSelf && !round.mUnconfirmed.mHost.IsNone()) {
    // A live owner precedes an order to adopt that was not executed here.
    return EndIfAnswered(aEntry, aNow);
  }
  round.mEpoch = aReply.mEpoch;
  round.mMoves = aReply.mMoves;
  round.mJustPlaced = aReply.mJustPlaced;
  if (!isSelf && aReply.mVerdict == AskVerdict::Owner) {
    return End(aEntry, LookupOutcome::Owner, aReply.mOwner);
  }
  if (!isSelf) {
    round.mUnconfirmed = aReply.mOwner;
  }
  return EndIfAnswered(aEntry, aNow);
}

std::optional<LookupResult> OwnerLookups::HandleVerdict(Rounds::Entry& aEntry,
                                                        const AskReply& aReply,
                                                        Time aNow,
                                                        OwnershipActions& aOut)
{
  bool knowsOwner = aReply.mVerdict == AskVerdict::Owner ||
                    aReply.mVerdict == AskVerdict::Unconfirmed;
  if (knowsOwner && IsUsable(aEntry.mValue, aReply, aNow)) {
    return HandleOwner(aEntry, aReply, aNow, aOut);
  }
  if (aReply.mVerdict == AskVerdict::Asking) {
    if (aReply.mOwner.mHost == aReply.mFrom.mHost) {
      return End(aEntry, LookupOutcome::Yield, aReply.mOwner);
    }
    QueryExtraPeer(aEntry, aReply.mOwner, aOut);
  }
  return EndIfAnswered(aEntry, aNow);
}

std::optional<LookupResult> OwnerLookups::OnConcurrentQuery(const Ask& aAsk)
{
  Rounds::Entry& entry = *mRounds.Find(aAsk.mFlow);
  if (Precedence(MakeQuery(entry)) > Precedence(aAsk)) {
    return std::nullopt;
  }
  return End(entry, LookupOutcome::Yield, aAsk.mFrom);
}

std::optional<LookupResult> OwnerLookups::EndWithOwner(const FlowKey& aFlow,
                                                       const Peer& aOwner,
                                                       FlowEpoch aEpoch,
                                                       std::uint16_t aMoves)
{
  Rounds::Entry* entry = mRounds.Find(aFlow);
  if (entry == nullptr) {
    return std::nullopt;
  }
  entry->mValue.mEpoch = aEpoch;
  entry->mValue.mMoves = aMoves;
  return End(*entry, LookupOutcome::Owner, aOwner);
}

LookupResult OwnerLookups::EndOnTimeout(Rounds::Entry& aEntry, Time aNow)
{
  for (const QueriedPeer& it : aEntry.mValue.mPeers) {
    if (IsPending(it, aEntry.mValue, aNow)) {
      mUnresponsive.insert(it.mPeer.mHost);
    }
  }
  return End(aEntry, LookupOutcome::Unresponsive, {});
}

bool OwnerLookups::HasUnresponsivePeer(std::uint64_t aFlowHash) const
{
  if (mUnresponsive.empty()) {
    return false;
  }
  auto peers = mViews.PeersToQuery(aFlowHash);
  return std::any_of(peers.begin(), peers.end(), [this](const Peer& aIt) {
    return mUnresponsive.contains(aIt.mHost);
  });
}

std::optional<LookupResult> OwnerLookups::TickRound(Rounds::Entry& aEntry,
                                                    Time aNow,
                                                    OwnershipActions& aOut)
{
  if (auto ended = EndIfAnswered(aEntry, aNow)) {
    return ended;
  }
  Round& round = aEntry.mValue;
  if (aNow >= round.mStart + mOptions.mQueryTimeout) {
    return EndOnTimeout(aEntry, aNow);
  }
  if (aNow < round.mNextTry) {
    return std::nullopt;
  }
  round.mNextTry = aNow + mOptions.mQueryRetryInterval;
  for (const QueriedPeer& it : round.mPeers) {
    if (IsPending(it, round, aNow)) {
      SendQuery(aEntry, it.mPeer, aOut);
    }
  }
  return std::nullopt;
}

void OwnerLookups::Tick(Time aNow, OwnershipActions& aOut,
                        std::vector<LookupResult>& aEnded)
{
  for (std::size_t i = 0; i < mRounds.Slots(); ++i) {
    Rounds::Entry* entry = mRounds.At(i);
    if (entry == nullptr) {
      continue;
    }
    if (auto ended = TickRound(*entry, aNow, aOut)) {
      aEnded.push_back(std::move(*ended));
    }
  }
}

void OwnerLookups::AbortAll(std::vector<LookupResult>& aEnded)
{
  while (Rounds::Entry* entry = mRounds.Oldest()) {
    aEnded.push_back(End(*entry, LookupOutcome::Unresponsive, {}));
  }
}

} // namespace heatherplank
