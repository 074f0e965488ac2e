// The messages that a FlowBalancer receives and sends.
#include <utility>

#include "src/passthrough/FlowBalancerImpl.h"
#include "src/wire/LocationCodec.h"
#include "src/wire/MembershipCodec.h"
#include "src/wire/PassthroughCodec.h"

namespace heatherplank {

void FlowBalancer::Impl::OnDatagram(ByteView aDatagram, const Address& aFrom)
{
  auto frame = mProcess.DecodeEnvelope(aDatagram);
  if (!frame) {
    return;
  }
  if (!mBalancers.Contains(aFrom)) {
    mIsolation.OnMessage(aFrom, mClock.Now());
  }
  OnFrame(*frame);
  ArmRetry();
}

void FlowBalancer::Impl::OnFrame(const Frame& aFrame)
{
  if (IsMembership(aFrame.mKind)) {
    mMembers.OnFrame(aFrame);
    OnHeartbeat(aFrame);
    return;
  }
  bool handled = false;
  switch (aFrame.mKind) {
    case MessageKind::PlacementReport:
      handled = Handle(DecodePlacementReport(aFrame.mPayload));
      break;
    case MessageKind::SteeredPacket:
      handled = Handle(DecodeSteeredPacket(aFrame.mPayload));
      break;
    case MessageKind::FlowRecords:
      handled = Handle(DecodeFlowRecords(aFrame.mPayload));
      break;
    case MessageKind::FlowQueryReply:
      handled = Handle(DecodeFlowQueryReply(aFrame.mPayload));
      break;
    case MessageKind::InventoryNotice:
      handled = Handle(DecodeInventoryNotice(aFrame.mPayload));
      break;
    case MessageKind::InventoryDocument:
      handled = Handle(DecodeInventoryDocument(aFrame.mPayload));
      break;
    case MessageKind::PastServicesRequest:
      handled = Handle(DecodePastServicesRequest(aFrame.mPayload));
      break;
    case MessageKind::PastServices:
      handled = Handle(DecodePastServices(aFrame.mPayload));
      break;
    default:
      break;
  }
  if (!handled) {
    mProcess.CountMalformed();
  }
}

/** Tells an agent that has sent a heartbeat what it has to know. */
void FlowBalancer::Impl::OnHeartbeat(const Frame& aFrame)
{
  if (aFrame.mKind != MessageKind::Heartbeat) {
    return;
  }
  auto heartbeat = DecodeHeartbeat(aFrame.mPayload);
  if (!heartbeat || heartbeat->mRecord.mMember.mService == BalancerService()) {
    return;
  }
  const Member& agent = heartbeat->mRecord.mMember;
  mPastServices.OnHeartbeat(agent, mClock.Now());
  NotifyDrained(agent);
}

/** Answers heartbeats from drained data centres with a DrainNotice. */
void FlowBalancer::Impl::NotifyDrained(const Member& aAgent)
{
  if (mDrains.Contains(aAgent.mDataCentre)) {
    mProcess.mMessages.Send(aAgent.mControl, MessageKind::DrainNotice,
                            EncodePayload(DrainNotice{ mDrains.mVersion }));
  }
}

bool FlowBalancer::Impl::Handle(const Result<PlacementReport>& aReport)
{
  if (aReport) {
    mSteering.OnReport(*aReport, mClock.Now());
  }
  return aReport.has_value();
}

bool FlowBalancer::Impl::Handle(Result<SteeredPacket> aSteered)
{
  if (!aSteered) {
    return false;
  }
  if (aSteered->mPurpose == SteerPurpose::Locate) {
    mSteering.OnLocate(std::move(*aSteered));
    return true;
  }
  if (aSteered->mPurpose != SteerPurpose::NotHere) {
    return false;
  }
  mSteering.OnReturned(*aSteered, mClock.Now());
  ArmRetry();
  return true;
}

bool FlowBalancer::Impl::Handle(const Result<FlowRecords>& aRecords)
{
  if (aRecords) {
    mSteering.OnRecords(*aRecords);
  }
  return aRecords.has_value();
}

bool FlowBalancer::Impl::Handle(const Result<FlowQueryReply>& aReply)
{
  if (aReply) {
    mSteering.OnQueryReply(*aReply, mClock.Now());
  }
  return aReply.has_value();
}

bool FlowBalancer::Impl::Handle(const Result<InventoryNotice>& aNotice)
{
  if (aNotice) {
    mRoutes.OnNotice(*aNotice);
  }
  return aNotice.has_value();
}

bool FlowBalancer::Impl::Handle(const Result<InventoryDocument>& aDocument)
{
  if (aDocument) {
    mRoutes.OnDocument(*aDocument);
  }
  return aDocument.has_value();
}

bool FlowBalancer::Impl::Handle(const Result<PastServicesRequest>& aRequest)
{
  if (aRequest) {
    mPastServices.OnRequest(*aRequest, mClock.Now());
  }
  return aRequest.has_value();
}

bool FlowBalancer::Impl::Handle(const Result<PastServices>& aList)
{
  if (aList) {
    Time now = mClock.Now();
    mPastServices.OnList(*aList, now);
    mSteering.SetKnownPast(mPastServices.Known(now), now);
    ArmRetry();
  }
  return aList.has_value();
}

void FlowBalancer::Impl::Steer(const Address& aAgent,
                               const SteeredPacket& aPacket)
{
  mProcess.Steer(aAgent, aPacket);
}

void FlowBalancer::Impl::SendRecords(const Address& aBalancer,
                                     const FlowRecords& aRecords)
{
  mProcess.mMessages.Send(aBalancer, MessageKind::FlowRecords,
                          EncodePayload(aRecords));
}

void FlowBalancer::Impl::Query(const Address& aAgent, const FlowQuery& aQuery)
{
  mProcess.Query(aAgent, aQuery);
}

void FlowBalancer::Impl::ToCaller(const Address& aCaller, ByteView aPacket)
{
  mProcess.ToCaller(aCaller, aPacket);
}

void FlowBalancer::Impl::Placed(Duration aElapsed)
{
  mPlacementTime.Record(InMs(aElapsed));
}

} // namespace heatherplank
