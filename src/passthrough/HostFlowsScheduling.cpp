// Requests on open flows: when one begins and ends, and the requests that wait
// for a slot of the host.
#include <utility>

#include "src/base/Log.h"
#include "src/passthrough/HostFlows.h"

namespace heatherplank {

namespace {

/** How long an unanswered request counts as in progress. */
constexpr auto kRequestTimeout = std::chrono::seconds(8);

using HostEvent = RequestScheduler::HostEvent;

} // namespace

/** Delivers a packet of an open flow to the host. */
void HostFlows::DeliverNow(RequestScheduler::Packet& aPacket,
                           Table::Entry& aEntry, Time aNow)
{
  Flow& flow = aEntry.mValue;
  if (aPacket.mHasNewBytes && !flow.mFinished) {
    mWork.Begin(aEntry.mFlow, aNow, aNow + kRequestTimeout);
    flow.mRequest = RequestState::InProgress;
  }
  if (aPacket.mHeader.mReset) {
    mWork.End(aEntry.mFlow, aNow);
    flow.mFinished = true;
  }
  CountEvent(HostFlowEvent::Delivered);
  mFormat.Tag(aPacket.mSteered.mPacket, 0);
  mOutput.ToHost(aPacket.mSteered.mPacket);
}

/** Whether the packet begins a request that the host gets later. Only flows
 * that this agent has seen from their opening are concerned: of others it does
 * not know whether a request is in progress. */
bool HostFlows::MustWait(const RequestScheduler::Packet& aPacket,
                         const Flow& aFlow, Time aNow)
{
  bool begins = aPacket.mHasNewBytes && !aFlow.mFinished &&
                aFlow.mHostSequenceKnown &&
                aFlow.mRequest == RequestState::Answered;
  return begins && HoldsRequests(aNow) &&
         mScheduler.MustWait(LoadWithoutHeld(), aPacket.mSteered.mLatencyTarget,
                             aNow);
}

bool HostFlows::HoldsRequests(Time aNow) const
{
  return mOptions.mScheduleRequests && !mLeaving && !mDrain.IsDrained(aNow) &&
         mHostStatus.Phase() == HostPhase::Ready;
}

/** Holds the packet if it begins a request that has to wait, or follows held
 * packets of its flow. Returns false if it is to be delivered now; aPacket is
 * unchanged then. */
bool HostFlows::Hold(RequestScheduler::Packet& aPacket, const Flow& aFlow,
                     Time aNow)
{
  FlowKey flow = aPacket.mHeader.FlowFromCaller();
  if (aPacket.mHeader.mReset) {
    mScheduler.Take(flow);
    return false;
  }
  bool follows = mScheduler.Holds(flow);
  if (!follows && !MustWait(aPacket, aFlow, aNow)) {
    return false;
  }
  if (mScheduler.Hold(aPacket, aNow) == RequestScheduler::Outcome::NoRoom) {
    DeliverHeldOf(flow, aNow);
    return false;
  }
  if (!follows) {
    DeliverHeld(HostEvent::None, aNow);
    if (mScheduler.Holds(flow)) {
      CountEvent(HostFlowEvent::RequestHeld);
    }
  }
  return true;
}

/** The host's load as RequestScheduler needs it: held requests do not count. */
HostCondition HostFlows::LoadWithoutHeld() const
{
  HostCondition out;
  out.mSlots = mHostStatus.Slots();
  out.mInProgress = mWork.Size();
  out.mServiceTime = mServiceTime.Get();
  return out;
}

/** Whether the host rejected the request because its queue was full. The host
 * takes requests in order of arrival, so a request that it processed can
 * overtake only those in the other slots. */
bool HostFlows::IsRejected(const WorkInProgress::Ended& aRequest) const
{
  return aRequest.mOvertaken >= mHostStatus.Slots() &&
         aRequest.mLasted < mServiceTime.Get() / 2;
}

/** The host sent data or closed its direction: it has answered the request in
 * progress, if any. */
void HostFlows::OnHostData(Table::Entry& aEntry, const FlowPacket& aPacket,
                           Time aNow)
{
  Flow& flow = aEntry.mValue;
  auto request = mWork.End(aEntry.mFlow, aNow);
  bool hasEnded = request.mLasted > Duration::zero();
  bool isRejected = hasEnded && IsRejected(request);
  if (aPacket.mDataLength > 0 && hasEnded) {
    CountEvent(HostFlowEvent::Answered);
    mOutput.RecordDuration(HostTiming::Answer, request.mLasted);
    if (!isRejected) {
      mServiceTime.RecordAnswer(request.mLasted, request.mAhead,
                                mHostStatus.Slots());
    }
  }
  if (aPacket.mDataLength > 0 && flow.mRequest == RequestState::InProgress) {
    flow.mRequest = RequestState::Answered;
  }
  if (flow.mFinished) {
    DeliverHeldOf(aEntry.mFlow, aNow);
  }
  HostEvent event = isRejected ? HostEvent::Rejected : HostEvent::Answered;
  DeliverHeld(hasEnded ? event : HostEvent::None, aNow);
}

/** Delivers the held requests that the host gets now. */
void HostFlows::DeliverHeld(HostEvent aEvent, Time aNow)
{
  while (auto released = mScheduler.Next(
           LoadWithoutHeld(), std::exchange(aEvent, HostEvent::None), aNow)) {
    bool wasHeld = released->mArrival < aNow;
    if (wasHeld && released->mIsOverdue) {
      CountEvent(HostFlowEvent::RequestOverdue);
      LogFlow("request_overdue", { { "flow", released->mFlow.ToString() },
                                   { "in_progress", mWork.Size() },
                                   { "held", mScheduler.Size() } });
    } else if (wasHeld) {
      CountEvent(HostFlowEvent::RequestInTurn);
    }
    DeliverReleased(*released, aNow);
  }
}

void HostFlows::DeliverHeldOf(const FlowKey& aFlow, Time aNow)
{
  if (auto released = mScheduler.Take(aFlow)) {
    DeliverReleased(*released, aNow);
  }
}

void HostFlows::DeliverAllHeld(Time aNow)
{
  while (auto released = mScheduler.TakeOldest()) {
    DeliverReleased(*released, aNow);
  }
}

void HostFlows::DeliverReleased(RequestScheduler::Released& aReleased,
                                Time aNow)
{
  Table::Entry* entry = mFlows.Find(aReleased.mFlow);
  if (entry == nullptr) {
    // The entry expired: the host has no such flow any more.
    return;
  }
  for (RequestScheduler::Packet& it : aReleased.mPackets) {
    DeliverNow(it, *entry, aNow);
  }
}

void HostFlows::Leave(Time aNow)
{
  mLeaving = true;
  DeliverAllHeld(aNow);
}

} // namespace heatherplank
