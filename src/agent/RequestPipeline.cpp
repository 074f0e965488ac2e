#include "src/agent/RequestPipeline.h"

#include <algorithm>

#include "src/base/Log.h"
#include "src/metrics/Metrics.h"

namespace heatherplank {

namespace {

constexpr std::string_view kAdmissionPolicy = "reservation";

unsigned HttpStatusOf(RefusalReason aReason)
{
  return aReason == RefusalReason::OverShare ? 429 : 503;
}

} // namespace

/** Admission actions with the requests that they refer to, executed after the
 * lock is released. */
struct RequestPipeline::ActionBatch
{
  struct Entry
  {
    Action mAction;
    PendingRequestPtr mRequest;
  };
  std::vector<Entry> mEntries;
};

RequestPipeline::RequestPipeline(const Parts& aParts, std::string aHost,
                                 std::uint32_t aSlots)
  : mParts(aParts)
  , mHost(std::move(aHost))
  , mSlots(aSlots)
  , mSeed(HashBytes(mHost))
  , mAnswered(aParts.mMetrics.GetCounter("requests_answered_total"))
  , mUnknown(aParts.mMetrics.GetCounter("requests_unknown_total"))
  , mDispatched(aParts.mMetrics.GetCounter("requests_dispatched_total"))
  , mLatency(aParts.mMetrics.GetHistogram("request_milliseconds"))
{
  for (std::size_t i = 0; i < kRefusalReasons; ++i) {
    std::string name(ToString(static_cast<RefusalReason>(i)));
    mRefusals[i] = &aParts.mMetrics.GetCounter("requests_refused_total",
                                               "reason=\"" + name + "\"");
  }
  for (std::size_t i = 0; i < kRetryReasons; ++i) {
    std::string name(ToString(static_cast<RetryReason>(i)));
    mRetried[i] = &aParts.mMetrics.GetCounter("requests_retried_total",
                                              "reason=\"" + name + "\"");
  }
}

RequestPipeline::~RequestPipeline() = default;

void RequestPipeline::SetService(const Service& aService)
{
  Time now = mParts.mClock.Now();
  ActionBatch batch;
  {
    std::lock_guard lock(mLock);
    mService = aService;
    AdmissionOptions options = MakeAdmissionOptions(mService, mSeed);
    options.mSlots = mSlots;
    Actions actions;
    if (mAdmission) {
      mAdmission->OnOptions(options, now, actions);
    } else {
      mAdmission = std::move(*MakeAdmissionPolicy(kAdmissionPolicy, options));
      if (mDraining) {
        mAdmission->OnDrain(now, actions);
      }
    }
    batch = ResolveActions(actions);
  }
  Execute(batch);
}

RequestPipeline::ActionBatch RequestPipeline::ResolveActions(
  const Actions& aActions) const
{
  ActionBatch batch;
  for (const auto& it : aActions) {
    batch.mEntries.push_back({ it, Find(it.mId) });
  }
  return batch;
}

bool RequestPipeline::Classify(PendingRequest& aRequest) const
{
  std::lock_guard lock(mLock);
  if (!mAdmission) {
    return false;
  }
  aRequest.mClass = static_cast<std::uint16_t>(mService.mRules.size());
  const CallerRequest& request = aRequest.mRequest;
  if (const Rule* rule = FindRule(mService, request.mMethod, request.mTarget)) {
    aRequest.mRule = *rule;
    aRequest.mClass = static_cast<std::uint16_t>(rule - mService.mRules.data());
  }
  Duration timeout =
    aRequest.mRequest.mTimeout.value_or(aRequest.mRule.mDeadline);
  aRequest.mDeadline = aRequest.mArrival + timeout;
  return true;
}

void RequestPipeline::Start(const PendingRequestPtr& aRequest)
{
  Time now = mParts.mClock.Now();
  ActionBatch batch;
  {
    std::lock_guard lock(mLock);
    aRequest->mId = mNextId++;
    mRequests[aRequest->mId] = aRequest;
    mRetries.OnFirstAttempt();
    Actions actions;
    mAdmission->OnRequest(
      { aRequest->mId, aRequest->mClass, aRequest->mHops,
        static_cast<std::uint32_t>(aRequest->mRequest.mBody.size()),
        std::hash<Address>{}(aRequest->mFlow.mCaller), aRequest->mArrival,
        aRequest->mDeadline },
      now, actions);
    batch = ResolveActions(actions);
  }
  Execute(batch);
}

void RequestPipeline::Cancel(const FlowKey& aFlow,
                             const std::string& aRequestId)
{
  Time now = mParts.mClock.Now();
  PendingRequestPtr unstarted;
  BackendClient::Ticket ticket = 0;
  ActionBatch batch;
  {
    std::lock_guard lock(mLock);
    auto it =
      std::find_if(mRequests.begin(), mRequests.end(), [&](const auto& aIt) {
        return aIt.second->mFlow == aFlow &&
               aIt.second->mRequest.mRequestId == aRequestId;
      });
    if (it == mRequests.end()) {
      return;
    }
    PendingRequestPtr request = it->second;
    request->mCancelled = true;
    Actions actions;
    if (mAdmission->OnCancel(request->mId, now, actions)) {
      unstarted = request;
      mRequests.erase(request->mId);
    } else if (request->mSent) {
      ticket = request->mTicket;
    }
    batch = ResolveActions(actions);
  }
  Execute(batch);
  if (unstarted) {
    Refuse(unstarted, RefusalReason::Cancelled, Duration::zero());
  }
  if (ticket != 0) {
    mParts.mBackend.Cancel(ticket);
  }
}

void RequestPipeline::SetPeers(std::span<const Candidate> aPeers)
{
  Time now = mParts.mClock.Now();
  ActionBatch batch;
  {
    std::lock_guard lock(mLock);
    mPeers.assign(aPeers.begin(), aPeers.end());
    if (!mAdmission) {
      return;
    }
    Actions actions;
    mAdmission->OnPeers(mPeers, now, actions);
    batch = ResolveActions(actions);
  }
  Execute(batch);
}

void RequestPipeline::Drain()
{
  Time now = mParts.mClock.Now();
  ActionBatch batch;
  {
    std::lock_guard lock(mLock);
    mDraining = true;
    if (!mAdmission) {
      return;
    }
    Actions actions;
    mAdmission->OnDrain(now, actions);
    batch = ResolveActions(actions);
  }
  Execute(batch);
}

void RequestPipeline::Tick()
{
  Time now = mParts.mClock.Now();
  ActionBatch batch;
  {
    std::lock_guard lock(mLock);
    if (!mAdmission) {
      return;
    }
    Actions actions;
    mAdmission->OnTick(now, actions);
    batch = ResolveActions(actions);
  }
  Execute(batch);
}

HostLoad RequestPipeline::Load() const
{
  std::lock_guard lock(mLock);
  return mAdmission ? mAdmission->Load() : HostLoad{};
}

std::size_t RequestPipeline::Active() const
{
  std::lock_guard lock(mLock);
  return mRequests.size();
}

PendingRequestPtr RequestPipeline::Remove(RequestId aId)
{
  std::lock_guard lock(mLock);
  auto it = mRequests.find(aId);
  if (it == mRequests.end()) {
    return nullptr;
  }
  PendingRequestPtr request = it->second;
  mRequests.erase(it);
  return request;
}

PendingRequestPtr RequestPipeline::Find(RequestId aId) const
{
  auto it = mRequests.find(aId);
  return it == mRequests.end() ? nullptr : it->second;
}

void RequestPipeline::Execute(const ActionBatch& aBatch)
{
  for (const auto& [action, request] : aBatch.mEntries) {
    if (!request) {
      continue;
    }
    switch (action.mKind) {
      case ActionKind::Dispatch:
        Dispatch(request);
        break;
      case ActionKind::Refuse:
      case ActionKind::Expire:
        Remove(request->mId);
        Refuse(request, action.mReason, action.mRetryAfter);
        break;
      case ActionKind::Forward:
        Remove(request->mId);
        if (mParts.mOutput.OnForward(request, action.mTarget)) {
          mRetried[static_cast<std::size_t>(action.mForwardReason)]->Add();
        } else {
          Refuse(request, RefusalReason::NoHost, action.mRetryAfter);
        }
        break;
    }
  }
}

void RequestPipeline::Finish(const PendingRequestPtr& aRequest,
                             RunResult aResult, Answer aAnswer)
{
  SendAnswer(aRequest, std::move(aAnswer));
  RemoveFromAdmission(aRequest, aResult);
}

void RequestPipeline::RemoveFromAdmission(const PendingRequestPtr& aRequest,
                                          RunResult aResult)
{
  Time now = mParts.mClock.Now();
  ActionBatch batch;
  {
    std::lock_guard lock(mLock);
    mRequests.erase(aRequest->mId);
    Actions actions;
    Duration took =
      aRequest->mSent ? now - aRequest->mDispatchedAt : Duration::zero();
    mAdmission->OnDone(aRequest->mId, aResult, took, now, actions);
    batch = ResolveActions(actions);
  }
  Execute(batch);
}

void RequestPipeline::Refuse(const PendingRequestPtr& aRequest,
                             RefusalReason aReason, Duration aRetryAfter)
{
  mRefusals[static_cast<std::size_t>(aReason)]->Add();
  SendAnswer(aRequest,
             MakeNotRun(HttpStatusOf(aReason), ToString(aReason), aRetryAfter));
}

void RequestPipeline::SendAnswer(const PendingRequestPtr& aRequest,
                                 Answer aAnswer)
{
  using Milliseconds = std::chrono::duration<double, std::milli>;
  Duration took = mParts.mClock.Now() - aRequest->mArrival;
  if (aAnswer.mOutcome == Outcome::Run) {
    mAnswered.Add();
    mLatency.Record(Milliseconds(took).count());
  }
  if (aAnswer.mOutcome == Outcome::Unknown) {
    mUnknown.Add();
  }
  mParts.mOutput.OnAnswer(aRequest, std::move(aAnswer));
}

} // namespace heatherplank
