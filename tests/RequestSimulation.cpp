#include "tests/RequestSimulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace heatherplank {

namespace {

constexpr double kSigma = 0.5;

FlowKey FlowOf(std::size_t aCaller, std::size_t aId)
{
  FlowKey out;
  for (std::size_t i = 0; i < 4; ++i) {
    out.mCaller.mIp[12 + i] = static_cast<std::uint8_t>(aCaller >> (8 * i));
    out.mService.mIp[12 + i] = static_cast<std::uint8_t>(aId >> (8 * i));
  }
  return out;
}

std::size_t IdOf(const FlowKey& aFlow)
{
  std::size_t out = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    out |= static_cast<std::size_t>(aFlow.mService.mIp[12 + i]) << (8 * i);
  }
  return out;
}

} // namespace

RequestSimulation::RequestSimulation(const RequestLoad& aLoad, bool aSchedules)
  : mByCaller(static_cast<std::size_t>(aLoad.mCallers))
  , mLoad(aLoad)
{
  if (aSchedules) {
    mScheduler.emplace(1);
  }
  mServiceTime.SetInitialEstimate(ToDuration(aLoad.mTargetMs), false);
  ScheduleArrival();
  if (mLoad.mStorms) {
    ScheduleStorm();
  }
  At(kTickMs, [this] { Tick(); });
  while (!mEvents.empty() && mEvents.begin()->first < mLoad.mDurationMs) {
    auto action = std::move(mEvents.begin()->second);
    mNowMs = mEvents.begin()->first;
    mEvents.erase(mEvents.begin());
    action();
  }
}

void RequestSimulation::At(double aMs, std::function<void()> aAction)
{
  mEvents.emplace(aMs, std::move(aAction));
}

Duration RequestSimulation::ToDuration(double aMs)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMs));
}

double RequestSimulation::LoadNow() const
{
  constexpr double kEveryMs = 10000;
  constexpr double kBurstMs = 1000;
  bool isBurst = mLoad.mBurstLoad > 0 && std::fmod(mNowMs, kEveryMs) < kBurstMs;
  return isBurst ? mLoad.mBurstLoad : mLoad.mLoad;
}

void RequestSimulation::ScheduleArrival()
{
  double work = kWorkMs * (1 + mLoad.mLongShare * (kLongFactor - 1));
  std::exponential_distribution<double> gap(LoadNow() * mLoad.mSlots / work);
  At(mNowMs + gap(mRandom), [this] {
    Send(MakeRequest());
    ScheduleArrival();
  });
}

void RequestSimulation::ScheduleStorm()
{
  constexpr double kEveryMs = 10000;
  constexpr int kWithinMs = 10;
  for (int i = 0; i < mLoad.mCallers; ++i) {
    At(mNowMs + static_cast<double>(mRandom() % kWithinMs),
       [this] { Send(MakeRequest()); });
  }
  At(mNowMs + kEveryMs, [this] { ScheduleStorm(); });
}

void RequestSimulation::Tick()
{
  DeliverHeld();
  At(mNowMs + kTickMs, [this] { Tick(); });
}

RequestSimulation::Request RequestSimulation::MakeRequest()
{
  std::uniform_real_distribution<double> fraction;
  std::lognormal_distribution<double> work(
    std::log(kWorkMs) - kSigma * kSigma / 2, kSigma);
  Request out;
  auto busy = static_cast<std::size_t>(mLoad.mBusyCallers);
  bool isBusy = busy > 0 && fraction(mRandom) < 0.5;
  std::uniform_int_distribution<std::size_t> caller(
    isBusy ? 0 : busy, (isBusy ? busy : mByCaller.size()) - 1);
  out.mCaller = caller(mRandom);
  out.mImportant = fraction(mRandom) < mLoad.mImportantShare;
  double factor = fraction(mRandom) < mLoad.mLongShare ? kLongFactor : 1;
  out.mWorkMs = work(mRandom) * factor;
  out.mTargetMs = mLoad.mTargetMs * factor;
  return out;
}

void RequestSimulation::Send(Request aRequest)
{
  aRequest.mArrivalMs = mNowMs;
  ++TallyOf(aRequest).mSent;
  ++mByCaller[aRequest.mCaller].mSent;
  std::size_t id = mNextId++;
  mRequests[id] = aRequest;
  if (!mScheduler || !mScheduler->MustWait(
                       Condition(), ToDuration(aRequest.mTargetMs), Now())) {
    ToHost(id);
    return;
  }
  RequestScheduler::Packet packet;
  FlowKey flow = FlowOf(aRequest.mCaller, id);
  packet.mHeader.mSource = flow.mCaller;
  packet.mHeader.mDestination = flow.mService;
  packet.mSteered.mImportance =
    aRequest.mImportant ? Importance::High : Importance::Normal;
  packet.mSteered.mLatencyTarget = ToDuration(aRequest.mTargetMs);
  if (mScheduler->Hold(packet, Now()) == RequestScheduler::Outcome::NoRoom) {
    ToHost(id);
  }
  DeliverHeld();
}

HostCondition RequestSimulation::Condition() const
{
  HostCondition out;
  out.mSlots = mLoad.mSlots;
  out.mInProgress = mInProgress;
  out.mServiceTime = mServiceTime.Get();
  return out;
}

void RequestSimulation::DeliverHeld(HostEvent aEvent)
{
  while (mScheduler) {
    auto next = mScheduler->Next(Condition(),
                                 std::exchange(aEvent, HostEvent::None), Now());
    if (!next) {
      return;
    }
    ToHost(IdOf(next->mFlow));
  }
}

void RequestSimulation::ToHost(std::size_t aId)
{
  mRequests[aId].mAhead = mInProgress++;
  mRequests[aId].mDeliveredMs = mNowMs;
  At(mNowMs + kHopMs, [this, aId] {
    constexpr std::size_t kPlacesPerSlot = 4;
    if (mBusySlots < mLoad.mSlots) {
      Start(aId);
    } else if (mQueue.size() < kPlacesPerSlot * mLoad.mSlots) {
      mQueue.push_back(aId);
    } else {
      At(mNowMs + kHopMs, [this, aId] { End(aId, true); });
    }
  });
}

void RequestSimulation::Start(std::size_t aId)
{
  ++mBusySlots;
  At(mNowMs + mRequests[aId].mWorkMs, [this, aId] {
    --mBusySlots;
    At(mNowMs + kHopMs, [this, aId] { End(aId, false); });
    if (!mQueue.empty()) {
      std::size_t next = mQueue.front();
      mQueue.erase(mQueue.begin());
      Start(next);
    }
  });
}

void RequestSimulation::End(std::size_t aId, bool aRejected)
{
  const Request request = mRequests[aId];
  mRequests.erase(aId);
  --mInProgress;
  if (!aRejected) {
    mServiceTime.RecordAnswer(ToDuration(mNowMs - request.mDeliveredMs),
                              request.mAhead, mLoad.mSlots);
  }
  double took = mNowMs - request.mArrivalMs + kNetworkMs;
  if (!aRejected && took <= request.mTargetMs) {
    ++TallyOf(request).mInTime;
    ++mByCaller[request.mCaller].mInTime;
  }
  if (aRejected && mLoad.mStorms && request.mRepeats < 2) {
    constexpr double kRepeatAfterMs = 400;
    Request repeated = request;
    ++repeated.mRepeats;
    At(mNowMs + kRepeatAfterMs, [this, repeated] { Send(repeated); });
  }
  DeliverHeld(aRejected ? HostEvent::Rejected : HostEvent::Answered);
}

RequestTally& RequestSimulation::TallyOf(const Request& aRequest)
{
  return aRequest.mImportant ? mImportant : mOthers;
}

double RequestSimulation::CallerShare(double aPart) const
{
  std::vector<double> shares;
  for (auto i = static_cast<std::size_t>(mLoad.mBusyCallers);
       i < mByCaller.size(); ++i) {
    shares.push_back(mByCaller[i].Share());
  }
  std::ranges::sort(shares);
  shares.resize(static_cast<std::size_t>(
    std::max(1.0, static_cast<double>(shares.size()) * aPart)));
  return std::accumulate(shares.begin(), shares.end(), 0.0) /
         static_cast<double>(shares.size());
}

} // namespace heatherplank
