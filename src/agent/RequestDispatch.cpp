// The part of RequestPipeline that handles admitted requests: it requests
// grants, sends to the backend server and retries on other hosts.
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
  mParts.mGrants.RequestGrant(
    aRequest->mRequest.mIdempotencyKey, aRequest->mRequest.mRequestId,
    aRequest->mDeadline, [this, aRequest](GrantDecision aDecision) {
      OnGrant(aRequest, std::move(aDecision));
    });
}

void RequestPipeline::OnGrant(const PendingRequestPtr& aRequest,
                              GrantDecision aDecision)
{
  if (aDecision.mKind == GrantDecision::Kind::Denied) {
    Finish(aRequest, RunResult::Abandoned, std::move(aDecision.mAnswer));
    return;
  }
  aRequest->mNonce = aDecision.mNonce;
  SendToBackend(aRequest);
}

void RequestPipeline::SendToBackend(const PendingRequestPtr& aRequest)
{
  Duration left = aRequest->mDeadline - mParts.mClock.Now();
  bool expired = left <= Duration::zero();
  // This process may have been paused since it received the grant, and another
  // host may hold the right to run the request by now.
  bool fenced = aRequest->mRule.mNeverRepeat &&
                !mParts.mGrants.MayDispatch(aRequest->mNonce);
  bool cancelled = false;
  {
    std::lock_guard lock(mLock);
    cancelled = aRequest->mCancelled;
  }
  if (expired || fenced || cancelled) {
    auto reason =
      cancelled ? RefusalReason::Cancelled : RefusalReason::DeadlinePassed;
    mRefusals[static_cast<std::size_t>(reason)]->Add();
    FinishNotRun(aRequest, RunResult::Abandoned,
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
        mParts.mGrants.OnOutcomeUnknown(aRequest->mNonce);
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
    // A recorded request would first have to release its grant. A retry by the
    // caller under the same key costs no more than that.
    bool mayForward = advice.mTarget == RetryTarget::OtherHost &&
                      !aRequest->mRule.mNeverRepeat && !aRequest->mLent;
    other = mayForward ? LeastLoadedPeer() : HostId{};
    if (!other.IsNone() && !mRetries.TryRetry()) {
      other = {};
    }
  }
  if (other.IsNone() || !mParts.mOutput.OnForward(aRequest, other)) {
    FinishNotRun(aRequest, aResult, std::move(aAnswer));
    return;
  }
  mRetried[static_cast<std::size_t>(advice.mReason)]->Add();
  RemoveFromAdmission(aRequest, aResult);
}

HostId RequestPipeline::LeastLoadedPeer() const
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

void RequestPipeline::FinishNotRun(const PendingRequestPtr& aRequest,
                                   RunResult aResult, Answer aAnswer)
{
  if (!aRequest->mRule.mNeverRepeat) {
    Finish(aRequest, aResult, std::move(aAnswer));
    return;
  }
  mParts.mGrants.OnNotRun(aRequest->mNonce, aAnswer,
                          [this, aRequest, aResult](Answer aFinal) {
                            Finish(aRequest, aResult, std::move(aFinal));
                          });
}

} // namespace heatherplank
