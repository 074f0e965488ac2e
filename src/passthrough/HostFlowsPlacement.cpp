// Opening packets: new flows, copies, and where they go on to.
#include <algorithm>
#include <utility>

#include "src/base/Log.h"
#include "src/passthrough/HostFlows.h"

namespace heatherplank {

namespace {

std::int64_t Micros(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aSpan).count();
}

} // namespace

void HostFlows::Place(SteeredPacket& aSteered, const FlowPacket& aPacket,
                      Time aNow)
{
  FlowKey flow = aPacket.FlowFromCaller();
  auto* entry = mFlows.Find(flow);
  bool mayHoldAnother = false;
  if (entry != nullptr) {
    switch (Classify(entry->mValue, aPacket, aNow)) {
      case OpeningKind::LateCopy:
        DropLateCopy(aSteered, *entry, aNow);
        return;
      case OpeningKind::Copy:
        HandleRepeatedOpening(aSteered, aPacket, *entry, aNow);
        return;
      case OpeningKind::MaybeCopy:
        if (ConditionFor(aSteered, aNow).mTakesNewFlows) {
          RecordOpening(entry->mValue, aPacket, aNow);
          HandleRepeatedOpening(aSteered, aPacket, *entry, aNow);
          return;
        }
        break;
      case OpeningKind::OtherFlow:
        mayHoldAnother =
          entry->mValue.mStage == Stage::Open && !entry->mValue.mFinished;
        break;
    }
  }
  // Guards against: the packet is a late copy of an opening that another agent
  // has seen, and the host drops the open flow between these addresses for it.
  if (mayHoldAnother && !aSteered.mCandidates.empty()) {
    ForwardPlacement(aSteered, flow, aNow);
    return;
  }
  FlowOffer offer;
  offer.mImportance = aSteered.mImportance;
  offer.mLatencyTarget = aSteered.mLatencyTarget;
  offer.mHasMoreCandidates = !aSteered.mCandidates.empty();
  offer.mHasBest = !aSteered.mBest.IsNone();
  offer.mBestWait = aSteered.mBestWait;
  offer.mIsLastOffer = aSteered.mIsLastOffer;
  offer.mWillRetransmit =
    aPacket.mRetransmissions > 0 && aPacket.mWillRetransmit;
  switch (mAdmission.Decide(ConditionFor(aSteered, aNow), offer)) {
    case FlowDecision::Admit:
      Admit(aSteered, aPacket, aNow);
      return;
    case FlowDecision::Forward:
      ForwardPlacement(aSteered, flow, aNow);
      return;
    case FlowDecision::ForwardToBest: {
      CountEvent(HostFlowEvent::SentToBest);
      LogFlow("sent_to_best", { { "flow", flow.ToString() },
                                { "to", aSteered.mBest.ToString() } });
      aSteered.mIsLastOffer = true;
      Address best = std::exchange(aSteered.mBest, Address{});
      mOutput.Steer(best, aSteered);
      return;
    }
    case FlowDecision::Refuse:
      Refuse(aSteered, flow, aNow);
      return;
  }
}

/** Guards against: a caller uses its port again, and its new flow is taken for
 * the earlier one between the same addresses. It would reach a host that takes
 * no new flows, or more of them than a cold host bears. Only the caller decides
 * that it opens a flow anew, so an earlier one need not be known to have ended.
 */
HostFlows::OpeningKind HostFlows::Classify(const Flow& aFlow,
                                           const FlowPacket& aOpening,
                                           Time aNow) const
{
  if (!mOptions.mGuards.mCheckOpening) {
    return aFlow.mStage == Stage::NotHere ? OpeningKind::OtherFlow
                                          : OpeningKind::Copy;
  }
  const OpeningHistory& openings = aFlow.mOpenings;
  bool hasEnded = aFlow.mFinished || aFlow.mStage == Stage::NotHere;
  if (openings.IsEarlier(aOpening.mSequence)) {
    return OpeningKind::LateCopy;
  }
  if (!openings.Present()) {
    return hasEnded ? OpeningKind::OtherFlow : OpeningKind::MaybeCopy;
  }
  if (openings.Present() != aOpening.mSequence) {
    return OpeningKind::OtherFlow;
  }
  if (!hasEnded) {
    return OpeningKind::Copy;
  }
  bool isLate = aNow - aFlow.mOpeningAt < kMaxCopyDelay;
  return isLate ? OpeningKind::LateCopy : OpeningKind::OtherFlow;
}

void HostFlows::RecordOpening(Flow& aFlow, const FlowPacket& aOpening,
                              Time aNow)
{
  if (aFlow.mFinished && !aFlow.mHostSequenceKnown) {
    // The host's answer would not show that it is of another flow.
    OpeningHistory openings = aFlow.mOpenings;
    aFlow = {};
    aFlow.mOpenings = openings;
  }
  if (aFlow.mOpenings.Present() != aOpening.mSequence) {
    aFlow.mOpenings.Begin(aOpening.mSequence);
    aFlow.mOpeningAt = aNow;
  }
}

/** Tells the balancer that the flow was placed here, so that it offers the copy
 * to no other host: that one would open it a second time. */
void HostFlows::DropLateCopy(const SteeredPacket& aSteered,
                             Table::Entry& aEntry, Time aNow)
{
  CountEvent(HostFlowEvent::LateOpening);
  mFlows.Touch(aEntry, aNow);
  aEntry.mValue.mNotifiedBalancer = Address{};
  ReportLocation(aEntry, aSteered.mIngress);
}

/** Handles a repeated opening packet. A host that replied receives it again,
 * since the reply may have been lost. A host that did not reply may have lost
 * the packet, so the repeat would open a new flow there: the host receives it
 * only while it takes new flows.
 *
 * Guards against: a host replies to the first opening packet, crashes, restarts
 * and announces that it is draining; the repeat then opens a flow at the
 * draining incarnation. A reply of an earlier incarnation is therefore ignored
 * while the host takes no new flows. */
void HostFlows::HandleRepeatedOpening(SteeredPacket& aSteered,
                                      const FlowPacket& aPacket,
                                      Table::Entry& aEntry, Time aNow)
{
  mFlows.Touch(aEntry, aNow);
  HostCondition host = ConditionFor(aSteered, aNow);
  bool isCurrentIncarnation =
    aEntry.mValue.mHostIncarnation == mHostIncarnations;
  if (aEntry.mValue.mStage != Stage::Offered &&
      (host.mTakesNewFlows || isCurrentIncarnation)) {
    aEntry.mValue.mNotifiedBalancer = Address{};
    ReportLocation(aEntry, aSteered.mIngress);
    mFormat.Tag(aSteered.mPacket, 0);
    mOutput.ToHost(aSteered.mPacket);
    return;
  }
  if (host.mTakesNewFlows && !host.mSeemsDown) {
    Admit(aSteered, aPacket, aNow);
    return;
  }
  Forget(aEntry.mFlow, aNow);
  ForwardPlacement(aSteered, aPacket.FlowFromCaller(), aNow);
}

void HostFlows::Admit(SteeredPacket& aSteered, const FlowPacket& aPacket,
                      Time aNow)
{
  FlowKey flow = aPacket.FlowFromCaller();
  Table::Entry* entry = mFlows.FindOrInsert(flow, aNow);
  if (entry == nullptr) {
    CountEvent(HostFlowEvent::TableFull);
    Refuse(aSteered, flow, aNow);
    return;
  }
  RecordOpening(entry->mValue, aPacket, aNow);
  entry->mValue.mStage = std::max(entry->mValue.mStage, Stage::Offered);
  CountEvent(HostFlowEvent::Placed);
  LogFlow("placed", { { "flow", flow.ToString() },
                      { "in_progress", mWork.Size() },
                      { "slots", mHostStatus.Slots() },
                      { "host_heard_ms_ago", MsSinceAnnouncement(aNow) } });
  entry->mValue.mNotifiedBalancer = aSteered.mIngress;
  mColdRate.OnAdmitted(aNow);
  mWork.Begin(flow, aNow, aNow + kOpenTimeout, WorkKind::Opening);
  if (mUnansweredSince == Time{}) {
    mUnansweredSince = aNow;
  }
  mLastAdmittedAt = aNow;
  mFormat.Tag(aSteered.mPacket, AddPending(aSteered, flow));
  mOutput.ToHost(aSteered.mPacket);
}

void HostFlows::ForwardPlacement(SteeredPacket& aSteered, const FlowKey& aFlow,
                                 Time aNow)
{
  if (aSteered.mCandidates.empty()) {
    Refuse(aSteered, aFlow, aNow);
    return;
  }
  HostCondition host = ConditionFor(aSteered, aNow);
  if (host.mTakesNewFlows && !host.mSeemsDown) {
    Duration wait = FlowAdmission::WaitAt(host);
    if (aSteered.mBest.IsNone() || wait < aSteered.mBestWait) {
      aSteered.mBest = mOptions.mSelf;
      aSteered.mBestWait = wait;
    }
  }
  CountEvent(HostFlowEvent::PassedOn);
  Address next = aSteered.mCandidates.front();
  LogFlow("passed_on", { { "flow", aFlow.ToString() },
                         { "to", next.ToString() },
                         { "in_progress", host.mInProgress },
                         { "takes_new", host.mTakesNewFlows },
                         { "seems_down", host.mSeemsDown },
                         { "host_heard_ms_ago", MsSinceAnnouncement(aNow) } });
  aSteered.mCandidates.erase(aSteered.mCandidates.begin());
  mOutput.Steer(next, aSteered);
}

void HostFlows::Refuse(const SteeredPacket& aSteered, const FlowKey& aFlow,
                       Time aNow)
{
  CountEvent(HostFlowEvent::Refused);
  HostCondition host = ConditionFor(aSteered, aNow);
  LogEvent(LogLevel::Info, "refused",
           { { "flow", aFlow.ToString() },
             { "in_progress", host.mInProgress },
             { "wait_us", Micros(FlowAdmission::WaitAt(host)) },
             { "target_us", Micros(aSteered.mLatencyTarget) },
             { "takes_new", host.mTakesNewFlows },
             { "seems_down", host.mSeemsDown },
             { "host_heard_ms_ago", MsSinceAnnouncement(aNow) } });
  mOutput.Report(aSteered.mIngress,
                 { aFlow, mOptions.mHost, PlacementOutcome::Refused });
}

std::int64_t HostFlows::MsSinceAnnouncement(Time aNow) const
{
  return mHostStatus.LastAnnouncementAt() == Time{}
           ? -1
           : Micros(aNow - mHostStatus.LastAnnouncementAt()) / 1000;
}

} // namespace heatherplank
