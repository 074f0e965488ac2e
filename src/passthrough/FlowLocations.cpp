#include "src/passthrough/FlowLocations.h"

#include <algorithm>

#include "src/passthrough/FlowHint.h"

namespace heatherplank {

namespace {

/** Enough for one full message, with a margin for late ticks. */
constexpr double kMaxMoveBurst = 2048;

bool Contains(const RecordReplicas::Selection& aSelection,
              const RecordReplica& aReplica)
{
  return std::ranges::any_of(aSelection, [&](const RecordReplica* aIt) {
    return aIt != nullptr && *aIt == aReplica;
  });
}

/** Moves up to aCount records from the front of aFrom. */
void Take(std::deque<FlowRecord>& aFrom, std::size_t aCount, FlowRecords& aTo)
{
  auto end =
    aFrom.begin() + static_cast<std::ptrdiff_t>(std::min(aCount, aFrom.size()));
  aTo.mRecords.insert(aTo.mRecords.end(), aFrom.begin(), end);
  aFrom.erase(aFrom.begin(), end);
}

} // namespace

FlowLocations::FlowLocations(const Member& aSelf)
  : mSelf(aSelf)
  , mReplicas(aSelf, {})
  , mBefore(mReplicas)
{
}

void FlowLocations::SetBalancers(std::span<const Member> aOthers)
{
  RecordReplicas replicas(mSelf, aOthers);
  if (replicas == mReplicas) {
    return;
  }
  // A scan that is running goes on with all hints from where it is, and still
  // compares with the replicas before the first change: if it began anew at
  // each of many restarts, it would never reach the last hints.
  if (!mIsScanning) {
    mBefore = std::move(mReplicas);
  }
  mReplicas = std::move(replicas);
  mIsScanning = true;
  mScannedSets = 0;
  RemoveOutboxes();
}

/** Drops what waits for balancers that are no longer in view. */
void FlowLocations::RemoveOutboxes()
{
  std::erase_if(mOutboxes, [this](const auto& aIt) {
    bool isInView =
      std::ranges::any_of(mReplicas.All(), [&](const RecordReplica& aReplica) {
        return aReplica.mHost == aIt.first;
      });
    if (!isInView) {
      mDueTotal -= aIt.second.mDue.size();
      mMovedTotal -= aIt.second.mMoved.size();
    }
    return !isInView;
  });
}

std::vector<Address> FlowLocations::ReplicasOf(std::uint64_t aFlowHash) const
{
  std::vector<Address> out;
  for (const RecordReplica* it : mReplicas.Of(aFlowHash)) {
    if (it != nullptr && !IsSelf(*it)) {
      out.push_back(it->mTunnel);
    }
  }
  return out;
}

void FlowLocations::OnHostLearnt(const FlowRecord& aRecord, Time aNow)
{
  if (mByDueAt.size() >= kMaxPending) {
    ++mDropped;
    return;
  }
  Time dueAt = aNow + kRecordDelay;
  mPending.insert_or_assign(aRecord.mFlowHash, Pending{ aRecord.mHost, dueAt });
  mByDueAt.emplace_back(dueAt, aRecord.mFlowHash);
}

std::vector<FlowLocations::Batch> FlowLocations::OnTick(const HintCache& aHints,
                                                        Time aNow)
{
  QueueDue(aNow);
  if (mIsScanning) {
    Scan(aHints);
  }
  std::chrono::duration<double> elapsed = aNow - mMoveBytesAt;
  mMoveBytesAt = aNow;
  mMoveBytes =
    std::min(mMoveBytes + elapsed.count() * kMoveBytesPerSecond, kMaxMoveBurst);
  std::vector<Batch> out;
  for (const RecordReplica& it : mReplicas.All()) {
    auto outbox = mOutboxes.find(it.mHost);
    if (outbox == mOutboxes.end() ||
        aNow - outbox->second.mSentAt < kMessageInterval) {
      continue;
    }
    FlowRecords records = TakeBatch(outbox->second, aNow);
    if (!records.mRecords.empty()) {
      outbox->second.mSentAt = aNow;
      out.push_back({ it.mTunnel, std::move(records) });
    }
  }
  return out;
}

void FlowLocations::QueueDue(Time aNow)
{
  while (!mByDueAt.empty() && mByDueAt.front().first <= aNow) {
    auto [dueAt, hash] = mByDueAt.front();
    mByDueAt.pop_front();
    auto it = mPending.find(hash);
    if (it == mPending.end() || it->second.mDueAt != dueAt) {
      continue;
    }
    FlowRecord record{ hash, it->second.mHost };
    mPending.erase(it);
    for (const RecordReplica* replica : mReplicas.Of(hash)) {
      if (replica != nullptr && !IsSelf(*replica)) {
        QueueFor(*replica, record);
      }
    }
  }
}

void FlowLocations::QueueFor(const RecordReplica& aReplica,
                             const FlowRecord& aRecord)
{
  if (mDueTotal >= kMaxPending) {
    ++mDropped;
    return;
  }
  mOutboxes[aReplica.mHost].mDue.push_back(aRecord);
  ++mDueTotal;
}

std::size_t FlowLocations::SetsPerTick() const
{
  std::size_t ranked = mBefore.All().size() + mReplicas.All().size();
  return std::max<std::size_t>(
    1, std::min(kMaxScannedPerTick, kMaxRankedPerTick / ranked) /
         HintCache::kWays);
}

void FlowLocations::Scan(const HintCache& aHints)
{
  for (std::size_t left = SetsPerTick();
       left > 0 && mMovedTotal < kMaxMoved && mScannedSets < aHints.Sets();
       --left, ++mScannedSets) {
    aHints.ForEachInSet(mNextSet,
                        [this](std::uint64_t aHash, const OwnerHint& aOwner) {
                          if (!FlowHint::Unpack(aOwner).mIsEnded) {
                            QueueMoved({ aHash, aOwner.mHost });
                          }
                        });
    mNextSet = (mNextSet + 1) % aHints.Sets();
  }
  mIsScanning = mScannedSets < aHints.Sets();
}

/** Queues a record for the replicas that the flow did not have before. */
void FlowLocations::QueueMoved(const FlowRecord& aRecord)
{
  if (mPending.contains(aRecord.mFlowHash)) {
    return;
  }
  auto before = mBefore.Of(aRecord.mFlowHash);
  for (const RecordReplica* it : mReplicas.Of(aRecord.mFlowHash)) {
    if (it != nullptr && !IsSelf(*it) && !Contains(before, *it)) {
      mOutboxes[it->mHost].mMoved.push_back(aRecord);
      ++mMovedTotal;
    }
  }
}

FlowRecords FlowLocations::TakeBatch(Outbox& aOutbox, Time aNow)
{
  FlowRecords out;
  Take(aOutbox.mDue, FlowRecords::kMaxRecords, out);
  mDueTotal -= out.mRecords.size();
  if (aNow >= aOutbox.mNextMovedAt) {
    TakeMoved(aOutbox, out, aNow);
  }
  return out;
}

/** Adds moved records to a batch; none until the budget allows all of them, so
 * that no message carries just a few. */
void FlowLocations::TakeMoved(Outbox& aOutbox, FlowRecords& aBatch, Time aNow)
{
  std::size_t count = std::min(
    FlowRecords::kMaxRecords - aBatch.mRecords.size(), aOutbox.mMoved.size());
  auto bytes = static_cast<double>(count * kRecordBytes + kMessageOverhead);
  if (count == 0 || bytes > mMoveBytes) {
    return;
  }
  Take(aOutbox.mMoved, count, aBatch);
  mMovedTotal -= count;
  mMoveBytes -= bytes;
  auto senders = static_cast<double>(mReplicas.All().size() - 1);
  std::chrono::duration<double> pause(bytes * senders / kMoveBytesPerReplica);
  aOutbox.mNextMovedAt = aNow + std::chrono::duration_cast<Duration>(pause);
}

} // namespace heatherplank
