#include "src/decide/ReservationAdmission.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

using namespace std::chrono_literals;

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
  mSeenAt = aNow;
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

bool ReservationAdmission::OnCancel(RequestId aId, Time aNow, Actions& /*aOut*/)
{
  mSeenAt = aNow;
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

void ReservationAdmission::OnOptions(const AdmissionOptions& aOptions,
                                     Time aNow, Actions& aOut)
{
  const auto waiting = TakeAllWaiting();
  const auto newIndex = ReplaceClasses(aOptions);
  for (Waiting* it : waiting) {
    it->mRequest.mClass = newIndex[it->mRequest.mClass];
    ClassOf(it->mRequest).mQueue.Push(*it);
  }
  for (auto& it : mRunning) {
    it.mClass = newIndex[it.mClass];
    ++mClasses[it.mClass]->mRunning;
  }
  BoundReservations();
  Fill(aNow, aOut);
}

void ReservationAdmission::OnPeers(std::span<const Candidate> aPeers, Time aNow,
                                   Actions& aOut)
{
  mSeenAt = aNow;
  mHandOn.SetPeers(aPeers, aNow);
  MoveToLighter(aNow, aOut);
}

void ReservationAdmission::OnDrain(Time aNow, Actions& aOut)
{
  mSeenAt = aNow;
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

std::vector<Waiting*> ReservationAdmission::TakeAllWaiting()
{
  std::vector<Waiting*> all;
  for (auto& state : mClasses) {
    for (Waiting* it : state->mQueue.InOrder()) {
      state->mQueue.Remove(*it);
      all.push_back(it);
    }
  }
  return all;
}

// Gives the new index of each class. What was learned of a class that stays is
// kept; it would be cold otherwise at every change of a rule.
std::vector<std::uint16_t> ReservationAdmission::ReplaceClasses(
  const AdmissionOptions& aOptions)
{
  auto old = std::move(mClasses);
  mClasses.clear();
  mOptions = aOptions;
  const auto last = static_cast<std::uint16_t>(aOptions.mClasses.size() - 1);
  std::vector<std::uint16_t> newIndex(old.size(), last);
  std::uint64_t seed = aOptions.mSeed;
  for (std::uint16_t i = 0; i <= last; ++i) {
    const ClassOptions& wanted = aOptions.mClasses[i];
    auto made = std::make_unique<ClassState>(wanted, aOptions.mGuards, ++seed);
    for (std::size_t k = 0; k < old.size(); ++k) {
      if (old[k]->mOptions.mName == wanted.mName) {
        newIndex[k] = i;
        made->Learn(*old[k]);
      }
    }
    mClasses.push_back(std::move(made));
  }
  return newIndex;
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

void ReservationAdmission::Forget(Waiting& aWaiting)
{
  const RequestId id = aWaiting.mRequest.mId;
  ClassOf(aWaiting.mRequest).mQueue.Remove(aWaiting);
  mWaiting.erase(id);
}

} // namespace heatherplank
