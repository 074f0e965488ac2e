#include "src/decide/ReservationAdmission.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

using namespace std::chrono_literals;

// How often what waits is looked at again. A caller can't tell an answer after
// 50 ms from one at once, and the look costs some microseconds.
constexpr Duration kReviewEvery = 50ms;
constexpr Duration kLeastSleep = 1ms;
// Pauses after a backend server shed: from about one service time up to what
// it takes a server to recover from garbage collection or a cache refill.
constexpr Duration kFirstPause = 10ms;
constexpr std::uint32_t kMostDoublings = 6;
// Weight of one more answer in the figures for other hosts.
constexpr int kLatencyShare = 8;
constexpr double kFailingShare = 0.125;
// Answers in the mean service time: short and long work are mixed, and over 64
// answers the mix is that of the other hosts.
constexpr std::uint32_t kServiceCount = 64;
constexpr Duration kForgetAfter = 1s;

} // namespace

ReservationAdmission::ReservationAdmission(const AdmissionOptions& aOptions)
  : mOptions(aOptions)
  , mSlots(aOptions.mSlots)
  , mHandOn(aOptions.mGuards.mHandOnHysteresis)
{
  std::uint64_t seed = aOptions.mSeed;
  for (const auto& it : mOptions.mClasses) {
    mClasses.push_back(
      std::make_unique<ClassState>(it, mOptions.mGuards, ++seed));
  }
  mRunning.reserve(mSlots);
  BoundReservations();
}

ReservationAdmission::~ReservationAdmission()
{
  for (auto& [id, it] : mWaiting) {
    ClassOf(it.mRequest).mQueue.Remove(it);
  }
}

void ReservationAdmission::OnRequest(const Request& aRequest, Time aNow,
                                     Actions& aOut)
{
  if (auto reason = Judge(aRequest, aNow)) {
    GiveUp(aRequest, *reason, aNow, aOut);
    return;
  }
  ClassState& state = ClassOf(aRequest);
  if (state.mQueue.Size() == 0) {
    state.mEmptyAt = aNow;
    JoinShares(state);
  }
  Waiting& waiting = mWaiting[aRequest.mId];
  waiting.mRequest = aRequest;
  const Duration mean = state.mTimes.Mean(aRequest.mSize);
  waiting.mProbe = aNow + mean > aRequest.mDeadline;
  state.mQueue.Push(waiting);
  Fill(aNow, aOut);
}

void ReservationAdmission::OnDone(RequestId aId, RunResult aResult,
                                  Duration aServiceTime, Time aNow,
                                  Actions& aOut)
{
  auto it = std::ranges::find(mRunning, aId, &RunningSlot::mId);
  if (it == mRunning.end()) {
    return;
  }
  const RunningSlot slot = *it;
  *it = mRunning.back();
  mRunning.pop_back();
  --mClasses[slot.mClass]->mRunning;
  NoteResult(slot, aResult, aServiceTime, aNow);
  Fill(aNow, aOut);
}

bool ReservationAdmission::OnCancel(RequestId aId, Time /*aNow*/,
                                    Actions& /*aOut*/)
{
  auto it = mWaiting.find(aId);
  if (it == mWaiting.end()) {
    return false;
  }
  Forget(it->second);
  return true;
}

void ReservationAdmission::OnSlots(std::uint32_t aSlots, Time aNow,
                                   Actions& aOut)
{
  mSlots = aSlots;
  BoundReservations();
  Fill(aNow, aOut);
}

void ReservationAdmission::OnPeers(std::span<const Candidate> aPeers, Time aNow,
                                   Actions& aOut)
{
  mHandOn.SetPeers(aPeers, aNow);
  MoveToLighter(aNow, aOut);
}

void ReservationAdmission::OnDrain(Time aNow, Actions& aOut)
{
  mDraining = true;
  for (auto& state : mClasses) {
    for (Waiting* it : state->mQueue.InOrder()) {
      const Request request = it->mRequest;
      Forget(*it);
      GiveUp(request, RefusalReason::Draining, aNow, aOut);
    }
  }
}

void ReservationAdmission::OnTick(Time aNow, Actions& aOut)
{
  Fill(aNow, aOut);
  Review(aNow, aOut);
}

// Never before the next millisecond: a moment that has passed, with nothing to
// be done in it, would have the driver call OnTick in a circle.
std::optional<Time> ReservationAdmission::NextWakeUp() const
{
  if (mWaiting.empty()) {
    return std::nullopt;
  }
  Time next = mNextReview;
  if (mPausedUntil > mSeenAt) {
    next = std::min(next, mPausedUntil);
  }
  for (const auto& state : mClasses) {
    if (const Waiting* it = state->mQueue.Earliest()) {
      const Duration mean = state->mTimes.Mean(it->mRequest.mSize);
      next = std::min(next, it->mRequest.mDeadline - mean + Duration(1));
    }
  }
  return std::max(next, mSeenAt + kLeastSleep);
}

HostLoad ReservationAdmission::Load() const
{
  HostLoad load;
  load.mQueued = static_cast<std::uint32_t>(mWaiting.size());
  load.mBusy = static_cast<std::uint32_t>(mRunning.size());
  load.mSlots = mSlots;
  load.mLatency = mLatency;
  load.mServiceTime = mServiceTime;
  load.mFailing = mFailing;
  load.mResults = mResults;
  return load;
}

HostView ReservationAdmission::View() const
{
  return { mClasses, mRunning, std::max(1U, mSlots), mOptions.mOrder,
           mPausedUntil };
}

bool ReservationAdmission::HasFreeSlot(Time aNow) const
{
  return mRunning.size() < mSlots && aNow >= mPausedUntil;
}

double ReservationAdmission::LoadPerSlotNow() const
{
  return LoadPerSlot(Load());
}

// Reservations that took every slot would shut long work out for good; one
// slot is left to all, so that what was accepted comes to run.
void ReservationAdmission::BoundReservations()
{
  std::uint32_t left = mSlots > 1 ? mSlots - 1 : 0;
  for (std::size_t i = 0; i < mClasses.size(); ++i) {
    const ClassOptions& wanted = mOptions.mClasses[i];
    ClassOptions& granted = mClasses[i]->mOptions;
    const bool isOn = mOptions.mGuards.mReservation;
    granted.mReservedSlots = isOn ? std::min(wanted.mReservedSlots, left) : 0;
    granted.mSlotLimit = isOn ? wanted.mSlotLimit : 0;
    left -= granted.mReservedSlots;
  }
}

void ReservationAdmission::NoteResult(const RunningSlot& aSlot,
                                      RunResult aResult, Duration aServiceTime,
                                      Time aNow)
{
  ClassState& state = *mClasses[aSlot.mClass];
  state.mUse.Add(aNow - aSlot.mSince, aNow);
  state.mLongUse.Add(aNow - aSlot.mSince, aNow);
  switch (aResult) {
    case RunResult::Answered:
      ++mResults;
      mPausesInARow = 0;
      state.mTimes.Observe(aSlot.mSize, aServiceTime);
      NoteServiceTime(aServiceTime, aNow);
      mLatency += (aNow - aSlot.mArrival - mLatency) / kLatencyShare;
      mFailing -= mFailing * kFailingShare;
      break;
    case RunResult::TimedOut:
      state.mTimes.ObserveAtLeast(aSlot.mSize, aServiceTime);
      NoteServiceTime(aServiceTime, aNow);
      NoteFailure();
      break;
    case RunResult::Failed:
      // A quick error says nothing of how long an answer takes.
      NoteFailure();
      break;
    case RunResult::Unreachable:
      NoteFailure();
      Pause(aNow);
      break;
    case RunResult::Shed:
      Pause(aNow);
      break;
    case RunResult::Abandoned:
      break;
  }
}

// After a pause the mean begins anew: a host that was slow, and was held out
// for it, would otherwise drag its old mean along and never come back.
void ReservationAdmission::NoteServiceTime(Duration aTime, Time aNow)
{
  if (aNow - mServiceSeenAt > kForgetAfter) {
    mServiceCount = 0;
    mServiceTime = {};
  }
  mServiceSeenAt = aNow;
  mServiceCount = std::min(mServiceCount + 1, kServiceCount);
  mServiceTime += (aTime - mServiceTime) / mServiceCount;
}

void ReservationAdmission::NoteFailure()
{
  ++mResults;
  mFailing += (1 - mFailing) * kFailingShare;
}

void ReservationAdmission::Pause(Time aNow)
{
  const std::uint32_t doublings = std::min(mPausesInARow, kMostDoublings);
  mPausedUntil = aNow + kFirstPause * (1U << doublings);
  ++mPausesInARow;
}

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

void ReservationAdmission::Forget(Waiting& aWaiting)
{
  const RequestId id = aWaiting.mRequest.mId;
  ClassOf(aWaiting.mRequest).mQueue.Remove(aWaiting);
  mWaiting.erase(id);
}

} // namespace heatherplank
