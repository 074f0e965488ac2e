#include "src/passthrough/HostFlows.h"

#include <algorithm>
#include <utility>

#include "src/base/Log.h"

namespace heatherplank {

namespace {

/** A host replies to an opening packet within about 1 ms, but a scheduler that
 * runs the agent only once in 100 ms can delay the reply by that much. */
constexpr auto kAnswerTimeout = std::chrono::milliseconds(120);
/** A host that seems down is offered one flow per interval. */
constexpr auto kRetryInterval = std::chrono::milliseconds(250);
/** A host sends its first announcement within one announcement interval of its
 * start. */
constexpr auto kMaxFirstAnnouncementDelay = std::chrono::milliseconds(1500);

} // namespace

std::string_view ToString(HostFlowEvent aEvent)
{
  switch (aEvent) {
    case HostFlowEvent::Placed:
      return "placed";
    case HostFlowEvent::LateOpening:
      return "late_opening";
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
    case HostFlowEvent::OtherFlow:
      return "other_flow";
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
    case HostFlowEvent::Queried:
      return "queried";
    case HostFlowEvent::QueriedUnknown:
      return "queried_unknown";
    case HostFlowEvent::RequestHeld:
      return "request_held";
    case HostFlowEvent::RequestInTurn:
      return "request_in_turn";
    case HostFlowEvent::RequestOverdue:
      return "request_overdue";
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
  , mHostStatus({ aOptions.mAnnouncementInterval, aOptions.mAnnouncementTimeout,
                  aOptions.mStatusGuards },
                aNow)
  , mColdRate(aNow)
  , mFlows(aOptions.mMaxFlows)
  , mScheduler(aOptions.mSeed)
{
}

HostCondition HostFlows::Condition(Time aNow) const
{
  HostCondition out;
  bool acceptsUnannounced =
    !mOptions.mGuards.mRequireAnnouncement && !mHostStatus.IsResponsive(aNow);
  out.mTakesNewFlows = !mLeaving && !mDrain.IsDrained(aNow) &&
                       (acceptsUnannounced || mHostStatus.TakesNewFlows(aNow));
  bool unanswered =
    mUnansweredSince != Time{} && aNow - mUnansweredSince > kAnswerTimeout;
  out.mSeemsDown = unanswered && aNow - mLastAdmittedAt < kRetryInterval;
  out.mIsCold = mHostStatus.IsCold(aNow);
  out.mSlots = mHostStatus.Slots();
  out.mInProgress = mWork.Size() + mScheduler.Size();
  out.mServiceTime = mServiceTime.Get();
  return out;
}

/** Guards against: hosts turn cold while their data centre is drained and
 * report it only with their next announcement. When the drain ends, they would
 * receive the load of warm hosts, so a host counts as possibly cold until it
 * has sent an announcement after the drain. */
bool HostFlows::MayBeCold(Time aNow) const
{
  bool wasDrained = mDrain.ExpiresAt() != Time{};
  return mHostStatus.IsCold(aNow) ||
         (wasDrained && mHostStatus.LastAnnouncementAt() < mDrain.ExpiresAt());
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
             { { "version", aNotice.mVersion.ToString() },
               { "flows", mFlows.Size() } });
    DeliverAllHeld(aNow);
  }
}

void HostFlows::OnSteered(SteeredPacket aSteered, Time aNow)
{
  auto packet = mFormat.Parse(aSteered.mPacket);
  if (!packet || packet->mReturned) {
    CountEvent(HostFlowEvent::Malformed);
    return;
  }
  // Guards against: a host's address was reassigned to a host of another
  // service while a balancer still has the old member. Without this check the
  // packet would reach a service that its route does not name.
  if (mOptions.mGuards.mCheckService &&
      aSteered.mService != mOptions.mService) {
    CountEvent(HostFlowEvent::RefusedOtherService);
    return;
  }
  if (aSteered.mPurpose == SteerPurpose::Place) {
    mDrain.OnOffer(aSteered.mDrainsVersion, aNow);
    mServiceTime.SetInitialEstimate(aSteered.mLatencyTarget, MayBeCold(aNow));
    Place(aSteered, *packet, aNow);
    return;
  }
  if (aSteered.mPurpose == SteerPurpose::FanOut) {
    FanOut(aSteered, *packet);
  }
  DeliverOrForward(aSteered, *packet, aNow);
}
void HostFlows::SendReset(const FlowKey& aFlow, std::uint32_t aSequence)
{
  mOutput.ToCaller(aFlow.mCaller, mFormat.MakeReset(aFlow, aSequence));
}

void HostFlows::Forget(const FlowKey& aFlow, Time aNow)
{
  mWork.End(aFlow, aNow);
  mScheduler.Take(aFlow);
  if (auto* entry = mFlows.Find(aFlow)) {
    mFlows.Erase(*entry);
  }
}

/** The host does not hold the flow any more. What is known of its opening
 * packet is kept: a late copy must not open it again. */
void HostFlows::MarkNotHere(const FlowKey& aFlow, Time aNow)
{
  mWork.End(aFlow, aNow);
  mScheduler.Take(aFlow);
  if (auto* entry = mFlows.Find(aFlow)) {
    Flow flow;
    flow.mStage = Stage::NotHere;
    flow.mOpenings = entry->mValue.mOpenings;
    flow.mOpeningAt = entry->mValue.mOpeningAt;
    entry->mValue = flow;
  }
}

AnnouncementEffect HostFlows::OnAnnouncement(
  const HostAnnouncement& aAnnouncement, Time aNow)
{
  AnnouncementEffect effect = mHostStatus.OnAnnouncement(aAnnouncement, aNow);
  if (effect == AnnouncementEffect::NewIncarnation) {
    ++mHostIncarnations;
    mWork.DropOlderThan(aNow - kMaxFirstAnnouncementDelay);
    mServiceTime.Reset();
  }
  if (!HoldsRequests(aNow)) {
    DeliverAllHeld(aNow);
  }
  return effect;
}

void HostFlows::OnTick(Time aNow)
{
  mWork.Expire(aNow);
  DeliverHeld(RequestScheduler::HostEvent::None, aNow);
  Time before = aNow - mOptions.mFlowRetention;
  mFlows.Expire(before, aNow, [](const Table::Entry&) { return true; });
}

} // namespace heatherplank
