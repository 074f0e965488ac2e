// FlowSteering's use of record replicas: records of flows' hosts, and the
// lookup of a flow at its replicas.
#include <utility>

#include "src/base/Log.h"
#include "src/passthrough/FlowSteering.h"

namespace heatherplank {

void FlowSteering::SetBalancers(std::span<const Member> aOthers)
{
  mLocations.SetBalancers(aOthers);
}

void FlowSteering::SendRecords(Time aNow)
{
  for (const auto& it : mLocations.OnTick(mHints, aNow)) {
    Increment(SteerEvent::RecordsSent, it.mRecords.mRecords.size());
    mOutput.SendRecords(it.mReplica, it.mRecords);
  }
  mCounts[static_cast<std::size_t>(SteerEvent::RecordsDropped)] =
    mLocations.Dropped();
}

void FlowSteering::OnRecords(const FlowRecords& aRecords)
{
  Increment(SteerEvent::RecordsReceived, aRecords.mRecords.size());
  for (const FlowRecord& it : aRecords.mRecords) {
    mHints.Put(it.mFlowHash, { it.mHost, 0 });
  }
}

/** Stores the host of a flow. Writes its record, unless the flow is an open one
 * whose host was known or is reported because a replica was asked. aOffered:
 * the opening packet to which the report is the answer, if any. */
void FlowSteering::StoreHost(const PlacementReport& aReport,
                             const SteeredPacket* aOffered, Time aNow)
{
  std::uint64_t hash = HashFlow(aReport.mFlow);
  auto known = FindHint(hash);
  bool isKnown = known && known->mHost == aReport.mHost;
  FlowHint hint{ aReport.mHost };
  if (aOffered != nullptr) {
    if (auto opening = mFormat.Parse(aOffered->mPacket)) {
      hint.mOpening = opening->mSequence;
    }
  } else if (isKnown && !known->mIsEnded) {
    hint.mOpening = known->mOpening;
  }
  mHints.Put(hash, hint.Pack());
  if (aOffered != nullptr ||
      !(isKnown || mSearches.IsLocating(aReport.mFlow))) {
    mLocations.OnHostLearnt({ hash, aReport.mHost }, aNow);
  }
}

void FlowSteering::OnFlowEnded(std::uint64_t aFlowHash)
{
  mLocations.OnFlowEnded(aFlowHash);
  if (auto hint = FindHint(aFlowHash)) {
    hint->mIsEnded = true;
    mHints.Put(aFlowHash, hint->Pack());
  }
}

/** Sends the packet to the flow's replicas. Returns false if there are none. */
bool FlowSteering::Locate(const FlowKey& aFlow, SteeredPacket aSteered)
{
  auto replicas = mLocations.ReplicasOf(HashFlow(aFlow));
  if (replicas.empty()) {
    return false;
  }
  Increment(SteerEvent::LocateSent);
  LogFlow("locate_sent", { { "flow", aFlow.ToString() },
                           { "to", replicas.front().ToString() },
                           { "others", replicas.size() - 1 } });
  aSteered.mPurpose = SteerPurpose::Locate;
  aSteered.mCandidates.assign(replicas.begin() + 1, replicas.end());
  mOutput.Steer(replicas.front(), aSteered);
  return true;
}

void FlowSteering::OnLocate(SteeredPacket aSteered)
{
  auto packet = mFormat.Parse(aSteered.mPacket);
  if (!packet) {
    Increment(SteerEvent::Malformed);
    return;
  }
  FlowKey flow = packet->FlowFromCaller();
  if (const Member* member = HintedMember(HashFlow(flow))) {
    Increment(SteerEvent::LocateAnswered);
    LogFlow("located", { { "flow", flow.ToString() },
                         { "to", member->mTunnel.ToString() } });
    aSteered.mPurpose = SteerPurpose::Located;
    aSteered.mService = member->mService;
    aSteered.mCandidates.clear();
    mOutput.Steer(member->mTunnel, aSteered);
    return;
  }
  std::erase(aSteered.mCandidates, mOptions.mSelf);
  Increment(SteerEvent::LocateForwarded);
  if (aSteered.mCandidates.empty()) {
    aSteered.mPurpose = SteerPurpose::NotHere;
    mOutput.Steer(aSteered.mIngress, aSteered);
    return;
  }
  Address next = aSteered.mCandidates.front();
  aSteered.mCandidates.erase(aSteered.mCandidates.begin());
  mOutput.Steer(next, aSteered);
}

/** The replicas did not locate the flow. Its host may have become known
 * meanwhile, by a report or a record. */
void FlowSteering::OnNotLocated(const FlowKey& aFlow, SteerEvent aReason,
                                Time aNow)
{
  Increment(aReason);
  LogFlow("locate_failed",
          { { "flow", aFlow.ToString() }, { "why", ToString(aReason) } });
  auto hint = mHints.Find(HashFlow(aFlow));
  if (!hint || !mMembers.contains(hint->mHost)) {
    StartQuery(aFlow, aNow);
  } else if (mSearches.BeginQuery(aFlow)) {
    DeliverFound(aFlow, hint->mHost);
  }
}

} // namespace heatherplank
