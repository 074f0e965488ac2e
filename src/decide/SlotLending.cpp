#include "src/decide/SlotLending.h"

#include <algorithm>

namespace heatherplank {

namespace {

bool IsShortEnough(const ClassState& aBorrower, const ClassState& aOwner)
{
  const Duration spare = aOwner.mOptions.mDeadline - aOwner.mTimes.Mean();
  return aBorrower.mTimes.High() <= spare / 2;
}

// True if a slot of the owner is out of this borrower's reach.
bool IsKeptFrom(const ClassState& aBorrower, const ClassState& aOwner)
{
  if (&aBorrower == &aOwner || aOwner.mOptions.mReservedSlots == 0) {
    return false;
  }
  return !IsShortEnough(aBorrower, aOwner);
}

} // namespace

bool MayTakeSlot(ClassStates aClasses, std::size_t aClass,
                 std::uint32_t aFreeSlots)
{
  const ClassState& taker = *aClasses[aClass];
  const std::uint32_t limit = taker.mOptions.mSlotLimit;
  if (limit != 0 && taker.mRunning >= limit) {
    return false;
  }
  std::uint32_t kept = 0;
  for (const auto& it : aClasses) {
    const std::uint32_t reserved = it->mOptions.mReservedSlots;
    if (reserved > it->mRunning && IsKeptFrom(taker, *it)) {
      kept += reserved - it->mRunning;
    }
  }
  return aFreeSlots > kept;
}

std::uint32_t SlotsFor(ClassStates aClasses, std::size_t aClass,
                       std::uint32_t aSlots)
{
  const ClassState& taker = *aClasses[aClass];
  std::uint32_t kept = 0;
  for (const auto& it : aClasses) {
    if (IsKeptFrom(taker, *it)) {
      kept += it->mOptions.mReservedSlots;
    }
  }
  const std::uint32_t rest = aSlots > kept ? aSlots - kept : 0;
  const std::uint32_t limit = taker.mOptions.mSlotLimit;
  return limit == 0 ? rest : std::min(rest, limit);
}

} // namespace heatherplank
