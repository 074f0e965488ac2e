// Snapshots: how a new balancer comes to its view, and how others give it.
#include "src/membership/BalancerMembership.h"
#include "src/wire/MembershipCodec.h"

namespace heatherplank {

namespace {

/** Most snapshot requests that wait; more are dropped, and asked for again. */
constexpr std::size_t kMaxToServe = 64;

} // namespace

void BalancerMembership::On(const MemberSnapshotRequest& aRequest, Time)
{
  if (mToServe.size() < kMaxToServe) {
    mToServe.push_back(aRequest);
  }
}

void BalancerMembership::On(const MemberSnapshot& aSnapshot, Time aNow)
{
  TableOf(aSnapshot.mTable).OnSnapshot(aSnapshot, aNow);
  bool expected = !mStarted && aSnapshot.mTable == MemberTableId::Hosts &&
                  aSnapshot.mFirst <= mCursor && aSnapshot.mLast >= mCursor;
  if (!expected) {
    return;
  }
  if (aSnapshot.mLast.mValue == UINT64_MAX) {
    mStarted = true;
    return;
  }
  mCursor = { aSnapshot.mLast.mValue + 1 };
  mSeedsTried = 0;
  AskForSnapshot(aNow);
}

/** Answers within the budget. A balancer that is itself starting answers
 * nobody, or two new ones would take each other's gaps for whole views. */
void BalancerMembership::ServeSnapshots(Time aNow)
{
  while (!mToServe.empty() && mSnapshotBudget.Available(aNow) > 0) {
    MemberSnapshotRequest request = mToServe.front();
    mToServe.pop_front();
    const Member* peer = FindBalancer(request.mFrom);
    if (peer == nullptr || !mStarted) {
      continue;
    }
    MemberSnapshot part =
      TableOf(request.mTable).Snapshot(request, mOptions.mChunkRecords, aNow);
    part.mFrom = mSelf.mHost;
    mSnapshotBudget.Take(EncodePayload(part).size());
    Send(peer->mControl, part);
  }
}

void BalancerMembership::AskForSnapshot(Time aNow)
{
  mAskedAt = aNow;
  if (mSeeds.empty()) {
    return;
  }
  const Address& seed = mSeeds[mSeed % mSeeds.size()];
  MemberSnapshotRequest request;
  request.mFrom = mSelf.mHost;
  request.mMaxRecords = mOptions.mChunkRecords;
  request.mTable = MemberTableId::Balancers;
  Send(seed, request);
  request.mTable = MemberTableId::Hosts;
  request.mFirst = mCursor;
  Send(seed, request);
}

/** Failure met: a new balancer routes by a view of the few hosts that it has
 * heard so far, and flows are placed anew. It is ready once a peer has given
 * it all, going on with the next peer where one died half-way; or, where no
 * peer answers, once heartbeats bring no new member. */
void BalancerMembership::Bootstrap(Time aNow)
{
  if (mHosts.Size() != mKnown) {
    mKnown = mHosts.Size();
    mGrownAt = aNow;
  }
  bool asked = mSeedsTried > 0;
  if (!asked || aNow - mAskedAt >= mOptions.mChunkTimeout) {
    ++mSeedsTried;
    mSeed += asked ? 1 : 0;
    AskForSnapshot(aNow);
  }
  bool noPeer = mSeedsTried > mSeeds.size();
  bool settled = aNow - mGrownAt >= mOptions.mSettleFor;
  mStarted = mStarted || (noPeer && settled && mKnown > 0);
}

} // namespace heatherplank
