#pragma once

#include <deque>
#include <map>
#include <set>

#include "src/decide/AdmissionPolicy.h"

namespace heatherplank {

/** Baselines for comparison with ReservationAdmission; not for production.
 *
 * Without priority: one unbounded FIFO queue without deadlines, like a host
 * without admission control. With priority: the most important class first,
 * each class in FIFO order and bounded by its queue limit.
 */
class BaselineAdmission final : public AdmissionPolicy
{
public:
  BaselineAdmission(const AdmissionOptions& aOptions, bool aPriority);

  void OnRequest(const Request& aRequest, Time aNow, Actions& aOut) override;
  void OnDone(RequestId aId, RunResult aResult, Duration aServiceTime,
              Time aNow, Actions& aOut) override;
  bool OnCancel(RequestId aId, Time aNow, Actions& aOut) override;
  void OnSlots(std::uint32_t aSlots, Time aNow, Actions& aOut) override;
  void OnOptions(const AdmissionOptions& aOptions, Time aNow,
                 Actions& aOut) override;
  void OnPeers(std::span<const Candidate> aPeers, Time aNow,
               Actions& aOut) override;
  void OnDrain(Time aNow, Actions& aOut) override;
  void OnTick(Time aNow, Actions& aOut) override;
  std::optional<Time> NextWakeUp() const override { return std::nullopt; }
  HostLoad Load() const override;

private:
  void DispatchQueued(Actions& aOut);

  AdmissionOptions mOptions;
  bool mPriority;
  bool mDraining = false;
  Duration mLatency{};
  // Keyed by negated importance: the first queue is the most important.
  std::map<int, std::deque<Request>> mQueues;
  std::set<RequestId> mRunning;
};

} // namespace heatherplank
