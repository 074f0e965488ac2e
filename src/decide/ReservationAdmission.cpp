#include "src/decide/ReservationAdmission.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

using namespace std::chrono_literals;

constexpr Duration kMinSleep = 1ms;
// Pauses after a backend server shed a request: from about one service time up
// to the time a server needs to recover from garbage collection or a cache
// refill.
constexpr Duration kInitialBackoff = 10ms;
constexpr std::uint32_t kMaxDoublings = 6;
// Weight of one answer in the moving averages that are reported to other hosts.
constexpr int kLatencyDivisor = 8;
constexpr double kFailureWeight = 0.125;
// Answers in the mean service time. Classes mix short and long work; over 64
// answers the mix matches that of the other hosts.
constexpr std::uint32_t kMaxServiceCount = 64;
constexpr Duration kServiceTimeExpiry = 1s;

} // namespace

ReservationAdmission::ReservationAdmission(const AdmissionOptions& aOptions)
  : mOptions(aOptions)
  , mSlots(aOptions.mSlots)
  , mForwardPlanner(aOptions.mGuards.mForwardHysteresis)
{
  std::uint64_t seed = aOptions.mSeed;
  for (const auto& it : mOptions.mClasses) {
    mClasses.push_back(
      std::make_unique<ClassState>(it, mOptions.mGuards, ++seed));
  }
  mRunning.reserve(mSlots);
  LimitReservations();
}

ReservationAdmission::~ReservationAdmission()
{
  for (auto& [id, it] : mQueuedRequests) {
    ClassOf(it.mRequest).mQueue.Remove(it);
  }
}

void ReservationAdmission::OnRequest(const Request& aRequest, Time aNow,
                                     Actions& aOut)
{
  mLastEventAt = aNow;
  if (auto reason = EvaluateRequest(aRequest, aNow)) {
    ForwardOrRefuse(aRequest, *reason, aNow, aOut);
    return;
  }
  ClassState& state = ClassOf(aRequest);
  if (state.mQueue.Size() == 0) {
    state.mLastEmptyAt = aNow;
    CatchUpShare(state);
  }
  QueuedRequest& queued = mQueuedRequests[aRequest.mId];
  queued.mRequest = aRequest;
  const Duration mean = state.mServiceTimes.Mean(aRequest.mSize);
  queued.mProbe = aNow + mean > aRequest.mDeadline;
  state.mQueue.Push(queued);
  DispatchQueued(aNow, aOut);
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
  RecordResult(slot, aResult, aServiceTime, aNow);
  DispatchQueued(aNow, aOut);
}

bool ReservationAdmission::OnCancel(RequestId aId, Time aNow, Actions& /*aOut*/)
{
  mLastEventAt = aNow;
  auto it = mQueuedRequests.find(aId);
  if (it == mQueuedRequests.end()) {
    return false;
  }
  RemoveQueued(it->second);
  return true;
}

void ReservationAdmission::OnSlots(std::uint32_t aSlots, Time aNow,
                                   Actions& aOut)
{
  mSlots = aSlots;
  LimitReservations();
  DispatchQueued(aNow, aOut);
}

void ReservationAdmission::OnOptions(const AdmissionOptions& aOptions,
                                     Time aNow, Actions& aOut)
{
  const auto queued = TakeAllQueued();
  const auto newIndex = ReplaceClasses(aOptions);
  for (QueuedRequest* it : queued) {
    it->mRequest.mClass = newIndex[it->mRequest.mClass];
    ClassOf(it->mRequest).mQueue.Push(*it);
  }
  for (auto& it : mRunning) {
    it.mClass = newIndex[it.mClass];
    ++mClasses[it.mClass]->mRunning;
  }
  LimitReservations();
  DispatchQueued(aNow, aOut);
}

void ReservationAdmission::OnPeers(std::span<const Candidate> aPeers, Time aNow,
                                   Actions& aOut)
{
  mLastEventAt = aNow;
  mForwardPlanner.SetPeers(aPeers, aNow);
  ForwardToLessLoaded(aNow, aOut);
}

void ReservationAdmission::OnDrain(Time aNow, Actions& aOut)
{
  mLastEventAt = aNow;
  mDraining = true;
  for (auto& state : mClasses) {
    for (QueuedRequest* it : state->mQueue.InOrder()) {
      const Request request = it->mRequest;
      RemoveQueued(*it);
      ForwardOrRefuse(request, RefusalReason::Draining, aNow, aOut);
    }
  }
}

void ReservationAdmission::OnTick(Time aNow, Actions& aOut)
{
  DispatchQueued(aNow, aOut);
  Review(aNow, aOut);
}

// Never earlier than the next millisecond: a time in the past with nothing due
// would make the driver call OnTick in a busy loop.
std::optional<Time> ReservationAdmission::NextWakeUp() const
{
  if (mQueuedRequests.empty()) {
    return std::nullopt;
  }
  Time next = mNextReview;
  if (mPausedUntil > mLastEventAt) {
    next = std::min(next, mPausedUntil);
  }
  for (const auto& state : mClasses) {
    if (const QueuedRequest* it = state->mQueue.EarliestDeadline()) {
      const Duration mean = state->mServiceTimes.Mean(it->mRequest.mSize);
      next = std::min(next, it->mRequest.mDeadline - mean + Duration(1));
    }
  }
  return std::max(next, mLastEventAt + kMinSleep);
}

HostLoad ReservationAdmission::Load() const
{
  HostLoad load;
  load.mQueued = static_cast<std::uint32_t>(mQueuedRequests.size());
  load.mBusy = static_cast<std::uint32_t>(mRunning.size());
  load.mSlots = mSlots;
  load.mLatency = mLatency;
  load.mServiceTime = mServiceTime;
  load.mFailureRate = mFailing;
  load.mResultCount = mResults;
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

double ReservationAdmission::CurrentLoadPerSlot() const
{
  return LoadPerSlot(Load());
}

// Reservations for every slot would lock out long work for good. One slot
// always stays unreserved, so that admitted work gets to run.
void ReservationAdmission::LimitReservations()
{
  std::uint32_t left = mSlots > 1 ? mSlots - 1 : 0;
  for (std::size_t i = 0; i < mClasses.size(); ++i) {
    const ClassOptions& requested = mOptions.mClasses[i];
    ClassOptions& granted = mClasses[i]->mOptions;
    const bool isOn = mOptions.mGuards.mReservation;
    granted.mReservedSlots =
      isOn ? std::min(requested.mReservedSlots, left) : 0;
    granted.mSlotLimit = isOn ? requested.mSlotLimit : 0;
    left -= granted.mReservedSlots;
  }
}

std::vector<QueuedRequest*> ReservationAdmission::TakeAllQueued()
{
  std::vector<QueuedRequest*> all;
  for (auto& state : mClasses) {
    for (QueuedRequest* it : state->mQueue.InOrder()) {
      state->mQueue.Remove(*it);
      all.push_back(it);
    }
  }
  return all;
}

// Returns the new index of each old class. Classes that remain keep their
// observations; otherwise each change of a rule would reset the estimates.
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
    const ClassOptions& requested = aOptions.mClasses[i];
    auto replacement =
      std::make_unique<ClassState>(requested, aOptions.mGuards, ++seed);
    for (std::size_t k = 0; k < old.size(); ++k) {
      if (old[k]->mOptions.mName == requested.mName) {
        newIndex[k] = i;
        replacement->CopyObservations(*old[k]);
      }
    }
    mClasses.push_back(std::move(replacement));
  }
  return newIndex;
}

void ReservationAdmission::RecordResult(const RunningSlot& aSlot,
                                        RunResult aResult,
                                        Duration aServiceTime, Time aNow)
{
  ClassState& state = *mClasses[aSlot.mClass];
  state.mRecentUse.Add(aNow - aSlot.mStartedAt, aNow);
  state.mLongTermUse.Add(aNow - aSlot.mStartedAt, aNow);
  switch (aResult) {
    case RunResult::Answered:
      ++mResults;
      mPausesInARow = 0;
      state.mServiceTimes.Observe(aSlot.mSize, aServiceTime);
      RecordServiceTime(aServiceTime, aNow);
      mLatency += (aNow - aSlot.mArrival - mLatency) / kLatencyDivisor;
      mFailing -= mFailing * kFailureWeight;
      break;
    case RunResult::TimedOut:
      state.mServiceTimes.ObserveAtLeast(aSlot.mSize, aServiceTime);
      RecordServiceTime(aServiceTime, aNow);
      RecordFailure();
      break;
    case RunResult::Failed:
      // A quick error carries no information about the time of an answer.
      RecordFailure();
      break;
    case RunResult::Unreachable:
      RecordFailure();
      Pause(aNow);
      break;
    case RunResult::Shed:
      Pause(aNow);
      break;
    case RunResult::Abandoned:
      break;
  }
}

// The mean restarts after a second without results. Otherwise the old mean of a
// host that was ejected for slowness would persist and keep the host ejected.
void ReservationAdmission::RecordServiceTime(Duration aTime, Time aNow)
{
  if (aNow - mLastServiceAt > kServiceTimeExpiry) {
    mServiceCount = 0;
    mServiceTime = {};
  }
  mLastServiceAt = aNow;
  mServiceCount = std::min(mServiceCount + 1, kMaxServiceCount);
  mServiceTime += (aTime - mServiceTime) / mServiceCount;
}

void ReservationAdmission::RecordFailure()
{
  ++mResults;
  mFailing += (1 - mFailing) * kFailureWeight;
}

void ReservationAdmission::Pause(Time aNow)
{
  const std::uint32_t doublings = std::min(mPausesInARow, kMaxDoublings);
  mPausedUntil = aNow + kInitialBackoff * (1U << doublings);
  ++mPausesInARow;
}

void ReservationAdmission::RemoveQueued(QueuedRequest& aQueued)
{
  const RequestId id = aQueued.mRequest.mId;
  ClassOf(aQueued.mRequest).mQueue.Remove(aQueued);
  mQueuedRequests.erase(id);
}

} // namespace heatherplank
