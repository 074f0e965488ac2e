#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/HostLoad.h"
#include "src/decide/PickLedger.h"
#include "src/decide/Request.h"

namespace heatherplank {

/** Selects the host to which a queued request is forwarded.
 *
 * Guards against: flows of unequal weight. A flow keeps its owner, so a few
 * busy flows make a queue on one host while other hosts idle; without
 * forwarding, their requests wait or are refused although slots are free.
 *
 * Since load reports are stale by one exchange, hosts could pass the same
 * request back and forth, or all forward to the one idle host. Hence a request
 * is forwarded only once, and only for a gain of at least two requests per slot
 * (a smaller difference disappears before the request arrives). In one
 * exchange, a host forwards half of the difference, divided by the number of
 * hosts that may do the same. Load reports older than a second are ignored.
 *
 * Not thread safe.
 */
class ForwardPlanner
{
public:
  /** With aHysteresis false, any less loaded host is accepted, any number of
   * times. */
  explicit ForwardPlanner(bool aHysteresis);

  /** New load reports of the hosts that can take requests. */
  void SetPeers(std::span<const Candidate> aPeers, Time aNow);

  /** The host that is clearly less loaded than aLocalLoad (requests per slot)
   * and would answer in time if a request takes aServiceTime; none if there is
   * no such host. */
  std::optional<HostId> FindLessLoaded(const Request& aRequest,
                                       double aLocalLoad, Duration aServiceTime,
                                       Time aNow);

  /** The least loaded host that would answer in time, for a host that drains;
   * none if there is no such host. */
  std::optional<HostId> FindLeastLoaded(const Request& aRequest,
                                        Duration aServiceTime, Time aNow);

  /** How many queued requests a host with aLocalLoad (requests per slot) and
   * aSlots may forward now. */
  std::uint32_t Budget(double aLocalLoad, std::uint32_t aSlots, Time aNow);

  /** Records that a request was forwarded to the host. */
  void RecordForward(HostId aHost);

private:
  const Candidate* LeastLoaded(Time aNow, Duration aMaxAge);
  Candidate WithCurrentAge(const Candidate& aPeer, Time aNow) const;
  bool AnswersInTime(const Candidate& aPeer, Duration aTimeout,
                     Duration aServiceTime, Time aNow);

  bool mHysteresis;
  Time mReceivedAt;
  std::vector<Candidate> mPeers;
  PickLedger mLedger;
};

} // namespace heatherplank
