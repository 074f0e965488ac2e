#include "src/steer/OwnershipState.h"

#include <algorithm>

namespace heatherplank {

namespace {

/** Low bits of an epoch that hash the owner's host and incarnation: one stale
 * order to adopt in half a million (2^19) is mistaken for a current one. The
 * other bits count units of 64 microseconds, which fit until the year 2041 and
 * allow 15,625 new flows per second and shard.
 */
constexpr int kEpochOwnerBits = 19;
constexpr int kEpochUnitBits = 6;

std::uint64_t OwnerBits(const Peer& aOwner)
{
  std::uint64_t hash = MixHash(aOwner.mHost.mValue, aOwner.mIncarnation);
  return hash & ((std::uint64_t{ 1 } << kEpochOwnerBits) - 1);
}

/** Limit of flows that are checked to find one to evict. */
constexpr std::size_t kMaxEvictionTries = 8;

} // namespace

OwnershipState::OwnershipState(const Peer& aSelf, ServiceId aService,
                               OwnerPolicy& aPolicy,
                               const OwnershipOptions& aOptions, Time aStart)
  : mSelf(aSelf)
  , mService(aService)
  , mPolicy(aPolicy)
  , mOptions(aOptions)
  , mViews(mSelf, mOptions, aStart)
  , mFlows(aOptions.mMaxFlows)
  , mDirectory(aOptions.mMaxDirectory)
  , mMoved(aOptions.mMaxMoved)
  , mPromises(aOptions.mMaxPromises)
  , mStart(aStart)
{
}

FlowEpoch OwnershipState::NextEpoch(const Peer& aOwner, Time aNow)
{
  auto since =
    std::chrono::duration_cast<std::chrono::microseconds>(aNow - mStart);
  std::uint64_t stamp =
    mSelf.mIncarnation + static_cast<std::uint64_t>(since.count());
  mLastStamp = std::max(stamp >> kEpochUnitBits, mLastStamp + 1);
  return (mLastStamp << kEpochOwnerBits) | OwnerBits(aOwner);
}

void OwnershipState::Observe(FlowEpoch aEpoch)
{
  mLastStamp = std::max(mLastStamp, aEpoch >> kEpochOwnerBits);
}

bool OwnershipState::IsForThisIncarnation(FlowEpoch aEpoch) const
{
  std::uint64_t bits = aEpoch & ((std::uint64_t{ 1 } << kEpochOwnerBits) - 1);
  return !mOptions.mGuards.mIncarnation || bits == OwnerBits(mSelf);
}

bool OwnershipState::MakeRoom(Time aNow, OwnershipActions& aOut)
{
  if (!mFlows.IsFull()) {
    return true;
  }
  // A flood of new flows evicts only flows that were never answered: answered
  // ones are pinned.
  for (std::size_t n = 0; n < kMaxEvictionTries; ++n) {
    FlowTable::Entry* oldest = mFlows.Oldest();
    if (oldest == nullptr) {
      return false;
    }
    if (oldest->mValue.mActiveRequests == 0 && !oldest->mValue.mMoving) {
      ++mCounters[OwnershipCount::FlowsEvicted];
      Drop(*oldest, aOut);
      return true;
    }
    mFlows.Touch(*oldest, aNow);
  }
  return false;
}

FlowTable::Entry* OwnershipState::Adopt(const FlowKey& aFlow, FlowEpoch aEpoch,
                                        std::uint16_t aMoves, Time aNow,
                                        OwnershipActions& aOut)
{
  if (!MakeRoom(aNow, aOut)) {
    return nullptr;
  }
  FlowTable::Entry* entry = mFlows.Insert(aFlow, aNow);
  entry->mValue.mEpoch = aEpoch;
  entry->mValue.mMoves = aMoves;
  entry->mValue.mConfirmedTerm = mLeaseTerm;
  ++mCounters[OwnershipCount::Adopted];
  if (OwnerTable::Entry* moved = mMoved.Find(aFlow)) {
    mMoved.Erase(*moved);
  }
  if (OwnerTable::Entry* known = mDirectory.Find(aFlow)) {
    mDirectory.Erase(*known);
  }
  return entry;
}

void OwnershipState::Drop(FlowTable::Entry& aFlow, OwnershipActions& aOut)
{
  aOut.push_back(DropFlow{ aFlow.mFlow, aFlow.mValue.mEpoch });
  mFlows.Erase(aFlow);
}

void OwnershipState::RememberMove(const FlowKey& aFlow, const Peer& aTo,
                                  FlowEpoch aEpoch, std::uint16_t aMoves,
                                  Time aNow)
{
  if (mMoved.IsFull() && mMoved.Find(aFlow) == nullptr) {
    ++mCounters[OwnershipCount::MovedEvicted];
    mMoved.Erase(*mMoved.Oldest());
  }
  mMoved.FindOrInsert(aFlow, aNow)->mValue = {
    aTo, aEpoch, aNow, {}, {}, aMoves
  };
}

void OwnershipState::Refuse(const PacketEvent& aPacket,
                            OwnershipRefusal aReason, Duration aRetryAfter,
                            OwnershipActions& aOut)
{
  ++mCounters[aReason];
  aOut.push_back(
    RefusePacket{ aPacket.mToken, aPacket.mFlow, aReason, aRetryAfter });
}

void OwnershipState::Refuse(const PacketEvent& aPacket,
                            OwnershipRefusal aReason, OwnershipActions& aOut)
{
  Refuse(aPacket, aReason, mOptions.mRetryAfter, aOut);
}

void OwnershipState::Forward(const PacketEvent& aPacket, const Peer& aTo,
                             PacketDirective aDirective, FlowEpoch aEpoch,
                             OwnershipActions& aOut)
{
  if (aPacket.mHops >= mOptions.mMaxHops) {
    Refuse(aPacket, OwnershipRefusal::TooManyHops, aOut);
    return;
  }
  ++mCounters[OwnershipCount::PacketsForwarded];
  auto hops = static_cast<std::uint8_t>(aPacket.mHops + 1);
  aOut.push_back(ForwardPacket{ aPacket.mToken, aTo, aDirective, hops,
                                mSelf.mHost, aEpoch });
}

void OwnershipState::Dispatch(const PacketEvent& aPacket,
                              FlowTable::Entry& aFlow, Time aNow,
                              OwnershipActions& aOut)
{
  ++mCounters[OwnershipCount::PacketsDispatched];
  mFlows.Touch(aFlow, aNow);
  aOut.push_back(
    DispatchPacket{ aPacket.mToken, aFlow.mFlow, aFlow.mValue.mEpoch });
  bool balancerHasHint = aPacket.mDirective == PacketDirective::Deliver;
  if (!balancerHasHint && !aPacket.mHintTo.IsNone()) {
    aOut.push_back(
      SendMessage{ aPacket.mHintTo, Hint{ aFlow.mFlow, mSelf.mHost, mSelf } });
  }
}

} // namespace heatherplank
