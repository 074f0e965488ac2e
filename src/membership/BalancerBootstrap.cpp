// Snapshots: how a new balancer obtains its view, and how its peers serve it.
#include "src/membership/BalancerMembership.h"
#include "src/membership/MessageSize.h"
#include "src/wire/MembershipCodec.h"

namespace heatherplank {

namespace {

/** Further snapshot requests are dropped; their senders repeat them. */
constexpr std::size_t kMaxSnapshotRequests = 64;

} // namespace

void BalancerMembership::On(const MemberSnapshotRequest& aRequest, Time aNow)
{
  if (mSnapshotRequests.size() < kMaxSnapshotRequests) {
    mSnapshotRequests.push_back({ aRequest, aNow });
  }
}

void BalancerMembership::On(const MemberSnapshot& aSnapshot, Time aNow)
{
  TableOf(aSnapshot.mTable).OnSnapshot(aSnapshot, aNow);
  bool isExpected = !mStarted && !aSnapshot.mIsPartial &&
                    aSnapshot.mTable == MemberTableId::Hosts &&
                    aSnapshot.mFirst <= mCursor && aSnapshot.mLast >= mCursor;
  if (!isExpected) {
    return;
  }
  if (aSnapshot.mLast.mValue == UINT64_MAX) {
    mStarted = true;
    return;
  }
  mCursor = { aSnapshot.mLast.mValue + 1 };
  mSeedsTried = 0;
  RequestSnapshot(aNow);
}

/** Names some other balancers to a new peer. */
void BalancerMembership::Introduce(const Member& aNewPeer, Time aNow)
{
  MemberDelta delta;
  delta.mTable = MemberTableId::Balancers;
  delta.mVersion = mBalancers.Version();
  for (const Member& it : mBalancers.Sample(mOptions.mIntroductions, mRandom)) {
    if (it.mHost == aNewPeer.mHost || it.mHost == mSelf.mHost) {
      continue;
    }
    if (auto record = mBalancers.Find(it.mHost, aNow)) {
      delta.mRecords.push_back(*record);
    }
  }
  if (!delta.mRecords.empty()) {
    mSnapshotBudget.Take(EncodedBytes(delta));
    Send(aNewPeer.mControl, delta);
  }
}

/** Answers requests within the byte budget. Older ones are dropped: their
 * senders have turned to other peers, and the answers would spend the budget of
 * those that wait. What a balancer sends while it is still starting is marked
 * as partial: two new balancers would take each other's views for complete
 * ones. */
void BalancerMembership::ServeSnapshots(Time aNow)
{
  while (!mSnapshotRequests.empty() && mSnapshotBudget.Available(aNow) > 0) {
    auto [request, receivedAt] = mSnapshotRequests.front();
    mSnapshotRequests.pop_front();
    const Member* peer = FindBalancer(request.mFrom);
    if (peer == nullptr || aNow - receivedAt >= mOptions.mChunkTimeout) {
      continue;
    }
    MemberSnapshot chunk =
      TableOf(request.mTable).Snapshot(request, mOptions.mChunkRecords, aNow);
    chunk.mFrom = mSelf.mHost;
    chunk.mIsPartial = !mStarted;
    mSnapshotBudget.Take(EncodePayload(chunk).size());
    Send(peer->mControl, chunk);
  }
}

void BalancerMembership::RequestSnapshot(Time aNow)
{
  mSnapshotRequestedAt = aNow;
  if (mSeeds.empty()) {
    return;
  }
  const Address& seed = mSeeds[mSeedIndex % mSeeds.size()];
  MemberSnapshotRequest request;
  request.mFrom = mSelf.mHost;
  request.mMaxRecords = mOptions.mChunkRecords;
  request.mTable = MemberTableId::Balancers;
  Send(seed, request);
  request.mTable = MemberTableId::Hosts;
  request.mFirst = mCursor;
  Send(seed, request);
}

/** Guards against: a new balancer routes by a view of the few hosts whose
 * heartbeats it has received so far, and existing flows are placed again. It is
 * ready only once its peers have sent a complete snapshot, continuing with the
 * next peer if one dies half-way; or, if no peer answers, once heartbeats add
 * no new members. */
void BalancerMembership::Bootstrap(Time aNow)
{
  if (mHosts.Size() != mHostCount) {
    mHostCount = mHosts.Size();
    mHostCountChangedAt = aNow;
  }
  bool requested = mSeedsTried > 0;
  if (!requested || aNow - mSnapshotRequestedAt >= mOptions.mChunkTimeout) {
    ++mSeedsTried;
    mSeedIndex += requested ? 1 : 0;
    RequestSnapshot(aNow);
  }
  bool noPeer = mSeedsTried > mSeeds.size();
  bool settled = aNow - mHostCountChangedAt >= mOptions.mSettleDuration;
  mStarted = mStarted || (noPeer && settled && mHostCount > 0);
}

} // namespace heatherplank
