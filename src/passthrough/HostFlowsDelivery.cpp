// Packets of existing flows: delivery, the search for a flow's host, and the
// packets that the host sends to callers or returns to its agent.
#include <algorithm>
#include <utility>

#include "src/base/Log.h"
#include "src/passthrough/HostFlows.h"
#include "src/passthrough/SearchPaths.h"

namespace heatherplank {

namespace {

/** Whether two sequence numbers may be of packets of one flow in flight at the
 * same time. */
bool IsNear(std::uint32_t aLeft, std::uint32_t aRight)
{
  return aLeft - aRight <= kMaxWindowBytes || aRight - aLeft <= kMaxWindowBytes;
}

} // namespace

/** Whether a packet may belong to the flow of an entry, by what the caller
 * acknowledges.
 *
 * Guards against: the host has restarted, and the caller has opened a flow from
 * the same port at another host. A packet of that flow which is sent here by
 * mistake would be returned by the host and taken for a sign that its flow is
 * lost: the caller would get a reset, although its host lives. */
bool HostFlows::IsOfThisFlow(const Flow& aFlow, const FlowPacket& aPacket) const
{
  return !aPacket.mAck || !aFlow.mHostNext ||
         !mOptions.mGuards.mCheckOpenAcknowledgement ||
         IsNear(aPacket.mAcknowledged, *aFlow.mHostNext);
}

/** Whether an entry says nothing of a packet's flow: it is of another one
 * between the same addresses, and this agent has not seen its opening, so that
 * the host may have got the packet's flow before or after it.
 *
 * Guards against: an agent that has restarted probes its host with a late
 * packet of an earlier flow. The host returns it, and the agent would deny the
 * present flow, which the host holds. */
bool HostFlows::SaysNothingOf(const Flow& aFlow,
                              const FlowPacket& aPacket) const
{
  bool hasSeenOpening =
    aFlow.mHostSequenceKnown || aFlow.mStage == Stage::Offered;
  return !hasSeenOpening && !IsOfThisFlow(aFlow, aPacket);
}

/** Whether a packet of the same flow, which is not that of the entry, was sent
 * here before. The agent has seen the host answer the entry's flow, so the host
 * does not hold another one between the addresses.
 *
 * Guards against: the entry of a flow that the caller has opened at another
 * host, or given up, leaves it unknown where a lost flow is, and the flow is
 * never reset. */
bool HostFlows::IsKnownElsewhere(const Flow& aFlow,
                                 const FlowPacket& aPacket) const
{
  return aFlow.mHostSequenceKnown && aPacket.mAck && aFlow.mOtherNotHere &&
         IsNear(aPacket.mAcknowledged, *aFlow.mOtherNotHere);
}

/** Whether the caller's packet belongs to a flow that was opened at this host.
 * Two hosts may have replied to copies of one opening packet; the caller's
 * acknowledgement number matches the host that the caller chose. Also true for
 * a packet without an acknowledgement number, which can't show the choice. */
bool HostFlows::IsOpenHere(const Flow& aFlow, const FlowPacket& aPacket) const
{
  if (aFlow.mStage == Stage::Open) {
    return IsOfThisFlow(aFlow, aPacket);
  }
  if (!aFlow.mHostSequenceKnown) {
    return aFlow.mStage >= Stage::Answered;
  }
  if (!aPacket.mAck || !mOptions.mGuards.mCheckAcknowledgement) {
    return true;
  }
  std::uint32_t ahead = aPacket.mAcknowledged - aFlow.mHostSequence;
  return ahead <= kMaxWindowBytes;
}

/** Splits a search into parallel searches of the candidates, unless this host
 * holds the flow. Leaves aSteered as a search of this host alone. Sent only by
 * balancers of the previous release, during a rolling upgrade. */
void HostFlows::FanOut(SteeredPacket& aSteered, const FlowPacket& aPacket)
{
  std::vector<Address> hosts = std::exchange(aSteered.mCandidates, {});
  aSteered.mPurpose = SteerPurpose::Search;
  Table::Entry* entry = mFlows.Find(aPacket.FlowFromCaller());
  if (entry != nullptr && IsOpenHere(entry->mValue, aPacket)) {
    return;
  }
  SteeredPacket search = aSteered;
  for (SearchPath& part : SplitSearch(hosts, kPathsPerSearch)) {
    search.mCandidates = std::move(part.mOthers);
    mOutput.Steer(part.mFirst, search);
  }
}

void HostFlows::DeliverOrForward(SteeredPacket& aSteered,
                                 const FlowPacket& aPacket, Time aNow)
{
  FlowKey flow = aPacket.FlowFromCaller();
  Table::Entry* entry = mFlows.Find(flow);
  if (entry != nullptr && IsOpenHere(entry->mValue, aPacket)) {
    Deliver(aSteered, aPacket, *entry, aNow);
    return;
  }
  bool isOther = entry != nullptr && entry->mValue.mStage >= Stage::Answered;
  if (isOther) {
    // The packet is of another flow between the same addresses: a late one, or
    // the caller opened the flow at another host that also replied.
    CountEvent(HostFlowEvent::OtherFlow);
    if (entry->mValue.mStage == Stage::Answered) {
      mWork.End(flow, aNow);
    }
    entry->mValue.mOtherNotHere = aPacket.mAcknowledged;
  }
  bool isUnknown = entry == nullptr || SaysNothingOf(entry->mValue, aPacket);
  if (isUnknown && MayHoldUnknownFlows(aNow)) {
    Probe(aSteered, flow);
    return;
  }
  ForwardSearch(aSteered, flow);
}

void HostFlows::Deliver(SteeredPacket& aSteered, const FlowPacket& aPacket,
                        Table::Entry& aEntry, Time aNow)
{
  Flow& flow = aEntry.mValue;
  mFlows.Touch(aEntry, aNow);
  if (aPacket.mAck && flow.mStage == Stage::Answered) {
    flow.mStage = Stage::Open;
  }
  bool isNew = flow.mFromCaller.Record(aPacket.mSequence, aPacket.mDataLength);
  if (aSteered.mPurpose == SteerPurpose::Search ||
      aSteered.mPurpose == SteerPurpose::Located) {
    // A balancer that searches or asks a replica does not know the flow's host,
    // even if it was notified before: the report was lost, or the balancer has
    // restarted. With no new report it would search for every packet of the
    // flow and drop the packets that wait for the result.
    flow.mNotifiedBalancer = Address{};
  }
  ReportLocation(aEntry, aSteered.mIngress);
  RequestScheduler::Packet packet{ std::move(aSteered), aPacket, isNew };
  if (!Hold(packet, flow, aNow)) {
    DeliverNow(packet, aEntry, aNow);
  }
}

/** Reports the flow's host to a balancer that was not the last one notified, so
 * that the next packet is sent to this agent directly. */
void HostFlows::ReportLocation(Table::Entry& aEntry, const Address& aIngress)
{
  if (aEntry.mValue.mNotifiedBalancer == aIngress || aIngress.IsNone()) {
    return;
  }
  aEntry.mValue.mNotifiedBalancer = aIngress;
  mOutput.Report(aIngress,
                 { aEntry.mFlow, mOptions.mHost, PlacementOutcome::Placed });
}

void HostFlows::ForwardSearch(SteeredPacket& aSteered, const FlowKey& aFlow)
{
  if (aSteered.mPurpose == SteerPurpose::Deliver ||
      aSteered.mPurpose == SteerPurpose::Located) {
    CountEvent(HostFlowEvent::NotHere);
    LogFlow("not_here", { { "flow", aFlow.ToString() } });
    aSteered.mPurpose = SteerPurpose::NotHere;
    mOutput.Steer(aSteered.mIngress, aSteered);
    return;
  }
  if (aSteered.mCandidates.empty()) {
    // No reset: the flow's host may be alive behind a network partition.
    CountEvent(HostFlowEvent::SearchEnded);
    LogFlow("search_ended", { { "flow", aFlow.ToString() } });
    return;
  }
  CountEvent(HostFlowEvent::Searched);
  Address next = aSteered.mCandidates.front();
  LogFlow("search_passed",
          { { "flow", aFlow.ToString() }, { "to", next.ToString() } });
  aSteered.mCandidates.erase(aSteered.mCandidates.begin());
  mOutput.Steer(next, aSteered);
}

bool HostFlows::MayHoldUnknownFlows(Time aNow) const
{
  return mOptions.mGuards.mProbeUnknownFlows &&
         aNow - mStartedAt < mOptions.mFlowRetention &&
         !mHostStatus.IsObservedFromStart() && !mHostStatus.HasEnded();
}

/** Whether the host may hold a flow that found no room in the table. Another
 * incarnation of the host doesn't end this: it may be one that was replaced
 * wrongly for a while. */
bool HostFlows::HasMissedFlow(Time aNow) const
{
  return mMissedFlowAt && aNow - *mMissedFlowAt < mOptions.mFlowRetention;
}

/** Guards against: the host holds a flow that is not in the table, because the
 * agent started after the host or the table was full, and the caller would be
 * reset although its host is alive. */
bool HostFlows::HasSeenAllFlows(Time aNow) const
{
  if (!mOptions.mGuards.mDenyOnlyIfObserved) {
    return true;
  }
  bool isOlderThanFlows = aNow - mStartedAt >= mOptions.mFlowRetention;
  return !HasMissedFlow(aNow) && (mHostStatus.IsObservedFromStart() ||
                                  mHostStatus.HasEnded() || isOlderThanFlows);
}

FlowOutcome HostFlows::Answer(const QueriedFlow& aFlow, Time aNow)
{
  CountEvent(HostFlowEvent::Queried);
  FlowOutcome outcome = Lookup(aFlow, aNow);
  if (outcome == FlowOutcome::Unknown) {
    CountEvent(HostFlowEvent::QueriedUnknown);
  }
  return outcome;
}

bool HostFlows::IsUnknownBecauseUnobserved(const FlowKey& aFlow, Time aNow)
{
  return !HasMissedFlow(aNow) && mFlows.Find(aFlow) == nullptr;
}

std::optional<HostAges> HostFlows::Ages(Time aNow) const
{
  auto host = mHostStatus.TimeSinceFirstAnnouncement(aNow);
  return host ? std::optional(HostAges{ *host, aNow - mStartedAt })
              : std::nullopt;
}

std::optional<Duration> HostFlows::AgeAfterCommonStart(Time aNow) const
{
  return mHostStatus.TimeSinceRepeatedAnnouncement(aNow);
}

/** An agent that has seen all flows of its host knows the last one between two
 * addresses. A flow that does not match it is not held here: an earlier one, or
 * one that the caller has opened at another host. */
FlowOutcome HostFlows::Lookup(const QueriedFlow& aFlow, Time aNow)
{
  FlowPacket packet;
  packet.mAck = aFlow.mAcknowledged.has_value();
  packet.mAcknowledged = aFlow.mAcknowledged.value_or(0);
  Table::Entry* entry = mFlows.Find(aFlow.mFlow);
  if (entry == nullptr || SaysNothingOf(entry->mValue, packet)) {
    return HasSeenAllFlows(aNow) ? FlowOutcome::NotHeld : FlowOutcome::Unknown;
  }
  if (entry->mValue.mStage == Stage::NotHere) {
    return FlowOutcome::NotHeld;
  }
  if (IsOpenHere(entry->mValue, packet)) {
    return FlowOutcome::Held;
  }
  bool isAnswered = entry->mValue.mStage >= Stage::Answered;
  bool isAbsent =
    IsKnownElsewhere(entry->mValue, packet) || HasSeenAllFlows(aNow);
  return isAnswered && isAbsent ? FlowOutcome::NotHeld : FlowOutcome::Unknown;
}

void HostFlows::Probe(SteeredPacket& aSteered, const FlowKey& aFlow)
{
  CountEvent(HostFlowEvent::Probed);
  LogFlow("probed", { { "flow", aFlow.ToString() } });
  mFormat.Tag(aSteered.mPacket, AddPending(aSteered, aFlow));
  mOutput.ToHost(aSteered.mPacket);
}

std::uint32_t HostFlows::AddPending(const SteeredPacket& aSteered,
                                    const FlowKey& aFlow)
{
  std::uint32_t tag = mNextTag++;
  if (mNextTag == 0) {
    mNextTag = 1;
  }
  Pending& pending = mPending[tag % kMaxPending];
  pending.mTag = tag;
  pending.mFlow = aFlow;
  pending.mSteered = aSteered;
  // The host returns the whole packet, so its bytes need not be stored.
  pending.mSteered.mPacket.clear();
  return tag;
}

void HostFlows::OnHostPacket(ByteView aPacket, Time aNow)
{
  auto packet = mFormat.Parse(aPacket);
  if (!packet) {
    CountEvent(HostFlowEvent::Malformed);
    return;
  }
  mUnansweredSince = Time{};
  if (packet->mReturned) {
    OnReturned(aPacket, *packet, aNow);
    return;
  }
  RecordHostPacket(*packet, aNow);
  mOutput.ToCaller(packet->mDestination, aPacket);
}

/** The host returned the packet to this agent: it does not hold the flow, or
 * has no room for it. The packet's tag identifies the entry of mPending that
 * lists the candidates. The packet is forwarded to the next of them, unchanged
 * but for the tag and the flag of a returned packet, which are cleared.
 * Each candidate is tried once, so the search terminates. */
void HostFlows::OnReturned(ByteView aBytes, const FlowPacket& aPacket,
                           Time aNow)
{
  CountEvent(HostFlowEvent::Bounced);
  FlowKey flow = aPacket.FlowFromCaller();
  LogFlow("bounced", { { "flow", flow.ToString() },
                       { "opens", aPacket.mSyn },
                       { "tag", aPacket.mTag } });
  Table::Entry* entry = mFlows.Find(flow);
  Pending& pending = mPending[aPacket.mTag % kMaxPending];
  bool isPending =
    aPacket.mTag != 0 && pending.mTag == aPacket.mTag && pending.mFlow == flow;
  if (!isPending) {
    // The host restarted and lost a flow that was open there. No other host can
    // hold the flow, so it is reset at once.
    bool isOther = entry != nullptr && !IsOfThisFlow(entry->mValue, aPacket);
    if (isOther) {
      return;
    }
    if (entry != nullptr && entry->mValue.mStage == Stage::Open &&
        !entry->mValue.mFinished && !aPacket.mSyn) {
      CountEvent(HostFlowEvent::FlowLost);
      LogEvent(LogLevel::Warning, "flow_lost",
               { { "flow", flow.ToString() },
                 { "host", mHostStatus.Id() },
                 { "host_heard_ms_ago", MsSinceAnnouncement(aNow) } });
      SendReset(flow, aPacket.mAcknowledged);
      Forget(flow, aNow);
    } else {
      MarkNotHere(flow, aNow);
    }
    return;
  }
  SteeredPacket steered = std::move(pending.mSteered);
  pending = {};
  steered.mPacket.assign(aBytes.begin(), aBytes.end());
  mFormat.Tag(steered.mPacket, 0);
  if (steered.mPurpose == SteerPurpose::Place) {
    if (entry != nullptr && entry->mValue.mStage >= Stage::Answered) {
      // An earlier flow between the same addresses, which the host may hold.
      mWork.End(flow, aNow);
      entry->mValue.mOpenings.Revoke();
    } else {
      Forget(flow, aNow);
    }
    ForwardPlacement(steered, flow, aNow);
    return;
  }
  Forget(flow, aNow);
  if (auto* rejected = mFlows.FindOrInsert(flow, aNow)) {
    rejected->mValue.mStage = Stage::NotHere;
    rejected->mValue.mHostNext = aPacket.mAcknowledged;
  }
  ForwardSearch(steered, flow);
}

/** Whether a packet of the host, with data, is of an earlier flow than the one
 * whose opening the host answered last. */
bool HostFlows::IsOfEarlierFlow(const Flow& aFlow,
                                const FlowPacket& aPacket) const
{
  return mOptions.mGuards.mCheckOpenAcknowledgement &&
         aFlow.mHostSequenceKnown && aFlow.mHostNext &&
         aPacket.mDataLength > 0 &&
         !IsNear(aPacket.mSequence, *aFlow.mHostNext);
}

void HostFlows::RecordHostPacket(const FlowPacket& aPacket, Time aNow)
{
  FlowKey key = aPacket.FlowFromHost();
  Table::Entry* entry = mFlows.FindOrInsert(key, aNow);
  if (entry == nullptr) {
    CountEvent(HostFlowEvent::TableFull);
    mMissedFlowAt = aNow;
    return;
  }
  Flow& flow = entry->mValue;
  if (aPacket.mSyn) {
    auto opening = mWork.End(key, aNow);
    if (opening.mLasted > Duration::zero()) {
      mOutput.RecordDuration(HostTiming::Opening, opening.mLasted);
    }
    if (flow.mHostSequenceKnown && flow.mHostSequence != aPacket.mSequence) {
      // The caller reused its port for a new flow.
      mScheduler.Take(key);
      Flow next;
      next.mNotifiedBalancer = flow.mNotifiedBalancer;
      next.mOpenings = flow.mOpenings;
      next.mOpeningAt = flow.mOpeningAt;
      flow = next;
    }
    flow.mStage = std::max(flow.mStage, Stage::Answered);
    flow.mHostSequence = aPacket.mSequence;
    flow.mHostSequenceKnown = true;
    flow.mHostNext = aPacket.mSequence + 1;
    flow.mHostIncarnation = mHostIncarnations;
    mWork.Begin(key, aNow, aNow + kOpenTimeout, WorkKind::Opening);
    if (!flow.mNotifiedBalancer.IsNone()) {
      mOutput.Report(flow.mNotifiedBalancer,
                     { key, mOptions.mHost, PlacementOutcome::Placed });
    }
    return;
  }
  if (IsOfEarlierFlow(flow, aPacket)) {
    CountEvent(HostFlowEvent::OtherFlow);
    return;
  }
  flow.mStage = Stage::Open;
  if (aPacket.mDataLength > 0) {
    std::uint32_t end = aPacket.mSequence + aPacket.mDataLength;
    // A retransmission does not set it back.
    bool isOlder = flow.mHostNext && *flow.mHostNext - end <= kMaxWindowBytes;
    flow.mHostNext = isOlder ? *flow.mHostNext : end;
  }
  flow.mFinished = flow.mFinished || aPacket.mFin || aPacket.mReset;
  if (aPacket.mDataLength > 0 || aPacket.mFin || aPacket.mReset) {
    OnHostData(*entry, aPacket, aNow);
  }
}

} // namespace heatherplank
