#include "src/decide/ReservationAdmission.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

using namespace std::chrono_literals;

// A lane holds at most twice the room that is left: one busy caller alone gets
// two thirds of the queue, and there is always room for another caller.
constexpr std::uint32_t kLaneShare = 2;
// What is tolerated of the time left, once a queue did not empty for a whole
// deadline. A burst of which all can be answered in time is gone by then; what
// is left is more than the slots can serve, and a longer queue would make
// every answer later and not one more of them.
constexpr int kStandingShare = 4;
// Work that may wait is let in for three quarters of its time: it must not be
// lost if what goes before it grows.
constexpr double kMayWaitShare = 0.75;
// How long before its deadline work that may wait goes first, in times that
// nineteen of twenty answers come within: slots have to come free for it, and
// with lengths by the exponential law, one in 700 still took longer than two.
constexpr int kUrgentMargin = 4;
// How often hopeless work may be tried. Four a second are at most a tenth of
// what two slots of 50 ms serve, and a host that has recovered is known again
// within twenty answers.
constexpr Duration kProbeEvery = 250ms;

// Work that may wait and that another host let in: to refuse it here for want
// of room would break what that host promised. It runs at its latest start, as
// it would have there.
bool IsPromised(const ClassState& aClass, const Request& aRequest)
{
  return aClass.mOptions.mMayWait && aRequest.mHops > 0;
}

} // namespace

std::optional<RefusalReason> ReservationAdmission::Judge(
  const Request& aRequest, Time aNow)
{
  if (mDraining || mSlots == 0) {
    return mDraining ? RefusalReason::Draining : RefusalReason::NoHost;
  }
  const ClassState& state = ClassOf(aRequest);
  const Duration run = state.mTimes.Mean(aRequest.mSize);
  if (IsPromised(state, aRequest) && aNow + run <= aRequest.mDeadline) {
    return std::nullopt;
  }
  const std::uint32_t size = state.mQueue.Size();
  const std::uint32_t limit = state.mOptions.mQueueLimit;
  if (size >= limit) {
    return RefusalReason::QueueFull;
  }
  const std::uint32_t lane = std::max(1U, kLaneShare * (limit - size));
  if (mOptions.mGuards.mFairness &&
      state.mQueue.Depth(aRequest.mCaller) >= lane) {
    return RefusalReason::OverShare;
  }
  if (!mOptions.mGuards.mEarlyRefusal) {
    return std::nullopt;
  }
  return JudgeWait(aRequest, aNow);
}

std::optional<RefusalReason> ReservationAdmission::JudgeWait(
  const Request& aRequest, Time aNow)
{
  ClassState& state = ClassOf(aRequest);
  const HostView view = View();
  const std::size_t index = aRequest.mClass;
  const std::uint32_t ahead = state.Ahead(aRequest.mCaller);
  const Duration wait = ExpectedWait(view, index, ahead, aNow);
  if (wait == Duration{}) {
    const Duration run = state.mTimes.Mean(aRequest.mSize);
    const bool inTime = aNow + run <= aRequest.mDeadline;
    if (inTime || TakeProbe(state, aNow)) {
      return std::nullopt;
    }
    return RefusalReason::DeadlineUnreachable;
  }
  const Duration tolerated = Tolerated(aRequest, aNow);
  if (wait <= tolerated) {
    return std::nullopt;
  }
  return IsBusyCaller(state, aRequest) ? RefusalReason::OverShare
                                       : RefusalReason::DeadlineUnreachable;
}

// True if the caller has more than twice as much waiting as callers have on
// average, so that it is refused for its own work rather than for the others'.
bool ReservationAdmission::IsBusyCaller(const ClassState& aClass,
                                        const Request& aRequest) const
{
  const FairQueue& queue = aClass.mQueue;
  if (!mOptions.mGuards.mFairness || queue.Lanes() < 2) {
    return mOptions.mGuards.mFairness && queue.Size() > 0 &&
           queue.Depth(aRequest.mCaller) == queue.Size();
  }
  return queue.Depth(aRequest.mCaller) * queue.Lanes() > 2 * queue.Size();
}

// How long the request may wait and still be let in.
Duration ReservationAdmission::Tolerated(const Request& aRequest,
                                         Time aNow) const
{
  const ClassState& state = *mClasses[aRequest.mClass];
  const Duration run = state.mTimes.High(aRequest.mSize);
  const Duration slack = aRequest.mDeadline - aNow - run;
  if (state.mOptions.mMayWait) {
    return std::chrono::duration_cast<Duration>(slack * kMayWaitShare);
  }
  const bool isEmpty = state.mQueue.Size() == 0;
  const bool stands =
    !isEmpty && aNow - state.mEmptyAt > state.mOptions.mDeadline;
  const bool shorten = mOptions.mGuards.mStandingQueue && stands;
  return shorten ? slack / kStandingShare : slack;
}

// An estimate changes only by answers. If a slow spell put it above the
// deadline and everything were refused, it would stay there for good.
bool ReservationAdmission::TakeProbe(ClassState& aClass, Time aNow)
{
  if (!mOptions.mGuards.mProbe || aNow < aClass.mNextProbe) {
    return false;
  }
  aClass.mNextProbe = aNow + kProbeEvery;
  return true;
}

void ReservationAdmission::Fill(Time aNow, Actions& aOut)
{
  mSeenAt = aNow;
  if (mOptions.mGuards.mEarlyRefusal) {
    RefuseHopeless(aNow, aOut);
  }
  while (HasFreeSlot(aNow)) {
    Waiting* next = TakeNext(aNow);
    if (next == nullptr) {
      return;
    }
    Start(*next, aNow, aOut);
  }
}

// What can't be answered in time any more, even if it started now. Run all the
// same, it would take a slot from work that still can, and at saturation every
// answer would come too late.
void ReservationAdmission::RefuseHopeless(Time aNow, Actions& aOut)
{
  for (auto& state : mClasses) {
    while (Waiting* it = state->mQueue.Earliest()) {
      const Request request = it->mRequest;
      const Duration run =
        it->mProbe ? Duration{} : state->mTimes.Mean(request.mSize);
      if (aNow + run <= request.mDeadline) {
        break;
      }
      Forget(*it);
      Refuse(request, RefusalReason::DeadlineUnreachable, aNow, aOut);
    }
  }
}

// Takes what starts next out of its queue; null if nothing may start.
Waiting* ReservationAdmission::TakeNext(Time aNow)
{
  if (Waiting* urgent = TakeUrgent(aNow)) {
    return urgent;
  }
  ClassState* state = NextClass();
  if (state == nullptr) {
    return nullptr;
  }
  return state->TakeNext();
}

// Work that may wait starts before more important work once its latest start
// is near: it was let in, so it must not be lost. It can't hurt others much,
// since the door let in no more than the slots that they leave.
Waiting* ReservationAdmission::TakeUrgent(Time aNow)
{
  const auto free = static_cast<std::uint32_t>(mSlots - mRunning.size());
  for (std::size_t i = 0; i < mClasses.size(); ++i) {
    ClassState& state = *mClasses[i];
    Waiting* it = state.mQueue.Earliest();
    if (!state.mOptions.mMayWait || it == nullptr) {
      continue;
    }
    const Duration margin =
      kUrgentMargin * state.mTimes.High(it->mRequest.mSize);
    const bool isNear = aNow + margin >= it->mRequest.mDeadline;
    if (isNear && MayTakeSlot(mClasses, i, free)) {
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
    if (next == nullptr || GoesFirst(state, *next)) {
      next = &state;
    }
  }
  return next;
}

bool ReservationAdmission::GoesFirst(const ClassState& aFirst,
                                     const ClassState& aSecond) const
{
  if (mOptions.mOrder == ClassOrder::Importance) {
    return aFirst.mOptions.mImportance > aSecond.mOptions.mImportance;
  }
  const bool isOwed = aFirst.mRunning < aFirst.mOptions.mReservedSlots;
  const bool isOtherOwed = aSecond.mRunning < aSecond.mOptions.mReservedSlots;
  if (isOwed != isOtherOwed) {
    return isOwed;
  }
  return aFirst.mTaken < aSecond.mTaken;
}

// A class that wanted nothing for a while starts level with the others; were
// its idle time saved up, it could then hold every slot for as long.
void ReservationAdmission::JoinShares(ClassState& aClass) const
{
  bool isAlone = true;
  double least = 0;
  for (const auto& it : mClasses) {
    const bool wants = it->mQueue.Size() > 0 || it->mRunning > 0;
    if (it.get() == &aClass || !wants) {
      continue;
    }
    least = isAlone ? it->mTaken : std::min(least, it->mTaken);
    isAlone = false;
  }
  aClass.mTaken = std::max(aClass.mTaken, least);
}

// Precondition: taken out of its queue.
void ReservationAdmission::Start(const Waiting& aWaiting, Time aNow,
                                 Actions& aOut)
{
  const Request request = aWaiting.mRequest;
  ClassState& state = ClassOf(request);
  ++state.mRunning;
  const std::chrono::duration<double> run = state.mTimes.Mean(request.mSize);
  state.mTaken += run.count() / std::max(state.mOptions.mShare, 1e-6);
  mRunning.push_back(
    { request.mId, request.mClass, request.mSize, aNow, request.mArrival });
  Action action;
  action.mId = request.mId;
  aOut.push_back(action);
  mWaiting.erase(request.mId);
}

} // namespace heatherplank
