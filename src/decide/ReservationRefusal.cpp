// The ways out of the queues other than a slot: review, hand on, refuse.
#include "src/decide/ReservationAdmission.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

// How often what waits is looked at again. A caller can't tell an answer after
// 50 ms from one at once, and the look takes 30 microseconds at 768 requests.
constexpr Duration kReviewEvery = std::chrono::milliseconds(50);

} // namespace

void ReservationAdmission::Review(Time aNow, Actions& aOut)
{
  if (aNow < mNextReview) {
    return;
  }
  mNextReview = aNow + kReviewEvery;
  MoveToLighter(aNow, aOut);
  if (!mOptions.mGuards.mEarlyRefusal) {
    return;
  }
  for (std::size_t i = 0; i < mClasses.size(); ++i) {
    ReviewClass(i, aNow, aOut);
  }
}

// Refuses what the queue before it will make late. Work that may wait keeps
// its place until its latest moment to start.
void ReservationAdmission::ReviewClass(std::size_t aClass, Time aNow,
                                       Actions& aOut)
{
  ClassState& state = *mClasses[aClass];
  if (state.mOptions.mMayWait) {
    return;
  }
  std::uint32_t kept = 0;
  for (Waiting* it : state.mQueue.InOrder()) {
    const Request request = it->mRequest;
    const Duration wait = ExpectedWait(View(), aClass, kept, aNow);
    const Duration run = state.mTimes.Mean(request.mSize);
    if (it->mProbe || aNow + wait + run <= request.mDeadline) {
      ++kept;
      continue;
    }
    Forget(*it);
    GiveUp(request, RefusalReason::DeadlineUnreachable, aNow, aOut);
  }
}

// The least important goes first, since it waits the longest here.
void ReservationAdmission::MoveToLighter(Time aNow, Actions& aOut)
{
  std::uint32_t budget = mHandOn.Budget(LoadPerSlotNow(), mSlots, aNow);
  std::vector<ClassState*> order;
  for (auto& it : mClasses) {
    order.push_back(it.get());
  }
  std::ranges::stable_sort(order, {}, [](const ClassState* aState) {
    return aState->mOptions.mImportance;
  });
  for (ClassState* state : order) {
    for (; budget > 0; --budget) {
      Waiting* moved = state->mQueue.LastOfLongest();
      if (moved == nullptr) {
        break;
      }
      const Request& request = moved->mRequest;
      const Duration run = state->mTimes.Mean(request.mSize);
      auto to = mHandOn.Lighter(request, LoadPerSlotNow(), run, aNow);
      if (!to) {
        break;
      }
      const RequestId id = request.mId;
      Forget(*moved);
      HandOn(id, *to, RetryReason::LighterHost, aOut);
    }
  }
}

void ReservationAdmission::GiveUp(const Request& aRequest,
                                  RefusalReason aReason, Time aNow,
                                  Actions& aOut)
{
  const Duration run = ClassOf(aRequest).mTimes.Mean(aRequest.mSize);
  if (mDraining) {
    if (auto to = mHandOn.Any(aRequest, run, aNow)) {
      HandOn(aRequest.mId, *to, RetryReason::Draining, aOut);
      return;
    }
    Refuse(aRequest, RefusalReason::Draining, aNow, aOut);
    return;
  }
  auto to = mHandOn.Lighter(aRequest, LoadPerSlotNow(), run, aNow);
  if (to && aNow < aRequest.mDeadline) {
    HandOn(aRequest.mId, *to, RetryReason::LighterHost, aOut);
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
  const std::uint32_t ahead = state.Ahead(aRequest.mCaller);
  const Duration wait = ExpectedWait(view, index, ahead, aNow);
  // What a request with a whole deadline before it would put up with.
  const Duration bearable =
    std::max(Duration{}, state.mOptions.mDeadline - state.mTimes.High());
  const Duration every = ExpectedInterval(view, index, aNow);
  Action action;
  action.mKind =
    aNow >= aRequest.mDeadline ? ActionKind::Expire : ActionKind::Refuse;
  action.mId = aRequest.mId;
  action.mReason = action.mKind == ActionKind::Expire
                     ? RefusalReason::DeadlinePassed
                     : aReason;
  action.mRetryAfter = state.mReturns.Next(aNow, wait - bearable, every);
  aOut.push_back(action);
}

void ReservationAdmission::HandOn(RequestId aId, HostId aTarget,
                                  RetryReason aReason, Actions& aOut)
{
  mHandOn.Note(aTarget);
  Action action;
  action.mKind = ActionKind::HandOn;
  action.mId = aId;
  action.mHandOnReason = aReason;
  action.mTarget = aTarget;
  aOut.push_back(action);
}

} // namespace heatherplank
