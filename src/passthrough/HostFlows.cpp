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
  , mColdRate(aNow)
  , mFlows(aOptions.mMaxFlows)
{
}

HostCondition HostFlows::Condition(Time aNow) const
{
  HostCondition out;
  bool unheard = !mOptions.mGuards.mHearFirst && !mLife.IsHeard(aNow);
  out.mTakesNewFlows = !mLeaving && !mDrain.IsDrained(aNow) &&
                       (unheard || mLife.TakesNewFlows(aNow));
  bool unanswered =
    mUnansweredSince != Time{} && aNow - mUnansweredSince > kAnswerWithin;
  out.mSeemsDown = unanswered && aNow - mTriedAt < kTryEvery;
  out.mIsCold = mLife.IsCold(aNow);
  out.mSlots = mLife.Slots();
  out.mInProgress = mWork.Size();
  out.mServiceTime = mServiceTime.Get();
  return out;
}

/** Failure met: hosts turn cold while their data centre is drained, and say so
 * only with their next announcement; taken back, they would be given what warm
 * hosts bear. */
bool HostFlows::MayBeCold(Time aNow) const
{
  bool wasDrained = mDrain.Until() != Time{};
  return mLife.IsCold(aNow) || (wasDrained && mLife.HeardAt() < mDrain.Until());
}

HostCondition HostFlows::ConditionFor(const SteeredPacket& aSteered,
                                      Time aNow) const
{
  HostCondition out = Condition(aNow);
  if (MayBeCold(aNow) &&
      !mColdRate.Allows(aSteered.mColdRate, aSteered.mImportance, aNow)) {
    out.mTakesNewFlows = false;
  }
  return out;
}

void HostFlows::OnDrainNotice(const DrainNotice& aNotice, Time aNow)
{
  bool was = IsDrained(aNow);
  mDrain.OnNotice(aNotice.mVersion, aNow);
  if (!was && IsDrained(aNow)) {
    LogEvent(LogLevel::Info, "drained",
             { { "version", aNotice.mVersion }, { "flows", mFlows.Size() } });
  }
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
    mDrain.OnOffer(aSteered.mDrainsVersion, aNow);
    mServiceTime.Expect(aSteered.mLatencyTarget, MayBeCold(aNow));
    Place(aSteered, *packet, aNow);
    return;
  }
  if (aSteered.mPurpose == SteerPurpose::FanOut) {
    FanOut(aSteered, *packet);
  }
  Continue(aSteered, *packet, aNow);
}

void HostFlows::Place(SteeredPacket& aSteered, const FlowPacket& aPacket,
                      Time aNow)
{
  FlowKey flow = aPacket.FlowFromCaller();
  auto* entry = mFlows.Find(flow);
  if (entry != nullptr && entry->mValue.mStage != Stage::NotHere) {
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
  offer.mReturnsLater = aPacket.mRepeats > 0 && aPacket.mRepeatsAgain;
  switch (mAdmission.Decide(ConditionFor(aSteered, aNow), offer)) {
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
 * the copy only while it takes new flows, since for it the copy opens one.
 *
 * Failure met: a host answers the first copy, crashes, starts anew and says
 * that it leaves; the next copy opens a flow at the new life, which leaves.
 * Shown by a flow that a leaving host took seconds after it said so. What a
 * former life answered counts for nothing at a host that takes no new flows. */
void HostFlows::PlaceKnown(SteeredPacket& aSteered, const FlowPacket& aPacket,
                           Table::Entry& aEntry, Time aNow)
{
  mFlows.Touch(aEntry, aNow);
  HostCondition host = ConditionFor(aSteered, aNow);
  bool isOfThisLife = aEntry.mValue.mHostLife == mHostLives;
  if (aEntry.mValue.mStage != Stage::Offered &&
      (host.mTakesNewFlows || isOfThisLife)) {
    aEntry.mValue.mTold = Address{};
    Tell(aEntry, aSteered.mIngress);
    mFormat.Tag(aSteered.mPacket, 0);
    mOutput.ToHost(aSteered.mPacket);
    return;
  }
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
  entry->mValue.mStage = std::max(entry->mValue.mStage, Stage::Offered);
  Add(HostFlowEvent::Placed);
  LogFlow("placed", { { "flow", flow.ToString() },
                      { "in_progress", mWork.Size() },
                      { "slots", mLife.Slots() },
                      { "host_heard_ms_ago", HeardAgo(aNow) } });
  entry->mValue.mTold = aSteered.mIngress;
  mColdRate.OnTaken(aNow);
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
  HostCondition host = ConditionFor(aSteered, aNow);
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
  HostCondition host = ConditionFor(aSteered, aNow);
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
    ++mHostLives;
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
