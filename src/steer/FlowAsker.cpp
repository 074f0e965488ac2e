#include "src/steer/FlowAsker.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace heatherplank {

namespace {

/** Larger goes first; see FlowAsker::OnRival. */
auto Precedence(const Ask& aAsk)
{
  const Peer& from = aAsk.mFrom;
  return std::make_tuple(aAsk.mPurpose, aAsk.mEpoch,
                         MixHash(HashFlow(aAsk.mFlow), from.mHost.mValue),
                         from.mHost, from.mIncarnation);
}

} // namespace

FlowAsker::FlowAsker(const Peer& aSelf, const OwnershipOptions& aOptions,
                     const ViewHistory& aViews)
  : mSelf(aSelf)
  , mOptions(aOptions)
  , mViews(aViews)
  , mRounds(aOptions.mMaxAsks)
{
}

Ask FlowAsker::MakeAsk(const Rounds::Entry& aEntry) const
{
  const Round& round = aEntry.mValue;
  bool owned = round.mPurpose == AskPurpose::Reconfirm;
  return { aEntry.mFlow, mSelf, round.mId, round.mPurpose,
           owned ? round.mEpoch : FlowEpoch{ 0 } };
}

void FlowAsker::AskPeer(const Rounds::Entry& aEntry, const Peer& aPeer,
                        OwnershipActions& aOut) const
{
  aOut.push_back(SendMessage{ aPeer.mTunnel, MakeAsk(aEntry) });
}

std::optional<AskResult> FlowAsker::Start(const ClaimedFlow& aLife,
                                          AskPurpose aPurpose,
                                          const Peer* aAlso, Time aNow,
                                          OwnershipActions& aOut)
{
  Rounds::Entry& entry = *mRounds.Insert(aLife.mFlow, aNow);
  Round& round = entry.mValue;
  round.mId = ++mLastRound;
  round.mPurpose = aPurpose;
  round.mEpoch = aLife.mEpoch;
  round.mMoves = aLife.mMoves;
  round.mStart = aNow;
  round.mNextTry = aNow + mOptions.mAskRetry;
  for (const Peer& it : mViews.WhoToAsk(HashFlow(aLife.mFlow))) {
    round.mAsked.push_back({ it, false });
    AskPeer(entry, it, aOut);
  }
  if (aAlso != nullptr) {
    AddPeer(entry, *aAlso, aOut);
  }
  return EndIfAnswered(entry, aNow);
}

bool FlowAsker::Hold(const PacketEvent& aPacket)
{
  std::vector<PacketEvent>& held = mRounds.Find(aPacket.mFlow)->mValue.mHeld;
  if (held.size() >= mOptions.mMaxHeld) {
    return false;
  }
  held.push_back(aPacket);
  return true;
}

AskResult FlowAsker::End(Rounds::Entry& aEntry, AskOutcome aOutcome,
                         const Peer& aOwner)
{
  Round& round = aEntry.mValue;
  AskResult result{ aOutcome,          aEntry.mFlow,
                    round.mPurpose,    aOwner,
                    round.mEpoch,      round.mMoves,
                    round.mJustPlaced, std::move(round.mHeld) };
  mRounds.Erase(aEntry);
  return result;
}

bool FlowAsker::IsOpen(const Asked& aAsked, const Round& aRound,
                       Time aNow) const
{
  return !aAsked.mAnswered &&
         mViews.StatusOf(aAsked.mPeer, aRound.mStart, aNow) == PeerStatus::Live;
}

std::optional<AskResult> FlowAsker::EndIfAnswered(Rounds::Entry& aEntry,
                                                  Time aNow)
{
  const Round& round = aEntry.mValue;
  for (const Asked& it : round.mAsked) {
    if (IsOpen(it, round, aNow)) {
      return std::nullopt;
    }
  }
  if (!round.mUnconfirmed.mHost.IsNone()) {
    return End(aEntry, AskOutcome::Owner, round.mUnconfirmed);
  }
  return End(aEntry, AskOutcome::Nobody, {});
}

bool FlowAsker::AddPeer(Rounds::Entry& aEntry, const Peer& aPeer,
                        OwnershipActions& aOut)
{
  auto& asked = aEntry.mValue.mAsked;
  auto isSame = [&](const Asked& aIt) {
    return aIt.mPeer.mHost == aPeer.mHost;
  };
  if (aPeer.mHost == mSelf.mHost ||
      std::any_of(asked.begin(), asked.end(), isSame)) {
    return true;
  }
  if (asked.size() == asked.capacity()) {
    return false;
  }
  asked.push_back({ aPeer, false });
  AskPeer(aEntry, aPeer, aOut);
  return true;
}

std::optional<AskResult> FlowAsker::OnReply(const AskReply& aReply, Time aNow,
                                            OwnershipActions& aOut)
{
  Rounds::Entry* entry = mRounds.Find(aReply.mFlow);
  if (entry == nullptr || entry->mValue.mId != aReply.mRound) {
    return std::nullopt;
  }
  bool isAsked = false;
  for (Asked& it : entry->mValue.mAsked) {
    bool isFrom = it.mPeer.mHost == aReply.mFrom.mHost;
    it.mAnswered = it.mAnswered || isFrom;
    isAsked = isAsked || isFrom;
  }
  if (isAsked) {
    return TakeVerdict(*entry, aReply, aNow, aOut);
  }
  return std::nullopt;
}

bool FlowAsker::IsUsable(const Round& aRound, const AskReply& aReply,
                         Time aNow) const
{
  if (aReply.mOwner.mHost == mSelf.mHost) {
    // An entry that names this host is of use only if it is new: an older one
    // is what was left of a life that expired here, or of an earlier start.
    return aReply.mJustPlaced &&
           aReply.mOwner.mIncarnation == mSelf.mIncarnation;
  }
  // Whoever still tells of the life that is to be confirmed, but with fewer
  // moves, tells of the time before this host took it over.
  bool isOutdated = aRound.mPurpose == AskPurpose::Reconfirm &&
                    aReply.mEpoch == aRound.mEpoch &&
                    aReply.mMoves <= aRound.mMoves;
  // Of two lives that are to be confirmed the later one holds; see OnRival.
  bool isEarlier = aRound.mPurpose == AskPurpose::Reconfirm &&
                   aReply.mVerdict == AskVerdict::Unconfirmed &&
                   aReply.mEpoch < aRound.mEpoch;
  return !isOutdated && !isEarlier &&
         mViews.StatusOf(aReply.mOwner, aNow, aNow) != PeerStatus::Gone;
}

std::optional<AskResult> FlowAsker::TakeOwner(Rounds::Entry& aEntry,
                                              const AskReply& aReply, Time aNow,
                                              OwnershipActions& aOut)
{
  Round& round = aEntry.mValue;
  bool mayBeUnaware = aReply.mJustPlaced && round.mPurpose == AskPurpose::Place;
  bool isHearsay = aReply.mOwner.mHost != aReply.mFrom.mHost && !mayBeUnaware;
  // Entries may be old. The host that one names is asked itself; believing the
  // entry would send the flow round between the two until it expires.
  if (isHearsay && AddPeer(aEntry, aReply.mOwner, aOut)) {
    return EndIfAnswered(aEntry, aNow);
  }
  bool isSelf = aReply.mOwner.mHost == mSelf.mHost;
  if (isSelf && !round.mUnconfirmed.mHost.IsNone()) {
    // An owner that lives goes before an order that was not carried out.
    return EndIfAnswered(aEntry, aNow);
  }
  round.mEpoch = aReply.mEpoch;
  round.mMoves = aReply.mMoves;
  round.mJustPlaced = aReply.mJustPlaced;
  if (!isSelf && aReply.mVerdict == AskVerdict::Owner) {
    return End(aEntry, AskOutcome::Owner, aReply.mOwner);
  }
  if (!isSelf) {
    round.mUnconfirmed = aReply.mOwner;
  }
  return EndIfAnswered(aEntry, aNow);
}

std::optional<AskResult> FlowAsker::TakeVerdict(Rounds::Entry& aEntry,
                                                const AskReply& aReply,
                                                Time aNow,
                                                OwnershipActions& aOut)
{
  bool knowsOwner = aReply.mVerdict == AskVerdict::Owner ||
                    aReply.mVerdict == AskVerdict::Unconfirmed;
  if (knowsOwner && IsUsable(aEntry.mValue, aReply, aNow)) {
    return TakeOwner(aEntry, aReply, aNow, aOut);
  }
  if (aReply.mVerdict == AskVerdict::Asking) {
    if (aReply.mOwner.mHost == aReply.mFrom.mHost) {
      return End(aEntry, AskOutcome::Yield, aReply.mOwner);
    }
    AddPeer(aEntry, aReply.mOwner, aOut);
  }
  return EndIfAnswered(aEntry, aNow);
}

std::optional<AskResult> FlowAsker::OnRival(const Ask& aAsk)
{
  Rounds::Entry& entry = *mRounds.Find(aAsk.mFlow);
  if (Precedence(MakeAsk(entry)) > Precedence(aAsk)) {
    return std::nullopt;
  }
  return End(entry, AskOutcome::Yield, aAsk.mFrom);
}

std::optional<AskResult> FlowAsker::EndWithOwner(const FlowKey& aFlow,
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
  return End(*entry, AskOutcome::Owner, aOwner);
}

AskResult FlowAsker::EndSilent(Rounds::Entry& aEntry, Time aNow)
{
  for (const Asked& it : aEntry.mValue.mAsked) {
    if (IsOpen(it, aEntry.mValue, aNow)) {
      mSilent.insert(it.mPeer.mHost);
    }
  }
  return End(aEntry, AskOutcome::Silent, {});
}

bool FlowAsker::HasSilentPeer(std::uint64_t aFlowHash) const
{
  if (mSilent.empty()) {
    return false;
  }
  auto peers = mViews.WhoToAsk(aFlowHash);
  return std::any_of(peers.begin(), peers.end(), [this](const Peer& aIt) {
    return mSilent.contains(aIt.mHost);
  });
}

std::optional<AskResult> FlowAsker::TickRound(Rounds::Entry& aEntry, Time aNow,
                                              OwnershipActions& aOut)
{
  if (auto ended = EndIfAnswered(aEntry, aNow)) {
    return ended;
  }
  Round& round = aEntry.mValue;
  if (aNow >= round.mStart + mOptions.mAskDeadline) {
    return EndSilent(aEntry, aNow);
  }
  if (aNow < round.mNextTry) {
    return std::nullopt;
  }
  round.mNextTry = aNow + mOptions.mAskRetry;
  for (const Asked& it : round.mAsked) {
    if (IsOpen(it, round, aNow)) {
      AskPeer(aEntry, it.mPeer, aOut);
    }
  }
  return std::nullopt;
}

void FlowAsker::Tick(Time aNow, OwnershipActions& aOut,
                     std::vector<AskResult>& aEnded)
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

void FlowAsker::EndAll(std::vector<AskResult>& aEnded)
{
  while (Rounds::Entry* entry = mRounds.Oldest()) {
    aEnded.push_back(End(*entry, AskOutcome::Silent, {}));
  }
}

} // namespace heatherplank
