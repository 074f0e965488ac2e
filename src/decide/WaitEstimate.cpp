#include "src/decide/WaitEstimate.h"

#include <algorithm>

#include <boost/container/small_vector.hpp>

namespace heatherplank {

namespace {

constexpr double kMinSlots = 0.05;
constexpr int kMinRemainingDivisor = 4;

using Nanoseconds = std::chrono::duration<double, std::nano>;

bool HasHigherPriority(const ClassState& aFirst, const ClassState& aSecond)
{
  return aFirst.mOptions.mImportance > aSecond.mOptions.mImportance;
}

bool HasSamePriority(const ClassState& aFirst, const ClassState& aSecond)
{
  return &aFirst != &aSecond &&
         aFirst.mOptions.mImportance == aSecond.mOptions.mImportance;
}

double ExpectedWork(const ClassState& aClass, std::uint32_t aCount)
{
  return static_cast<double>(aClass.mServiceTimes.Mean().count()) * aCount;
}

// The remaining time of a running request by the mean of its class, at least a
// quarter of it: a request that exceeded the mean isn't about to end.
double RemainingWork(const HostView& aHost, const RunningSlot& aSlot, Time aNow)
{
  const Duration mean =
    aHost.mClasses[aSlot.mClass]->mServiceTimes.Mean(aSlot.mSize);
  const Duration left = mean - (aNow - aSlot.mStartedAt);
  return static_cast<double>(
    std::max(left, mean / kMinRemainingDivisor).count());
}

// How long from now until the slots have completed aWork, if each slot works on
// it from the end of the slot's running request. One long request occupies its
// own slot only; averaged over all slots, it would cause refusal of short work
// that another slot can do at once.
double TimeToComplete(double aWork, const HostView& aHost, Time aNow)
{
  boost::container::small_vector<double, 8> freeIn;
  for (const auto& it : aHost.mRunning) {
    freeIn.push_back(RemainingWork(aHost, it, aNow));
  }
  while (freeIn.size() < aHost.mSlots) {
    freeIn.push_back(0);
  }
  std::ranges::sort(freeIn);
  double sum = aWork;
  double time = 0;
  for (std::size_t i = 0; i < freeIn.size(); ++i) {
    sum += freeIn[i];
    time = sum / static_cast<double>(i + 1);
    const bool isNextLater = i + 1 < freeIn.size() && time <= freeIn[i + 1];
    if (isNextLater) {
      break;
    }
  }
  return time;
}

double QueuedWorkAhead(const HostView& aHost, std::size_t aClass)
{
  if (aHost.mOrder == ClassOrder::Share) {
    return 0;
  }
  const ClassState& self = *aHost.mClasses[aClass];
  double work = 0;
  for (const auto& it : aHost.mClasses) {
    if (HasHigherPriority(*it, self) || HasSamePriority(*it, self)) {
      work += ExpectedWork(*it, it->mQueue.Size());
    }
  }
  return work;
}

// With ClassOrder::Share: how many of aSlots the class gets while the other
// active classes take their shares.
double SlotsByShare(const HostView& aHost, std::size_t aClass, double aSlots)
{
  const ClassState& self = *aHost.mClasses[aClass];
  double total = self.mOptions.mShare;
  for (const auto& it : aHost.mClasses) {
    const bool isActive = it->mQueue.Size() > 0 || it->mRunning > 0;
    if (it.get() != &self && isActive) {
      total += it->mOptions.mShare;
    }
  }
  return aSlots * self.mOptions.mShare / total;
}

} // namespace

double ExpectedSlots(const HostView& aHost, std::size_t aClass, Time aNow)
{
  double slots = MaxSlotsFor(aHost.mClasses, aClass, aHost.mSlots);
  if (aHost.mOrder == ClassOrder::Share) {
    return std::max(kMinSlots, SlotsByShare(aHost, aClass, slots));
  }
  const ClassState& self = *aHost.mClasses[aClass];
  for (const auto& it : aHost.mClasses) {
    if (HasHigherPriority(*it, self)) {
      const SlotUse& use =
        self.mOptions.mMayWait ? it->mLongTermUse : it->mRecentUse;
      slots -= use.Slots(aNow);
    }
  }
  return std::max(kMinSlots, slots);
}

Duration ExpectedWait(const HostView& aHost, std::size_t aClass,
                      std::uint32_t aAhead, Time aNow)
{
  const ClassState& self = *aHost.mClasses[aClass];
  const Duration pause = std::max(Duration{}, aHost.mPausedUntil - aNow);
  const double ahead = QueuedWorkAhead(aHost, aClass);
  const auto busy = static_cast<std::uint32_t>(aHost.mRunning.size());
  const std::uint32_t free = aHost.mSlots > busy ? aHost.mSlots - busy : 0;
  const bool startsNow = aAhead == 0 && ahead == 0 && free > 0 &&
                         MayTakeSlot(aHost.mClasses, aClass, free);
  if (startsNow) {
    return pause;
  }
  const double share = ExpectedSlots(aHost, aClass, aNow) / aHost.mSlots;
  const double work = (ahead + ExpectedWork(self, aAhead)) / share;
  const Nanoseconds wait(TimeToComplete(work, aHost, aNow));
  return pause + std::chrono::duration_cast<Duration>(wait);
}

Duration ExpectedInterval(const HostView& aHost, std::size_t aClass, Time aNow)
{
  const double mean = ExpectedWork(*aHost.mClasses[aClass], 1);
  const Nanoseconds interval(mean / ExpectedSlots(aHost, aClass, aNow));
  return std::chrono::duration_cast<Duration>(interval);
}

} // namespace heatherplank
