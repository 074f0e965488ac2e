// Packets of flows that exist: delivery, the search for a flow's host, and what
// the host sends and returns.
#include <algorithm>
#include <utility>

#include "src/base/Log.h"
#include "src/passthrough/HostFlows.h"
#include "src/passthrough/SearchWalks.h"

namespace heatherplank {

namespace {

/** Longest time that a request counts as being worked on. */
constexpr auto kWorkAtMost = std::chrono::seconds(8);
/** Bytes that may be under way to a caller: 16 packets of 1,200 bytes, and
 * four times that, since acknowledgements may be late. */
constexpr std::uint32_t kLargestWindow = 76800;

} // namespace

/** Whether the caller's packet belongs to a flow that was opened at this host.
 * Two hosts may have answered copies of one opening packet; the caller's
 * acknowledgement names the one that it chose. */
bool HostFlows::IsOpenHere(Flow& aFlow, const FlowPacket& aPacket) const
{
  if (aFlow.mStage == Stage::Open || !aFlow.mHostSequenceKnown) {
    return aFlow.mStage >= Stage::Answered;
  }
  if (!aPacket.mAck || !mOptions.mGuards.mMatchAcknowledged) {
    return true;
  }
  std::uint32_t ahead = aPacket.mAcknowledged - aFlow.mHostSequence;
  return ahead <= kLargestWindow;
}

/** Begins the walks of a search, unless the flow is here. The packet is left as
 * a search of this host alone. */
void HostFlows::FanOut(SteeredPacket& aSteered, const FlowPacket& aPacket)
{
  std::vector<Address> hosts = std::exchange(aSteered.mCandidates, {});
  aSteered.mPurpose = SteerPurpose::Search;
  Table::Entry* entry = mFlows.Find(aPacket.FlowFromCaller());
  if (entry != nullptr && IsOpenHere(entry->mValue, aPacket)) {
    return;
  }
  SteeredPacket walk = aSteered;
  for (SearchWalk& it : DealWalks(hosts, kWalksEach)) {
    walk.mCandidates = std::move(it.mOthers);
    mOutput.Steer(it.mFirst, walk);
  }
}

void HostFlows::Continue(SteeredPacket& aSteered, const FlowPacket& aPacket,
                         Time aNow)
{
  FlowKey flow = aPacket.FlowFromCaller();
  Table::Entry* entry = mFlows.Find(flow);
  if (entry != nullptr && IsOpenHere(entry->mValue, aPacket)) {
    Deliver(aSteered, aPacket, *entry, aNow);
    return;
  }
  if (entry != nullptr && entry->mValue.mStage != Stage::NotHere) {
    // The caller opened the flow at another host that had answered too.
    Forget(flow, aNow);
  } else if (entry == nullptr && MayHoldUnknown(aNow)) {
    Probe(aSteered, flow);
    return;
  }
  PassSearchOn(aSteered, flow);
}

void HostFlows::Deliver(SteeredPacket& aSteered, const FlowPacket& aPacket,
                        Table::Entry& aEntry, Time aNow)
{
  Flow& flow = aEntry.mValue;
  mFlows.Touch(aEntry, aNow);
  if (aPacket.mAck && flow.mStage == Stage::Answered) {
    flow.mStage = Stage::Open;
  }
  bool isNew = flow.mFromCaller.Take(aPacket.mSequence, aPacket.mDataLength);
  if (isNew && !flow.mFinished) {
    mWork.Begin(aEntry.mFlow, aNow, aNow + kWorkAtMost);
  }
  if (aPacket.mReset) {
    mWork.End(aEntry.mFlow, aNow);
    flow.mFinished = true;
  }
  if (aSteered.mPurpose == SteerPurpose::Search) {
    // Who searches does not know, whatever it was told: the report was lost, or
    // the balancer has restarted since. Untold, it would search for each packet
    // of the flow, and what waits there for the answer would be dropped.
    flow.mTold = Address{};
  }
  Tell(aEntry, aSteered.mIngress);
  Add(HostFlowEvent::Delivered);
  mFormat.Tag(aSteered.mPacket, 0);
  mOutput.ToHost(aSteered.mPacket);
}

/** Tells a balancer that did not know it where the flow is, so that the next
 * packet comes straight here. */
void HostFlows::Tell(Table::Entry& aEntry, const Address& aIngress)
{
  if (aEntry.mValue.mTold == aIngress || aIngress.IsNone()) {
    return;
  }
  aEntry.mValue.mTold = aIngress;
  mOutput.Report(aIngress,
                 { aEntry.mFlow, mOptions.mHost, PlacementOutcome::Placed });
}

void HostFlows::PassSearchOn(SteeredPacket& aSteered, const FlowKey& aFlow)
{
  if (aSteered.mPurpose == SteerPurpose::Deliver) {
    Add(HostFlowEvent::NotHere);
    LogFlow("not_here", { { "flow", aFlow.ToString() } });
    aSteered.mPurpose = SteerPurpose::NotHere;
    mOutput.Steer(aSteered.mIngress, aSteered);
    return;
  }
  if (aSteered.mCandidates.empty()) {
    // Silence, never a reset: the flow's host may live behind a cut.
    Add(HostFlowEvent::SearchEnded);
    LogFlow("search_ended", { { "flow", aFlow.ToString() } });
    return;
  }
  Add(HostFlowEvent::Searched);
  Address next = aSteered.mCandidates.front();
  LogFlow("search_passed",
          { { "flow", aFlow.ToString() }, { "to", next.ToString() } });
  aSteered.mCandidates.erase(aSteered.mCandidates.begin());
  mOutput.Steer(next, aSteered);
}

bool HostFlows::MayHoldUnknown(Time aNow) const
{
  return mOptions.mGuards.mAskUnknown &&
         aNow - mStartedAt < mOptions.mFlowsLastFor &&
         !mLife.IsKnownFromStart() && mLife.Phase() != HostPhase::Gone;
}

void HostFlows::Probe(SteeredPacket& aSteered, const FlowKey& aFlow)
{
  Add(HostFlowEvent::Probed);
  LogFlow("probed", { { "flow", aFlow.ToString() } });
  mFormat.Tag(aSteered.mPacket, Remember(aSteered, aFlow));
  mOutput.ToHost(aSteered.mPacket);
}

std::uint32_t HostFlows::Remember(const SteeredPacket& aSteered,
                                  const FlowKey& aFlow)
{
  std::uint32_t tag = mNextTag++;
  if (mNextTag == 0) {
    mNextTag = 1;
  }
  Pending& pending = mPending[tag % kMostPending];
  pending.mTag = tag;
  pending.mFlow = aFlow;
  pending.mSteered = aSteered;
  // The bytes come back by themselves.
  pending.mSteered.mPacket.clear();
  return tag;
}

void HostFlows::OnHostPacket(ByteView aPacket, Time aNow)
{
  auto packet = mFormat.Parse(aPacket);
  if (!packet) {
    Add(HostFlowEvent::Malformed);
    return;
  }
  mUnansweredSince = Time{};
  if (packet->mBounced) {
    OnBounced(aPacket, *packet, aNow);
    return;
  }
  FromHost(*packet, aNow);
  mOutput.ToCaller(packet->mDestination, aPacket);
}

/** The host does not hold the flow, or has no room for it. The packet goes on
 * to the next candidate as it was; the tag says what had been asked. Each
 * candidate is asked once, which ends the search. */
void HostFlows::OnBounced(ByteView aBytes, const FlowPacket& aPacket, Time aNow)
{
  Add(HostFlowEvent::Bounced);
  FlowKey flow = aPacket.FlowFromCaller();
  LogFlow("bounced", { { "flow", flow.ToString() },
                       { "opens", aPacket.mSyn },
                       { "tag", aPacket.mTag } });
  Table::Entry* entry = mFlows.Find(flow);
  Pending& pending = mPending[aPacket.mTag % kMostPending];
  bool isPending =
    aPacket.mTag != 0 && pending.mTag == aPacket.mTag && pending.mFlow == flow;
  if (!isPending) {
    // The host lost a flow that was open there: it started anew. No other host
    // can hold it, so the caller is told at once.
    if (entry != nullptr && entry->mValue.mStage == Stage::Open &&
        !entry->mValue.mFinished && !aPacket.mSyn) {
      Add(HostFlowEvent::FlowLost);
      LogEvent(LogLevel::Warning, "flow_lost",
               { { "flow", flow.ToString() },
                 { "host", mLife.Id() },
                 { "host_heard_ms_ago", HeardAgo(aNow) } });
      Reset(flow, aPacket.mAcknowledged);
    }
    Forget(flow, aNow);
    return;
  }
  SteeredPacket steered = std::move(pending.mSteered);
  pending = {};
  steered.mPacket.assign(aBytes.begin(), aBytes.end());
  mFormat.Tag(steered.mPacket, 0);
  Forget(flow, aNow);
  if (steered.mPurpose == SteerPurpose::Place) {
    PassPlacementOn(steered, flow, aNow);
    return;
  }
  if (auto* asked = mFlows.Put(flow, aNow)) {
    asked->mValue.mStage = Stage::NotHere;
  }
  PassSearchOn(steered, flow);
}

void HostFlows::FromHost(const FlowPacket& aPacket, Time aNow)
{
  FlowKey key = aPacket.FlowFromHost();
  Table::Entry* entry = mFlows.Put(key, aNow);
  if (entry == nullptr) {
    Add(HostFlowEvent::TableFull);
    return;
  }
  Flow& flow = entry->mValue;
  if (aPacket.mSyn) {
    auto opening = mWork.End(key, aNow);
    if (opening.mLasted > Duration::zero()) {
      mOutput.Measured(HostTiming::Opening, opening.mLasted);
    }
    if (flow.mHostSequenceKnown && flow.mHostSequence != aPacket.mSequence) {
      // The caller uses its port again for another flow.
      Address told = flow.mTold;
      flow = {};
      flow.mTold = told;
    }
    flow.mStage = std::max(flow.mStage, Stage::Answered);
    flow.mHostSequence = aPacket.mSequence;
    flow.mHostSequenceKnown = true;
    flow.mHostLife = mHostLives;
    mWork.Begin(key, aNow, aNow + kOpenWithin);
    if (!flow.mTold.IsNone()) {
      mOutput.Report(flow.mTold,
                     { key, mOptions.mHost, PlacementOutcome::Placed });
    }
    return;
  }
  flow.mStage = Stage::Open;
  if (aPacket.mDataLength > 0 || aPacket.mFin || aPacket.mReset) {
    auto request = mWork.End(key, aNow);
    if (aPacket.mDataLength > 0 && request.mLasted > Duration::zero()) {
      Add(HostFlowEvent::Answered);
      mOutput.Measured(HostTiming::Answer, request.mLasted);
      mServiceTime.Learn(request.mLasted, request.mAhead, mLife.Slots());
    }
  }
  flow.mFinished = flow.mFinished || aPacket.mFin || aPacket.mReset;
}

} // namespace heatherplank
