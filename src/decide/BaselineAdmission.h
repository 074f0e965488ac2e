#pragma once

#include <deque>
#include <map>
#include <set>

#include "src/decide/AdmissionPolicy.h"

namespace heatherplank {

/** The yardsticks that ours is measured against; not for use.
 *
 * Without priority: one queue in order of arrival, no bound, no deadline, which
 * is what a host without admission does. With priority: the most important
 * class first, each in order of arrival and bounded by its queue limit.
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
  void Fill(Actions& aOut);

  AdmissionOptions mOptions;
  bool mPriority;
  bool mDraining = false;
  Duration mLatency{};
  // By negated importance, so that the first is the most important.
  std::map<int, std::deque<Request>> mQueues;
  std::set<RequestId> mRunning;
};

} // namespace heatherplank
