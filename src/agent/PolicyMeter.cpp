#include "src/agent/PolicyMeter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace heatherplank {

namespace {

/** A single load sample counts whole requests on a few slots, so that the
 * busiest host has twice the mean load by chance alone. Over 25 samples (5 s)
 * chance is small compared to the effect of the policy. */
constexpr int kWindowSamples = 25;

const char* NameOf(Importance aImportance)
{
  constexpr std::array kNames{ "low", "normal", "high", "critical" };
  return kNames[static_cast<std::size_t>(aImportance)];
}

} // namespace

PolicyMeter::PolicyMeter(const Clock& aClock)
  : mClock(aClock)
  , mSince(aClock.Now())
{
}

void PolicyMeter::SetPolicy(const std::string& aName)
{
  std::lock_guard lock(mLock);
  if (aName == mFigures.mName) {
    return;
  }
  AccumulateTime(mClock.Now());
  if (!mFigures.mName.empty()) {
    mPreviousPolicies.push_back(std::move(mFigures));
  }
  mFigures = {};
  mFigures.mName = aName;
  mWindow.clear();
  mWindowSamples = 0;
}

void PolicyMeter::OnAnswer(Importance aImportance, const Answer& aAnswer,
                           Duration aTook)
{
  using Milliseconds = std::chrono::duration<double, std::milli>;
  std::lock_guard lock(mLock);
  ++mFigures.mRequests;
  if (aAnswer.mOutcome == Outcome::Run) {
    ++mFigures.mAnswered;
    mFigures.mLatency[NameOf(aImportance)].Record(Milliseconds(aTook).count());
    return;
  }
  ++mFigures.mRefusals[aAnswer.mReason];
}

void PolicyMeter::OnFlows(std::uint64_t aOpened, std::uint64_t aBroken)
{
  std::lock_guard lock(mLock);
  mFigures.mFlowsOpened += aOpened;
  mFigures.mFlowsBroken += aBroken;
}

void PolicyMeter::OnLoads(std::span<const Candidate> aHosts)
{
  std::lock_guard lock(mLock);
  for (const auto& it : aHosts) {
    mWindow[it.mHost] += LoadPerSlot(it.mLoad);
  }
  if (++mWindowSamples < kWindowSamples) {
    return;
  }
  double sum = 0;
  double max = 0;
  for (const auto& [host, load] : mWindow) {
    sum += load;
    max = std::max(max, load);
  }
  double mean = sum / static_cast<double>(mWindow.size());
  if (mean > 0) {
    mFigures.mImbalanceSum += max / mean - 1;
    ++mFigures.mImbalanceSamples;
  }
  mWindow.clear();
  mWindowSamples = 0;
}

std::vector<PolicyFigures> PolicyMeter::Take()
{
  std::lock_guard lock(mLock);
  AccumulateTime(mClock.Now());
  std::vector<PolicyFigures> out = std::move(mPreviousPolicies);
  mPreviousPolicies.clear();
  if (!mFigures.mName.empty()) {
    out.push_back(mFigures);
  }
  std::string name = mFigures.mName;
  mFigures = {};
  mFigures.mName = std::move(name);
  return out;
}

void PolicyMeter::AccumulateTime(Time aNow)
{
  mFigures.mSeconds += std::chrono::duration<double>(aNow - mSince).count();
  mSince = aNow;
}

} // namespace heatherplank
