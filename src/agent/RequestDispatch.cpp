// What becomes of a request that was admitted: recorded, sent to the backend
// server, tried elsewhere.
#include "src/agent/RequestPipeline.h"

#include "src/agent/GrantRecorder.h"
#include "src/metrics/Metrics.h"

namespace heatherplank {

void RequestPipeline::Dispatch(const PendingRequestPtr& aRequest)
{
  aRequest->mDispatchedAt = mParts.mClock.Now();
  if (!aRequest->mRule.mNeverRepeat) {
    SendToBackend(aRequest);
    return;
  }
  if (aRequest->mRequest.mIdempotencyKey.empty()) {
    Finish(aRequest, RunResult::Abandoned,
           MakeNotRun(400, "idempotency_key_missing", Duration::zero()));
    return;
  }
  mParts.mGrants.Request(aRequest->mRequest.mIdempotencyKey,
                         aRequest->mRequest.mRequestId, aRequest->mDeadline,
                         [this, aRequest](GrantDecision aDecision) {
                           OnGrant(aRequest, std::move(aDecision));
                         });
}

void RequestPipeline::OnGrant(const PendingRequestPtr& aRequest,
                              GrantDecision aDecision)
{
  if (aDecision.mKind == GrantDecision::Kind::Settled) {
    Finish(aRequest, RunResult::Abandoned, std::move(aDecision.mAnswer));
    return;
  }
  aRequest->mNonce = aDecision.mNonce;
  SendToBackend(aRequest);
}

void RequestPipeline::SendToBackend(const PendingRequestPtr& aRequest)
{
  Duration left = aRequest->mDeadline - mParts.mClock.Now();
  bool late = left <= Duration::zero();
  // The process may have been paused since the grant was given; what the grant
  // allowed then may be another host's now.
  bool fenced = aRequest->mRule.mNeverRepeat &&
                !mParts.mGrants.MayDispatch(aRequest->mNonce);
  bool cancelled = false;
  {
    std::lock_guard lock(mLock);
    cancelled = aRequest->mCancelled;
  }
  if (late || fenced || cancelled) {
    auto reason =
      cancelled ? RefusalReason::Cancelled : RefusalReason::DeadlinePassed;
    mRefusals[static_cast<std::size_t>(reason)]->Add();
    SettleNotRun(aRequest, RunResult::Abandoned,
                 MakeNotRun(503, ToString(reason), Duration::zero()));
    return;
  }
  mDispatched.Add();
  std::lock_guard lock(mLock);
  aRequest->mSent = true;
  aRequest->mTicket = mParts.mBackend.Send(
    aRequest->mRequest, left, [this, aRequest](BackendAnswer aAnswer) {
      OnBackend(aRequest, std::move(aAnswer));
    });
}

void RequestPipeline::OnBackend(const PendingRequestPtr& aRequest,
                                BackendAnswer aAnswer)
{
  bool recorded = aRequest->mRule.mNeverRepeat;
  switch (aAnswer.mResult) {
    case BackendResult::Answered: {
      aAnswer.mAnswer.mServedBy = mHost;
      bool failed = aAnswer.mAnswer.mStatus >= 500;
      if (recorded) {
        mParts.mGrants.OnAnswered(aRequest->mNonce, aAnswer.mAnswer);
      }
      Finish(aRequest, failed ? RunResult::Failed : RunResult::Answered,
             std::move(aAnswer.mAnswer));
      return;
    }
    case BackendResult::Refused:
      RetryOrRefuse(aRequest, AttemptEnd::Shed, RunResult::Shed,
                    std::move(aAnswer.mAnswer));
      return;
    case BackendResult::NotSent:
      RetryOrRefuse(aRequest, AttemptEnd::ConnectFailed, RunResult::Unreachable,
                    std::move(aAnswer.mAnswer));
      return;
    case BackendResult::Lost:
      if (recorded) {
        mParts.mGrants.OnUnknown(aRequest->mNonce);
      }
      Finish(aRequest, RunResult::TimedOut, std::move(aAnswer.mAnswer));
      return;
  }
}

void RequestPipeline::RetryOrRefuse(const PendingRequestPtr& aRequest,
                                    AttemptEnd aEnd, RunResult aResult,
                                    Answer aAnswer)
{
  mRefusals[static_cast<std::size_t>(RefusalReason::BackendShed)]->Add();
  RetryAdvice advice = AdviseRetry(aEnd, aRequest->mRule.mNeverRepeat);
  HostId other;
  {
    std::lock_guard lock(mLock);
    // A recorded request would first have to give its grant back; its caller
    // comes back with the key, which costs no more.
    bool mayMove = advice.mPlace == RetryPlace::OtherHost &&
                   !aRequest->mRule.mNeverRepeat && !aRequest->mLent;
    other = mayMove ? LightestPeer() : HostId{};
    if (!other.IsNone() && !mRetries.TryRetry()) {
      other = {};
    }
  }
  if (other.IsNone() || !mParts.mOutput.OnHandOn(aRequest, other)) {
    SettleNotRun(aRequest, aResult, std::move(aAnswer));
    return;
  }
  mRetried[static_cast<std::size_t>(advice.mReason)]->Add();
  End(aRequest, aResult);
}

HostId RequestPipeline::LightestPeer() const
{
  const Candidate* best = nullptr;
  for (const auto& it : mPeers) {
    bool better =
      best == nullptr || LoadPerSlot(it.mLoad) < LoadPerSlot(best->mLoad);
    if (it.mWeight > 0 && better) {
      best = &it;
    }
  }
  return best == nullptr ? HostId{} : best->mHost;
}

void RequestPipeline::SettleNotRun(const PendingRequestPtr& aRequest,
                                   RunResult aResult, Answer aAnswer)
{
  if (!aRequest->mRule.mNeverRepeat) {
    Finish(aRequest, aResult, std::move(aAnswer));
    return;
  }
  mParts.mGrants.OnNotRun(aRequest->mNonce, aAnswer,
                          [this, aRequest, aResult](Answer aTold) {
                            Finish(aRequest, aResult, std::move(aTold));
                          });
}

} // namespace heatherplank
