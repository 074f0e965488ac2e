#include "src/decide/SlotLending.h"

#include <algorithm>

namespace heatherplank {

namespace {

bool IsShortEnough(const ClassState& aBorrower, const ClassState& aOwner)
{
  const Duration slack =
    aOwner.mOptions.mDeadline - aOwner.mServiceTimes.Mean();
  return aBorrower.mServiceTimes.UpperEstimate() <= slack / 2;
}

// True if the owner's reserved slots can't be lent to this borrower.
bool IsReservedFrom(const ClassState& aBorrower, const ClassState& aOwner)
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
  const ClassState& borrower = *aClasses[aClass];
  const std::uint32_t limit = borrower.mOptions.mSlotLimit;
  if (limit != 0 && borrower.mRunning >= limit) {
    return false;
  }
  std::uint32_t unavailable = 0;
  for (const auto& it : aClasses) {
    const std::uint32_t reserved = it->mOptions.mReservedSlots;
    if (reserved > it->mRunning && IsReservedFrom(borrower, *it)) {
      unavailable += reserved - it->mRunning;
    }
  }
  return aFreeSlots > unavailable;
}

std::uint32_t MaxSlotsFor(ClassStates aClasses, std::size_t aClass,
                          std::uint32_t aSlots)
{
  const ClassState& borrower = *aClasses[aClass];
  std::uint32_t unavailable = 0;
  for (const auto& it : aClasses) {
    if (IsReservedFrom(borrower, *it)) {
      unavailable += it->mOptions.mReservedSlots;
    }
  }
  const std::uint32_t remaining =
    aSlots > unavailable ? aSlots - unavailable : 0;
  const std::uint32_t limit = borrower.mOptions.mSlotLimit;
  return limit == 0 ? remaining : std::min(remaining, limit);
}

} // namespace heatherplank
