#pragma once

#include <cstdint>
#include <optional>

#include "include/heatherplank/Types.h"
#include "src/steer/HintCache.h"

namespace heatherplank {

/** What a balancer's HintCache holds of an opaque flow. A flow is one opening
 * between two addresses: callers may use their ports again.
 *
 * Guards against: the hint of an earlier flow attracts a later one between the
 * same addresses, to a host that drains or is down by now. */
struct FlowHint
{
  HostId mHost;
  /** The caller has closed or reset the flow. Its hint still serves late
   * packets. */
  bool mIsEnded = false;
  /** Sequence number of the opening packet, which its copies repeat; unset if
   * this balancer did not offer it. */
  std::optional<std::uint32_t> mOpening{};

  /** Whether an opening packet with this sequence number is of another flow
   * than the hint. An ended flow of unknown opening counts as another one. */
  bool IsOtherFlow(std::uint32_t aOpening) const
  {
    return mOpening ? *mOpening != aOpening : mIsEnded;
  }

  static FlowHint Unpack(const OwnerHint& aHint)
  {
    FlowHint out{ aHint.mHost, (aHint.mIncarnation & kEnded) != 0 };
    if ((aHint.mIncarnation & kHasOpening) != 0) {
      out.mOpening = static_cast<std::uint32_t>(aHint.mIncarnation);
    }
    return out;
  }

  /** Opaque flows have no incarnation, so its bits hold the rest. */
  OwnerHint Pack() const
  {
    return { mHost, (mIsEnded ? kEnded : 0) |
                      (mOpening ? kHasOpening | *mOpening : 0) };
  }

private:
  static constexpr Incarnation kHasOpening = Incarnation{ 1 } << 32U;
  static constexpr Incarnation kEnded = Incarnation{ 1 } << 33U;
};

} // namespace heatherplank
