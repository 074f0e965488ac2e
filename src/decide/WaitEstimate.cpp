#include "src/decide/WaitEstimate.h"

#include <algorithm>

namespace heatherplank {

namespace {

constexpr double kLeastSlots = 0.05;

using Nanoseconds = std::chrono::duration<double, std::nano>;

bool GoesBefore(const ClassState& aFirst, const ClassState& aSecond)
{
  return aFirst.mOptions.mImportance > aSecond.mOptions.mImportance;
}

bool GoesBeside(const ClassState& aFirst, const ClassState& aSecond)
{
  return &aFirst != &aSecond &&
         aFirst.mOptions.mImportance == aSecond.mOptions.mImportance;
}

double WorkOf(const ClassState& aClass, std::uint32_t aCount)
{
  return static_cast<double>(aClass.mTimes.Mean().count()) * aCount;
}

// What is left of the requests that run, by their class's mean.
double WorkRunning(const HostView& aHost, Time aNow)
{
  Duration left{};
  for (const auto& it : aHost.mRunning) {
    const Duration mean = aHost.mClasses[it.mClass]->mTimes.Mean(it.mSize);
    left += std::max(Duration{}, mean - (aNow - it.mSince));
  }
  return static_cast<double>(left.count());
}

double WorkWaitingBefore(const HostView& aHost, std::size_t aClass)
{
  if (aHost.mOrder == ClassOrder::Share) {
    return 0;
  }
  const ClassState& own = *aHost.mClasses[aClass];
  double work = 0;
  for (const auto& it : aHost.mClasses) {
    if (GoesBefore(*it, own) || GoesBeside(*it, own)) {
      work += WorkOf(*it, it->mQueue.Size());
    }
  }
  return work;
}

// By share, a class counts on its part among those that want slots.
double SlotsByShare(const HostView& aHost, std::size_t aClass, double aSlots)
{
  const ClassState& own = *aHost.mClasses[aClass];
  double total = own.mOptions.mShare;
  for (const auto& it : aHost.mClasses) {
    const bool wants = it->mQueue.Size() > 0 || it->mRunning > 0;
    if (it.get() != &own && wants) {
      total += it->mOptions.mShare;
    }
  }
  return aSlots * own.mOptions.mShare / total;
}

} // namespace

double SlotsToCountOn(const HostView& aHost, std::size_t aClass, Time aNow)
{
  double slots = SlotsFor(aHost.mClasses, aClass, aHost.mSlots);
  if (aHost.mOrder == ClassOrder::Share) {
    return std::max(kLeastSlots, SlotsByShare(aHost, aClass, slots));
  }
  const ClassState& own = *aHost.mClasses[aClass];
  for (const auto& it : aHost.mClasses) {
    if (GoesBefore(*it, own)) {
      slots -= it->mUse.Slots(aNow);
    }
  }
  return std::max(kLeastSlots, slots);
}

Duration ExpectedWait(const HostView& aHost, std::size_t aClass,
                      std::uint32_t aAhead, Time aNow)
{
  const ClassState& own = *aHost.mClasses[aClass];
  const Duration pause = std::max(Duration{}, aHost.mPausedUntil - aNow);
  const double before = WorkWaitingBefore(aHost, aClass);
  const auto busy = static_cast<std::uint32_t>(aHost.mRunning.size());
  const std::uint32_t free = aHost.mSlots > busy ? aHost.mSlots - busy : 0;
  const bool startsNow = aAhead == 0 && before == 0 && free > 0 &&
                         MayTakeSlot(aHost.mClasses, aClass, free);
  if (startsNow) {
    return pause;
  }
  const double work = WorkRunning(aHost, aNow) + before + WorkOf(own, aAhead);
  const Nanoseconds wait(work / SlotsToCountOn(aHost, aClass, aNow));
  return pause + std::chrono::duration_cast<Duration>(wait);
}

Duration ExpectedInterval(const HostView& aHost, std::size_t aClass, Time aNow)
{
  const double mean = WorkOf(*aHost.mClasses[aClass], 1);
  const Nanoseconds every(mean / SlotsToCountOn(aHost, aClass, aNow));
  return std::chrono::duration_cast<Duration>(every);
}

} // namespace heatherplank
