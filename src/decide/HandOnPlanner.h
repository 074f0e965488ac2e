#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "src/decide/HostLoad.h"
#include "src/decide/PickLedger.h"
#include "src/decide/Request.h"

namespace heatherplank {

/** Finds the host that should have a request which waits here.
 *
 * Load it answers: flows of unequal weight. A flow keeps its owner, so a few
 * busy flows on one host make a queue there while other hosts idle. Without
 * moving, their requests wait or are refused although slots are free.
 *
 * Moving has its own failure: figures are old by an exchange, so hosts pass the
 * same request back and forth, or all pass theirs to the one light host. Hence
 * a request is moved once only, for a gain of two requests a slot at least
 * (a smaller difference is gone before the move is done), and a host moves in
 * one exchange half of the difference, divided by the hosts that may do the
 * same. Figures older than a second count for nothing.
 *
 * Not thread safe.
 */
class HandOnPlanner
{
public:
  /** With aHysteresis off, any lighter host will do, any number of times. */
  explicit HandOnPlanner(bool aHysteresis);

  /** Fresh figures of the hosts that could take requests. */
  void SetPeers(std::span<const Candidate> aPeers, Time aNow);

  /** The host that is clearly lighter than aOwnLoad requests a slot, and would
   * answer in time if a request takes aServiceTime; none if there is none. */
  std::optional<HostId> Lighter(const Request& aRequest, double aOwnLoad,
                                Duration aServiceTime, Time aNow);

  /** The lightest host that would answer in time, for a host that drains; none
   * if there is none. */
  std::optional<HostId> Any(const Request& aRequest, Duration aServiceTime,
                            Time aNow);

  /** How many waiting requests a host of aOwnLoad and aSlots may move now. */
  std::uint32_t Budget(double aOwnLoad, std::uint32_t aSlots, Time aNow);

  /** Notes that a request goes there. */
  void Note(HostId aHost);

private:
  const Candidate* Lightest(Time aNow, Duration aOldest);
  Candidate Aged(const Candidate& aPeer, Time aNow) const;
  bool InTime(const Candidate& aPeer, Duration aWithin, Duration aServiceTime,
              Time aNow);

  bool mHysteresis;
  Time mSetAt;
  std::vector<Candidate> mPeers;
  PickLedger mLedger;
};

} // namespace heatherplank
