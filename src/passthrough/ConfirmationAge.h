#pragma once

#include <algorithm>
#include <cstdint>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Measures how long ago the store last confirmed a balancer's routes, and
 * reports when that exceeds the time within which changes must be in force.
 *
 * No I/O or clock access; not thread safe. */
class ConfirmationAge
{
public:
  enum class Transition : std::uint8_t
  {
    None,
    /** The age exceeds the limit. */
    Expired,
    /** It no longer does. */
    Renewed,
  };

  explicit ConfirmationAge(Duration aLimit)
    : mLimit(aLimit)
  {
  }

  /** aConfirmedAt: when the store last confirmed the routes. Precondition: it
   * confirmed them at least once. */
  Transition OnTick(Time aConfirmedAt, Time aNow)
  {
    mCurrent = aNow - aConfirmedAt;
    mMax = std::max(mMax, mCurrent);
    bool isExpired = mCurrent > mLimit;
    if (isExpired == mIsExpired) {
      return Transition::None;
    }
    mIsExpired = isExpired;
    return isExpired ? Transition::Expired : Transition::Renewed;
  }

  Duration Current() const { return mCurrent; }
  /** The highest age since the start. */
  Duration Max() const { return mMax; }

private:
  const Duration mLimit;
  Duration mCurrent{};
  Duration mMax{};
  bool mIsExpired = false;
};

} // namespace heatherplank
