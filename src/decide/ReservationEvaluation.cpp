#include "src/decide/ReservationAdmission.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

using namespace std::chrono_literals;

// A caller may queue at most twice the room that is left: a single busy caller
// gets two thirds of the queue, and there is always room for another caller.
constexpr std::uint32_t kCallerRoomFactor = 2;
// Divides the tolerated wait once a queue has not been empty for a whole
// deadline. A burst that can be served in time has drained by then; a queue
// that persists holds more than the slots can serve, and a longer queue would
// delay every answer without serving any more.
constexpr int kStandingQueueDivisor = 4;
// Deferrable work is admitted if it is expected to start within three quarters
// of its slack: it must not miss its deadline when the load of more important
// classes grows.
constexpr double kMayWaitShare = 0.75;
// Deferrable work goes first when its deadline is this many upper estimates of
// its service time (19 of 20 answers) away, since slots have to become free for
// it. With exponentially distributed service times, one request in 700 still
// took longer than two such estimates.
constexpr int kUrgentMarginFactor = 4;
// Interval between probes, which are admitted although their deadline looks
// unreachable. Four a second take at most a tenth of the capacity of two slots
// at 50 ms, and the estimate of a recovered host is correct again within twenty
// answers.
constexpr Duration kProbeInterval = 250ms;

// True for deferrable work that another host admitted before forwarding it.
// Refusing it for lack of room would break that commitment; it starts at its
// latest start time, as it would have on the other host.
bool WasAdmittedElsewhere(const ClassState& aClass, const Request& aRequest)
{
  return aClass.mOptions.mMayWait && aRequest.mHops > 0;
}

} // namespace

std::optional<RefusalReason> ReservationAdmission::EvaluateRequest(
  const Request& aRequest, Time aNow)
{
  if (mDraining || mSlots == 0) {
    return mDraining ? RefusalReason::Draining : RefusalReason::NoHost;
  }
  const ClassState& state = ClassOf(aRequest);
  const Duration run = state.mServiceTimes.Mean(aRequest.mSize);
  if (WasAdmittedElsewhere(state, aRequest) &&
      aNow + run <= aRequest.mDeadline) {
    return std::nullopt;
  }
  const std::uint32_t size = state.mQueue.Size();
  const std::uint32_t limit = state.mOptions.mQueueLimit;
  if (size >= limit) {
    return RefusalReason::QueueFull;
  }
  const std::uint32_t callerLimit =
    std::max(1U, kCallerRoomFactor * (limit - size));
  if (mOptions.mGuards.mFairness &&
      state.mQueue.Depth(aRequest.mCaller) >= callerLimit) {
    return RefusalReason::OverShare;
  }
  if (!mOptions.mGuards.mEarlyRefusal) {
    return std::nullopt;
  }
  return EvaluateWait(aRequest, aNow);
}

std::optional<RefusalReason> ReservationAdmission::EvaluateWait(
  const Request& aRequest, Time aNow)
{
  ClassState& state = ClassOf(aRequest);
  const HostView view = View();
  const std::size_t index = aRequest.mClass;
  const std::uint32_t ahead = state.CountAhead(aRequest.mCaller);
  const Duration wait = ExpectedWait(view, index, ahead, aNow);
  if (wait == Duration{}) {
    const Duration run = state.mServiceTimes.Mean(aRequest.mSize);
    const bool inTime = aNow + run <= aRequest.mDeadline;
    if (inTime || TryTakeProbe(state, aNow)) {
      return std::nullopt;
    }
    return RefusalReason::DeadlineUnreachable;
  }
  const Duration tolerated = ToleratedWait(aRequest, aNow);
  if (wait <= tolerated) {
    return std::nullopt;
  }
  return IsBusyCaller(state, aRequest) ? RefusalReason::OverShare
                                       : RefusalReason::DeadlineUnreachable;
}

// True if the caller has more than twice the average number of queued requests
// per caller, so that its own load is the reason for the refusal.
bool ReservationAdmission::IsBusyCaller(const ClassState& aClass,
                                        const Request& aRequest) const
{
  const FairQueue& queue = aClass.mQueue;
  if (!mOptions.mGuards.mFairness || queue.ActiveQueues() < 2) {
    return mOptions.mGuards.mFairness && queue.Size() > 0 &&
           queue.Depth(aRequest.mCaller) == queue.Size();
  }
  return queue.Depth(aRequest.mCaller) * queue.ActiveQueues() >
         2 * queue.Size();
}

// The longest expected wait at which the request is still admitted.
Duration ReservationAdmission::ToleratedWait(const Request& aRequest,
                                             Time aNow) const
{
  const ClassState& state = *mClasses[aRequest.mClass];
  const Duration run = state.mServiceTimes.UpperEstimate(aRequest.mSize);
  const Duration slack = aRequest.mDeadline - aNow - run;
  if (state.mOptions.mMayWait) {
    return std::chrono::duration_cast<Duration>(slack * kMayWaitShare);
  }
  const bool isEmpty = state.mQueue.Size() == 0;
  const bool isStanding =
    !isEmpty && aNow - state.mLastEmptyAt > state.mOptions.mDeadline;
  const bool shorten = mOptions.mGuards.mStandingQueue && isStanding;
  return shorten ? slack / kStandingQueueDivisor : slack;
}

// Estimates change only with answers. If a slow period raised the estimate
// above the deadline, refusing every request would keep it there for good.
bool ReservationAdmission::TryTakeProbe(ClassState& aClass, Time aNow)
{
  if (!mOptions.mGuards.mProbe || aNow < aClass.mNextProbe) {
    return false;
  }
  aClass.mNextProbe = aNow + kProbeInterval;
  return true;
}

void ReservationAdmission::DispatchQueued(Time aNow, Actions& aOut)
{
  mLastEventAt = aNow;
  if (mOptions.mGuards.mEarlyRefusal) {
    RefuseDeadlineUnreachable(aNow, aOut);
  }
  while (HasFreeSlot(aNow)) {
    QueuedRequest* next = TakeNext(aNow);
    if (next == nullptr) {
      return;
    }
    Start(*next, aNow, aOut);
  }
}

// Refuses requests that would miss their deadline even if they started now.
// Running them would take slots from requests that can still succeed, and at
// saturation every answer would be late.
void ReservationAdmission::RefuseDeadlineUnreachable(Time aNow, Actions& aOut)
{
  for (auto& state : mClasses) {
    while (QueuedRequest* it = state->mQueue.EarliestDeadline()) {
      const Request request = it->mRequest;
      const Duration run =
        it->mProbe ? Duration{} : state->mServiceTimes.Mean(request.mSize);
      if (aNow + run <= request.mDeadline) {
        break;
      }
      RemoveQueued(*it);
      Refuse(request, RefusalReason::DeadlineUnreachable, aNow, aOut);
    }
  }
}

// Removes the request to be dispatched next from its queue; null if none may
// start.
QueuedRequest* ReservationAdmission::TakeNext(Time aNow)
{
  if (QueuedRequest* urgent = TakeUrgent(aNow)) {
    return urgent;
  }
  ClassState* state = NextClass();
  if (state == nullptr) {
    return nullptr;
  }
  return state->TakeNext();
}

// Deferrable work starts before more important work once its latest start time
// is near: it was admitted, so it must run. The effect on other classes is
// small, since no more of it is admitted than fits the slots they leave free.
QueuedRequest* ReservationAdmission::TakeUrgent(Time aNow)
{
  const auto free = static_cast<std::uint32_t>(mSlots - mRunning.size());
  for (std::size_t i = 0; i < mClasses.size(); ++i) {
    ClassState& state = *mClasses[i];
    QueuedRequest* it = state.mQueue.EarliestDeadline();
    if (!state.mOptions.mMayWait || it == nullptr) {
      continue;
    }
    const Duration margin =
      kUrgentMarginFactor *
      state.mServiceTimes.UpperEstimate(it->mRequest.mSize);
    const bool isDue = aNow + margin >= it->mRequest.mDeadline;
    if (isDue && MayTakeSlot(mClasses, i, free)) {
      state.mQueue.Remove(*it);
      return it;
    }
  }
  return nullptr;
}

ClassState* ReservationAdmission::NextClass()
{
  const auto free = static_cast<std::uint32_t>(mSlots - mRunning.size());
  ClassState* next = nullptr;
  for (std::size_t i = 0; i < mClasses.size(); ++i) {
    ClassState& state = *mClasses[i];
    if (state.mQueue.Size() == 0 || !MayTakeSlot(mClasses, i, free)) {
      continue;
    }
    if (next == nullptr || HasPrecedence(state, *next)) {
      next = &state;
    }
  }
  return next;
}

bool ReservationAdmission::HasPrecedence(const ClassState& aFirst,
                                         const ClassState& aSecond) const
{
  if (mOptions.mOrder == ClassOrder::Importance) {
    return aFirst.mOptions.mImportance > aSecond.mOptions.mImportance;
  }
  const bool isBelowReservation =
    aFirst.mRunning < aFirst.mOptions.mReservedSlots;
  const bool isOtherBelowReservation =
    aSecond.mRunning < aSecond.mOptions.mReservedSlots;
  if (isBelowReservation != isOtherBelowReservation) {
    return isBelowReservation;
  }
  return aFirst.mWeightedUse < aSecond.mWeightedUse;
}

// A class that was idle starts level with the active classes; with its idle
// time credited, it could hold every slot for as long as it was idle.
void ReservationAdmission::CatchUpShare(ClassState& aClass) const
{
  bool isOnlyActive = true;
  double least = 0;
  for (const auto& it : mClasses) {
    const bool isActive = it->mQueue.Size() > 0 || it->mRunning > 0;
    if (it.get() == &aClass || !isActive) {
      continue;
    }
    least = isOnlyActive ? it->mWeightedUse : std::min(least, it->mWeightedUse);
    isOnlyActive = false;
  }
  aClass.mWeightedUse = std::max(aClass.mWeightedUse, least);
}

// Precondition: aQueued has been removed from its queue.
void ReservationAdmission::Start(const QueuedRequest& aQueued, Time aNow,
                                 Actions& aOut)
{
  const Request request = aQueued.mRequest;
  ClassState& state = ClassOf(request);
  ++state.mRunning;
  const std::chrono::duration<double> run =
    state.mServiceTimes.Mean(request.mSize);
  state.mWeightedUse += run.count() / std::max(state.mOptions.mShare, 1e-6);
  mRunning.push_back(
    { request.mId, request.mClass, request.mSize, aNow, request.mArrival });
  Action action;
  action.mId = request.mId;
  aOut.push_back(action);
  mQueuedRequests.erase(request.mId);
}

} // namespace heatherplank
