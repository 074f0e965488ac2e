#include "src/passthrough/HostFlows.h"

#include <algorithm>
#include <utility>

#include "src/base/Log.h"

namespace heatherplank {

namespace {

/** A host answers an opening packet within a millisecond or so; a scheduler
 * that gives an agent its share once in 100 ms may hold the answer back that
 * long. */
constexpr auto kAnswerWithin = std::chrono::milliseconds(120);
/** A host that seems down is tried with one flow this often. */
constexpr auto kTryEvery = std::chrono::milliseconds(250);
/** Flows that are being opened count as work for as long as a caller takes to
 * send its request: a round trip, some 10 ms, and what slow balancers add. Of
 * those that were offered to two hosts one never opens. Counted for 300 ms each
 * they filled the slots of idle hosts, whose refusals brought more copies. */
constexpr auto kOpenWithin = std::chrono::milliseconds(50);
/** Longest time that a request counts as being worked on. */
constexpr auto kWorkAtMost = std::chrono::seconds(8);
/** Bytes that may be under way to a caller: 16 packets of 1,200 bytes, and
 * four times that, since acknowledgements may be late. */
constexpr std::uint32_t kLargestWindow = 76800;
/** A host's first announcement comes within a heartbeat of its start. */
constexpr auto kStartSeenWithin = std::chrono::milliseconds(1500);

std::int64_t Micros(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aSpan).count();
}

} // namespace

std::string_view ToString(HostFlowEvent aEvent)
{
  switch (aEvent) {
    case HostFlowEvent::Placed:
      return "placed";
    case HostFlowEvent::PassedOn:
      return "passed_on";
    case HostFlowEvent::SentToBest:
      return "sent_to_best";
    case HostFlowEvent::Refused:
      return "refused";
    case HostFlowEvent::RefusedOtherService:
      return "refused_other_service";
    case HostFlowEvent::Delivered:
      return "delivered";
    case HostFlowEvent::Searched:
      return "searched";
    case HostFlowEvent::Probed:
      return "probed";
    case HostFlowEvent::Bounced:
      return "bounced";
    case HostFlowEvent::FlowLost:
      return "flow_lost";
    case HostFlowEvent::SearchEnded:
      return "search_ended";
    case HostFlowEvent::NotHere:
      return "not_here";
    case HostFlowEvent::TableFull:
      return "table_full";
    case HostFlowEvent::Malformed:
      return "malformed";
    case HostFlowEvent::Answered:
      return "answered";
  }
  return "unknown";
}

HostFlows::HostFlows(const Options& aOptions, const PacketFormat& aFormat,
                     HostFlowsOutput& aOutput, Time aNow)
  : mOptions(aOptions)
  , mFormat(aFormat)
  , mOutput(aOutput)
  , mAdmission(aOptions.mAdmission)
  , mStartedAt(aNow)
  , mLife(aOptions.mSilentAfter)
  , mFlows(aOptions.mMaxFlows)
{
}

HostCondition HostFlows::Condition(Time aNow) const
{
  HostCondition out;
  bool unheard = !mOptions.mGuards.mHearFirst && !mLife.IsHeard(aNow);
  out.mTakesNewFlows = !mLeaving && (unheard || mLife.TakesNewFlows(aNow));
  bool unanswered =
    mUnansweredSince != Time{} && aNow - mUnansweredSince > kAnswerWithin;
  out.mSeemsDown = unanswered && aNow - mTriedAt < kTryEvery;
  out.mIsCold = mLife.IsCold(aNow);
  out.mSlots = mLife.Slots();
  out.mInProgress = mWork.Size();
  out.mServiceTime = mServiceTime.Get();
  return out;
}

void HostFlows::OnSteered(SteeredPacket aSteered, Time aNow)
{
  auto packet = mFormat.Parse(aSteered.mPacket);
  if (!packet || packet->mBounced) {
    Add(HostFlowEvent::Malformed);
    return;
  }
  // Failure met: a host's address was given to a host of another service while
  // a balancer still holds the old member. The packet would reach a service
  // that its route never named.
  if (mOptions.mGuards.mCheckService &&
      aSteered.mService != mOptions.mService) {
    Add(HostFlowEvent::RefusedOtherService);
    return;
  }
  if (aSteered.mPurpose == SteerPurpose::Place) {
    Place(aSteered, *packet, aNow);
    return;
  }
  Continue(aSteered, *packet, aNow);
}

void HostFlows::Place(SteeredPacket& aSteered, const FlowPacket& aPacket,
                      Time aNow)
{
  FlowKey flow = aPacket.FlowFromCaller();
  if (auto* entry = mFlows.Find(flow)) {
    PlaceKnown(aSteered, aPacket, *entry, aNow);
    return;
  }
  FlowOffer offer;
  offer.mImportance = aSteered.mImportance;
  offer.mLatencyTarget = aSteered.mLatencyTarget;
  offer.mHasMore = !aSteered.mCandidates.empty();
  offer.mHasBest = !aSteered.mBest.IsNone();
  offer.mBestWait = aSteered.mBestWait;
  offer.mMustTake = aSteered.mMustTake;
  switch (mAdmission.Decide(Condition(aNow), offer)) {
    case FlowDecision::Take:
      Take(aSteered, aPacket, aNow);
      return;
    case FlowDecision::PassOn:
      PassPlacementOn(aSteered, flow, aNow);
      return;
    case FlowDecision::ToBest: {
      Add(HostFlowEvent::SentToBest);
      LogFlow("sent_to_best", { { "flow", flow.ToString() },
                                { "to", aSteered.mBest.ToString() } });
      aSteered.mMustTake = true;
      Address best = std::exchange(aSteered.mBest, Address{});
      mOutput.Steer(best, aSteered);
      return;
    }
    case FlowDecision::Refuse:
      Refuse(aSteered, flow, aNow);
      return;
  }
}

/** A copy of an opening packet. A host that answered gets it again, since its
 * answer may have been lost. One that did not may have lost the packet; it gets
 * the copy only while it takes new flows, since for it the copy opens one. */
void HostFlows::PlaceKnown(SteeredPacket& aSteered, const FlowPacket& aPacket,
                           Table::Entry& aEntry, Time aNow)
{
  mFlows.Touch(aEntry, aNow);
  if (aEntry.mValue.mStage != Stage::Offered) {
    aEntry.mValue.mTold = Address{};
    Tell(aEntry, aSteered.mIngress);
    mFormat.Tag(aSteered.mPacket, 0);
    mOutput.ToHost(aSteered.mPacket);
    return;
  }
  HostCondition host = Condition(aNow);
  if (host.mTakesNewFlows && !host.mSeemsDown) {
    Take(aSteered, aPacket, aNow);
    return;
  }
  Forget(aEntry.mFlow, aNow);
  PassPlacementOn(aSteered, aPacket.FlowFromCaller(), aNow);
}

void HostFlows::Take(SteeredPacket& aSteered, const FlowPacket& aPacket,
                     Time aNow)
{
  FlowKey flow = aPacket.FlowFromCaller();
  Table::Entry* entry = mFlows.Put(flow, aNow);
  if (entry == nullptr) {
    Add(HostFlowEvent::TableFull);
    Refuse(aSteered, flow, aNow);
    return;
  }
  Add(HostFlowEvent::Placed);
  LogFlow("placed", { { "flow", flow.ToString() },
                      { "in_progress", mWork.Size() },
                      { "slots", mLife.Slots() },
                      { "host_heard_ms_ago", HeardAgo(aNow) } });
  entry->mValue.mTold = aSteered.mIngress;
  mWork.Begin(flow, aNow, aNow + kOpenWithin);
  if (mUnansweredSince == Time{}) {
    mUnansweredSince = aNow;
  }
  mTriedAt = aNow;
  mFormat.Tag(aSteered.mPacket, Remember(aSteered, flow));
  mOutput.ToHost(aSteered.mPacket);
}

void HostFlows::PassPlacementOn(SteeredPacket& aSteered, const FlowKey& aFlow,
                                Time aNow)
{
  if (aSteered.mCandidates.empty()) {
    Refuse(aSteered, aFlow, aNow);
    return;
  }
  HostCondition host = Condition(aNow);
  if (host.mTakesNewFlows && !host.mSeemsDown) {
    Duration wait = FlowAdmission::WaitAt(host);
    if (aSteered.mBest.IsNone() || wait < aSteered.mBestWait) {
      aSteered.mBest = mOptions.mSelf;
      aSteered.mBestWait = wait;
    }
  }
  Add(HostFlowEvent::PassedOn);
  Address next = aSteered.mCandidates.front();
  LogFlow("passed_on", { { "flow", aFlow.ToString() },
                         { "to", next.ToString() },
                         { "in_progress", host.mInProgress },
                         { "takes_new", host.mTakesNewFlows },
                         { "seems_down", host.mSeemsDown },
                         { "host_heard_ms_ago", HeardAgo(aNow) } });
  aSteered.mCandidates.erase(aSteered.mCandidates.begin());
  mOutput.Steer(next, aSteered);
}

void HostFlows::Refuse(const SteeredPacket& aSteered, const FlowKey& aFlow,
                       Time aNow)
{
  Add(HostFlowEvent::Refused);
  HostCondition host = Condition(aNow);
  LogEvent(LogLevel::Info, "refused",
           { { "flow", aFlow.ToString() },
             { "in_progress", host.mInProgress },
             { "wait_us", Micros(FlowAdmission::WaitAt(host)) },
             { "target_us", Micros(aSteered.mLatencyTarget) },
             { "takes_new", host.mTakesNewFlows },
             { "seems_down", host.mSeemsDown },
             { "host_heard_ms_ago", HeardAgo(aNow) } });
  mOutput.Report(aSteered.mIngress,
                 { aFlow, mOptions.mHost, PlacementOutcome::Refused });
}

std::int64_t HostFlows::HeardAgo(Time aNow) const
{
  return mLife.HeardAt() == Time{} ? -1 : Micros(aNow - mLife.HeardAt()) / 1000;
}

void HostFlows::Reset(const FlowKey& aFlow, std::uint32_t aSequence)
{
  mOutput.ToCaller(aFlow.mCaller, mFormat.MakeReset(aFlow, aSequence));
}

/** Whether the caller's packet belongs to a flow that was opened at this host.
 * Two hosts may have answered copies of one opening packet; the caller's
 * acknowledgement names the one that it chose. */
bool HostFlows::IsOpenHere(Flow& aFlow, const FlowPacket& aPacket) const
{
  if (aFlow.mStage == Stage::Open || !aFlow.mHostSequenceKnown) {
    return aFlow.mStage != Stage::Offered;
  }
  if (!aPacket.mAck || !mOptions.mGuards.mMatchAcknowledged) {
    return true;
  }
  std::uint32_t ahead = aPacket.mAcknowledged - aFlow.mHostSequence;
  return ahead <= kLargestWindow;
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
  if (entry != nullptr) {
    // The caller opened the flow at another host that had answered too.
    Forget(flow, aNow);
  } else if (MayHoldUnknown(aNow)) {
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
  if (aPacket.mDataLength > 0) {
    mWork.Begin(aEntry.mFlow, aNow, aNow + kWorkAtMost);
  }
  if (aPacket.mReset) {
    mWork.End(aEntry.mFlow, aNow);
    flow.mFinished = true;
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
    LogEvent(LogLevel::Warning, "search_ended",
             { { "flow", aFlow.ToString() } });
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
  } else {
    PassSearchOn(steered, flow);
  }
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
    flow.mStage = std::max(flow.mStage, Stage::Answered);
    flow.mHostSequence = aPacket.mSequence;
    flow.mHostSequenceKnown = true;
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

void HostFlows::Forget(const FlowKey& aFlow, Time aNow)
{
  mWork.End(aFlow, aNow);
  if (auto* entry = mFlows.Find(aFlow)) {
    mFlows.Erase(*entry);
  }
}

AnnouncementEffect HostFlows::OnAnnouncement(const HostAnnouncement& aIt,
                                             Time aNow)
{
  AnnouncementEffect effect = mLife.OnAnnouncement(aIt, aNow);
  if (effect == AnnouncementEffect::NewLife) {
    mWork.DropOlderThan(aNow - kStartSeenWithin);
    mServiceTime.Reset();
  }
  return effect;
}

void HostFlows::OnTick(Time aNow)
{
  mWork.Expire(aNow);
  Time before = aNow - mOptions.mFlowsLastFor;
  mFlows.Expire(before, aNow, [](const Table::Entry&) { return true; });
}

} // namespace heatherplank
