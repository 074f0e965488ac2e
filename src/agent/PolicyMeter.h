#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/HostLoad.h"
#include "src/caller/Answer.h"
#include "src/status/PolicyFigures.h"

namespace heatherplank {

/** Measures the balancing policy in force at one host, for the report by which
 * operators compare policies. Thread safe.
 */
class PolicyMeter
{
public:
  explicit PolicyMeter(const Clock& aClock);

  /** Attributes later events to another policy. */
  void SetPolicy(const std::string& aName);

  /** Records the final answer of a request, aTook after its arrival. */
  void OnAnswer(Importance aImportance, const Answer& aAnswer, Duration aTook);

  /** Records how many flows this host adopted, and how many it had to release
   * because another host owns them, since the last call. */
  void OnFlows(std::uint64_t aOpened, std::uint64_t aBroken);

  /** Records one sample of the load of all hosts of the service, this one
   * included. */
  void OnLoads(std::span<const Candidate> aHosts);

  /** Returns and resets the figures since the last call, one per policy. */
  std::vector<PolicyFigures> Take();

private:
  void AccumulateTime(Time aNow);

  const Clock& mClock;
  std::mutex mLock;
  PolicyFigures mFigures;
  std::vector<PolicyFigures> mPreviousPolicies;
  Time mSince;
  /** Sum of the load samples in the window, by host. */
  std::map<HostId, double> mWindow;
  int mWindowSamples = 0;
};

} // namespace heatherplank
