// How requests leave the queues other than by dispatch: review, forwarding,
// refusal.
#include "src/decide/ReservationAdmission.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

// Interval at which queued requests are re-evaluated. A caller can't
// distinguish an answer after 50 ms from an immediate one, and a review takes
// 30 microseconds at 768 requests.
constexpr Duration kReviewInterval = std::chrono::milliseconds(50);

} // namespace

void ReservationAdmission::Review(Time aNow, Actions& aOut)
{
  if (aNow < mNextReview) {
    return;
  }
  mNextReview = aNow + kReviewInterval;
  ForwardToLessLoaded(aNow, aOut);
  if (!mOptions.mGuards.mEarlyRefusal) {
    return;
  }
  for (std::size_t i = 0; i < mClasses.size(); ++i) {
    ReviewClass(i, aNow, aOut);
  }
}

// Refuses requests that the queue ahead of them will make late. Deferrable work
// keeps its place until its latest start time.
void ReservationAdmission::ReviewClass(std::size_t aClass, Time aNow,
                                       Actions& aOut)
{
  ClassState& state = *mClasses[aClass];
  if (state.mOptions.mMayWait) {
    return;
  }
  std::uint32_t retained = 0;
  for (QueuedRequest* it : state.mQueue.InOrder()) {
    const Request request = it->mRequest;
    const Duration wait = ExpectedWait(View(), aClass, retained, aNow);
    const Duration run = state.mServiceTimes.Mean(request.mSize);
    if (it->mProbe || aNow + wait + run <= request.mDeadline) {
      ++retained;
      continue;
    }
    RemoveQueued(*it);
    ForwardOrRefuse(request, RefusalReason::DeadlineUnreachable, aNow, aOut);
  }
}

// The least important class is forwarded first, since it waits longest here.
void ReservationAdmission::ForwardToLessLoaded(Time aNow, Actions& aOut)
{
  std::uint32_t budget =
    mForwardPlanner.Budget(CurrentLoadPerSlot(), mSlots, aNow);
  std::vector<ClassState*> order;
  for (auto& it : mClasses) {
    order.push_back(it.get());
  }
  std::ranges::stable_sort(order, {}, [](const ClassState* aState) {
    return aState->mOptions.mImportance;
  });
  for (ClassState* state : order) {
    for (; budget > 0; --budget) {
      QueuedRequest* forwarded = state->mQueue.LastOfLongest();
      if (forwarded == nullptr) {
        break;
      }
      const Request& request = forwarded->mRequest;
      const Duration run = state->mServiceTimes.Mean(request.mSize);
      auto to = mForwardPlanner.FindLessLoaded(request, CurrentLoadPerSlot(),
                                               run, aNow);
      if (!to) {
        break;
      }
      const RequestId id = request.mId;
      RemoveQueued(*forwarded);
      Forward(id, *to, RetryReason::LessLoadedHost, aOut);
    }
  }
}

void ReservationAdmission::ForwardOrRefuse(const Request& aRequest,
                                           RefusalReason aReason, Time aNow,
                                           Actions& aOut)
{
  const Duration run = ClassOf(aRequest).mServiceTimes.Mean(aRequest.mSize);
  if (mDraining) {
    if (auto to = mForwardPlanner.FindLeastLoaded(aRequest, run, aNow)) {
      Forward(aRequest.mId, *to, RetryReason::Draining, aOut);
      return;
    }
    Refuse(aRequest, RefusalReason::Draining, aNow, aOut);
    return;
  }
  auto to =
    mForwardPlanner.FindLessLoaded(aRequest, CurrentLoadPerSlot(), run, aNow);
  if (to && aNow < aRequest.mDeadline) {
    Forward(aRequest.mId, *to, RetryReason::LessLoadedHost, aOut);
    return;
  }
  Refuse(aRequest, aReason, aNow, aOut);
}

void ReservationAdmission::Refuse(const Request& aRequest,
                                  RefusalReason aReason, Time aNow,
                                  Actions& aOut)
{
  ClassState& state = ClassOf(aRequest);
  const HostView view = View();
  const std::size_t index = aRequest.mClass;
  const std::uint32_t ahead = state.CountAhead(aRequest.mCaller);
  const Duration wait = ExpectedWait(view, index, ahead, aNow);
  // The wait that a request with its full deadline left can accept.
  const Duration acceptable = std::max(
    Duration{}, state.mOptions.mDeadline - state.mServiceTimes.UpperEstimate());
  const Duration interval = ExpectedInterval(view, index, aNow);
  Action action;
  action.mKind =
    aNow >= aRequest.mDeadline ? ActionKind::Expire : ActionKind::Refuse;
  action.mId = aRequest.mId;
  action.mReason = action.mKind == ActionKind::Expire
                     ? RefusalReason::DeadlinePassed
                     : aReason;
  action.mRetryAfter =
    state.mRetryTimePlanner.NextWait(aNow, wait - acceptable, interval);
  aOut.push_back(action);
}

void ReservationAdmission::Forward(RequestId aId, HostId aTarget,
                                   RetryReason aReason, Actions& aOut)
{
  mForwardPlanner.RecordForward(aTarget);
  Action action;
  action.mKind = ActionKind::Forward;
  action.mId = aId;
  action.mForwardReason = aReason;
  action.mTarget = aTarget;
  aOut.push_back(action);
}

} // namespace heatherplank
