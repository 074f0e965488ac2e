#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Configuration.h"
#include "src/caller/Answer.h"
#include "src/decide/HostLoad.h"
#include "src/status/PolicyFigures.h"

namespace heatherplank {

/** Counts at one host how the policy in force fares, for the report that
 * operators compare policies by. Thread safe, by its own lock.
 */
class PolicyMeter
{
public:
  explicit PolicyMeter(const Clock& aClock);

  /** Another policy is in force from now on. */
  void SetPolicy(const std::string& aName);

  /** A request got its final answer aTook after it came. */
  void OnAnswer(Importance aImportance, const Answer& aAnswer, Duration aTook);

  /** Flows that were adopted here, and lost here, since the last call. */
  void OnFlows(std::uint64_t aOpened, std::uint64_t aBroken);

  /** The loads of the service's hosts at one moment, this one's included. */
  void OnLoads(std::span<const Candidate> aHosts);

  /** What was counted since the last call, one entry a policy. */
  std::vector<PolicyFigures> Take();

private:
  void CloseTime(Time aNow);

  const Clock& mClock;
  std::mutex mLock;
  PolicyFigures mFigures;
  std::vector<PolicyFigures> mPast;
  Time mSince;
  /** Loads summed up over the window, by host. */
  std::map<HostId, double> mWindow;
  int mWindowSamples = 0;
};

} // namespace heatherplank
