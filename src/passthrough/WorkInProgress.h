#pragma once

#include <cstdint>
#include <unordered_map>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** The requests that a host works on or is about to be given, counted from what
 * its agent sees of the flows. Each count ends with the answer, or by itself
 * after a while: flows that never open and hosts that never answer must not
 * take a slot for ever. Not thread safe.
 */
class WorkInProgress
{
public:
  /** Counts a flow until End, at most until aUntil. Counted twice, the later
   * limit holds. */
  void Begin(const FlowKey& aFlow, Time aNow, Time aUntil);

  /** What was counted for a flow. */
  struct Ended
  {
    /** How long; zero if it was not counted. */
    Duration mLasted{};
    /** How many others were counted as it began. */
    std::uint32_t mAhead = 0;
  };

  /** The flow's request was answered, or will not come. */
  Ended End(const FlowKey& aFlow, Time aNow);

  /** Drops counts whose time is over. Call it a few times a second. */
  void Expire(Time aNow);

  /** Drops every count that began before aBefore. */
  void DropOlderThan(Time aBefore);

  std::uint32_t Size() const
  {
    return static_cast<std::uint32_t>(mWork.size());
  }

private:
  struct Work
  {
    Time mSince;
    Time mUntil;
    std::uint32_t mAhead = 0;
  };
  std::unordered_map<FlowKey, Work> mWork;
};

} // namespace heatherplank
