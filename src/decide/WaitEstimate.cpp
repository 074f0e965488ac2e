#include "src/decide/WaitEstimate.h"

#include <algorithm>

#include <boost/container/small_vector.hpp>

namespace heatherplank {

namespace {

constexpr double kLeastSlots = 0.05;
constexpr int kLeastLeft = 4;

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

// What is left of a request that runs, by its class's mean; one that has taken
// longer than that is not about to end.
double WorkLeft(const HostView& aHost, const RunningSlot& aSlot, Time aNow)
{
  const Duration mean = aHost.mClasses[aSlot.mClass]->mTimes.Mean(aSlot.mSize);
  const Duration left = mean - (aNow - aSlot.mSince);
  return static_cast<double>(std::max(left, mean / kLeastLeft).count());
}

// When slots that come free one after the other have done aWork. One long
// request holds up its own slot only; averaged over the slots, it would have
// short work refused that the other slot can do at once.
double TimeToDo(double aWork, const HostView& aHost, Time aNow)
{
  boost::container::small_vector<double, 8> freeIn;
  for (const auto& it : aHost.mRunning) {
    freeIn.push_back(WorkLeft(aHost, it, aNow));
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
      const SlotUse& use = own.mOptions.mMayWait ? it->mLongUse : it->mUse;
      slots -= use.Slots(aNow);
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
  const double share = SlotsToCountOn(aHost, aClass, aNow) / aHost.mSlots;
  const double work = (before + WorkOf(own, aAhead)) / share;
  const Nanoseconds wait(TimeToDo(work, aHost, aNow));
  return pause + std::chrono::duration_cast<Duration>(wait);
}

Duration ExpectedInterval(const HostView& aHost, std::size_t aClass, Time aNow)
{
  const double mean = WorkOf(*aHost.mClasses[aClass], 1);
  const Nanoseconds every(mean / SlotsToCountOn(aHost, aClass, aNow));
  return std::chrono::duration_cast<Duration>(every);
}

} // namespace heatherplank
