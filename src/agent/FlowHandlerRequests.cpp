#include "src/agent/FlowEffects.h"
#include "src/agent/FlowHandler.h"
#include "src/agent/PolicyMeter.h"
#include "src/caller/Answer.h"
#include "src/metrics/Metrics.h"

namespace heatherplank {

void FlowHandler::OnLentPacket(const Packet& aPacket)
{
  FlowShard& shard = ShardOf(aPacket.mFlow);
  FlowEffects effects;
  {
    std::lock_guard lock(shard.mLock);
    HandleRequest(shard, CopyPacket(aPacket), aPacket.mEpoch, true, effects);
  }
  Perform(effects);
}

void FlowHandler::HandleRequest(FlowShard& aShard, const HeldPacket& aPacket,
                                FlowEpoch aEpoch, bool aLent,
                                FlowEffects& aEffects)
{
  auto parsed = ParseCallerRequest(aPacket.mPayload);
  if (!parsed) {
    mMalformed.Add();
    return;
  }
  const std::string& id = parsed->mRequestId;
  if (!aLent && ForwardToBorrower(aShard, aPacket, aEpoch, id, aEffects)) {
    return;
  }
  if (parsed->mCancel) {
    aEffects.mCancels.emplace_back(aPacket.mFlow, id);
    return;
  }
  RequestState state = aShard.mAnswers.Begin(aPacket.mFlow, id);
  if (state == RequestState::InProgress) {
    mRepeatedInProgress.Add();
    return;
  }
  if (state == RequestState::Answered) {
    mRepeatedAnswered.Add();
    QueueAnswer(aPacket, *aShard.mAnswers.Find(aPacket.mFlow, id), id, aEpoch,
                parsed->mRange, aEffects);
    return;
  }
  PendingRequestPtr request(new PendingRequest);
  request->mFlow = aPacket.mFlow;
  request->mEpoch = aEpoch;
  request->mReturnTo = aPacket.mReturnTo;
  request->mHintTo = aPacket.mHintTo;
  request->mHops = aLent ? 1 : 0;
  request->mLent = aLent;
  request->mRequest = std::move(*parsed);
  request->mArrival = mParts.mClock.Now();
  if (!aLent) {
    aShard.mOwnership.OnRequestStarted(aPacket.mFlow);
  }
  aEffects.mStarts.push_back(std::move(request));
}

bool FlowHandler::ForwardToBorrower(FlowShard& aShard,
                                    const HeldPacket& aPacket, FlowEpoch aEpoch,
                                    const std::string& aRequestId,
                                    FlowEffects& aEffects)
{
  auto flow = aShard.mLentRequests.find(aPacket.mFlow);
  if (flow == aShard.mLentRequests.end()) {
    return false;
  }
  auto lent = flow->second.find(aRequestId);
  ServiceViewPtr view = CurrentView();
  const Member* member = lent == flow->second.end() || !view
                           ? nullptr
                           : view->Find(lent->second.mBorrower);
  if (member == nullptr) {
    return false;
  }
  Packet packet = ToPacket(aPacket, mOptions.mSelf.mService);
  packet.mDirective = PacketDirective::Lend;
  packet.mEpoch = aEpoch;
  aEffects.mDatagrams.push_back({ member->mTunnel, EncodePacket(packet) });
  return true;
}

void FlowHandler::RefuseHeld(FlowShard& aShard, const RefusePacket& aRefuse,
                             FlowEffects& aEffects)
{
  auto held = aShard.mHeld.extract(aRefuse.mToken);
  if (!held.empty()) {
    RefuseRequest(aShard, held.mapped(), ToString(aRefuse.mReason),
                  aRefuse.mRetryAfter, aEffects);
  }
}

/** Guards against: copies of a request queue up while this process is paused.
 * The first copy is refused, the view becomes current, and the next copy is
 * accepted as a new request: it runs although its caller received "not run".
 * The refusal is therefore retained under the request's id like any other
 * answer. */
void FlowHandler::RefuseRequest(FlowShard& aShard, const HeldPacket& aPacket,
                                std::string_view aReason, Duration aRetryAfter,
                                FlowEffects& aEffects)
{
  auto parsed = ParseCallerRequest(aPacket.mPayload);
  if (!parsed) {
    mMalformed.Add();
    return;
  }
  PendingRequest request;
  request.mRequest = std::move(*parsed);
  const std::string& id = request.mRequest.mRequestId;
  RequestState state = aShard.mAnswers.Begin(aPacket.mFlow, id);
  if (state == RequestState::InProgress) {
    mRepeatedInProgress.Add();
    return;
  }
  if (state == RequestState::New) {
    // This host does not own the flow. The owner may have run the request
    // before it was paused or isolated, so "not run" could be false for one
    // that must not repeat; the grant record has its outcome when the caller
    // retries.
    bool mayHaveRun =
      !mPipeline->Classify(request) || request.mRule.mNeverRepeat;
    aShard.mAnswers.Finish(aPacket.mFlow, id,
                           mayHaveRun ? MakeUnsure(aReason, aRetryAfter)
                                      : MakeNotRun(503, aReason, aRetryAfter),
                           mParts.mClock.Now());
  }
  QueueAnswer(aPacket, *aShard.mAnswers.Find(aPacket.mFlow, id), id, 0, {},
              aEffects);
}

void FlowHandler::QueueAnswer(const HeldPacket& aPacket, const Answer& aAnswer,
                              const std::string& aRequestId, FlowEpoch aEpoch,
                              const std::optional<ByteRange>& aRange,
                              FlowEffects& aEffects)
{
  Packet packet = ToPacket(aPacket, mOptions.mSelf.mService);
  packet.mDirective = PacketDirective::Answer;
  for (const auto& it : WriteAnswer(aAnswer, aRequestId, aEpoch, aRange)) {
    packet.mPayload = View(it);
    aEffects.mDatagrams.push_back({ packet.mReturnTo, EncodePacket(packet) });
  }
}

void FlowHandler::OnAnswer(const PendingRequestPtr& aRequest, Answer aAnswer)
{
  aAnswer.mService = mOptions.mServiceName;
  const std::string& id = aRequest->mRequest.mRequestId;
  FlowShard& shard = ShardOf(aRequest->mFlow);
  HeldPacket packet{
    aRequest->mFlow, aRequest->mReturnTo, aRequest->mHintTo, 0, {}
  };
  FlowEffects effects;
  QueueAnswer(packet, aAnswer, id, aRequest->mEpoch, aRequest->mRequest.mRange,
              effects);
  {
    std::lock_guard lock(shard.mLock);
    Time now = mParts.mClock.Now();
    mParts.mMeter.OnAnswer(aRequest->mRule.mImportance, aAnswer,
                           now - aRequest->mArrival);
    bool mayHaveRun = aAnswer.mOutcome != Outcome::NotRun;
    shard.mAnswers.Finish(aRequest->mFlow, id, std::move(aAnswer), now);
    if (!aRequest->mLent) {
      OwnershipActions actions;
      shard.mOwnership.OnRequestEnded(aRequest->mFlow, mayHaveRun, now,
                                      actions);
      Execute(shard, actions, {}, effects);
    }
  }
  Perform(effects);
}

bool FlowHandler::OnForward(const PendingRequestPtr& aRequest, HostId aTarget)
{
  ServiceViewPtr view = CurrentView();
  const Member* member = view ? view->Find(aTarget) : nullptr;
  if (member == nullptr || aRequest->mLent) {
    return false;
  }
  Packet packet;
  packet.mFlow = aRequest->mFlow;
  packet.mService = mOptions.mSelf.mService;
  packet.mReturnTo = aRequest->mReturnTo;
  packet.mHintTo = aRequest->mHintTo;
  packet.mDirective = PacketDirective::Lend;
  packet.mEpoch = aRequest->mEpoch;
  CallerRequest lent = aRequest->mRequest;
  lent.mTimeout = aRequest->mDeadline - mParts.mClock.Now();
  std::string text = WriteCallerRequest(lent);
  packet.mPayload = View(text);
  FlowEffects effects;
  effects.mDatagrams.push_back({ member->mTunnel, EncodePacket(packet) });
  FlowShard& shard = ShardOf(aRequest->mFlow);
  {
    std::lock_guard lock(shard.mLock);
    shard.mAnswers.Release(aRequest->mFlow, lent.mRequestId);
    shard.mLentRequests[aRequest->mFlow][lent.mRequestId] = {
      aTarget, aRequest->mDeadline + AnswerStore::kRetention
    };
    OwnershipActions actions;
    shard.mOwnership.OnRequestEnded(aRequest->mFlow, true, mParts.mClock.Now(),
                                    actions);
    Execute(shard, actions, {}, effects);
  }
  Perform(effects);
  return true;
}

void FlowHandler::ExpireLentRequests(FlowShard& aShard, Time aNow)
{
  for (auto flow = aShard.mLentRequests.begin();
       flow != aShard.mLentRequests.end();) {
    std::erase_if(flow->second, [&](const auto& aRequest) {
      return aRequest.second.mExpiresAt <= aNow;
    });
    flow =
      flow->second.empty() ? aShard.mLentRequests.erase(flow) : std::next(flow);
  }
}

} // namespace heatherplank
