#include "src/agent/PolicyMeter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace heatherplank {

namespace {

/** Loads of a moment are whole requests on a few slots: the busiest host has
 * twice the mean by chance alone. Over 5 s (25 samples) chance is small beside
 * what a policy does. */
constexpr int kWindow = 25;

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
  CloseTime(mClock.Now());
  if (!mFigures.mName.empty()) {
    mPast.push_back(std::move(mFigures));
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
  if (++mWindowSamples < kWindow) {
    return;
  }
  double sum = 0;
  double most = 0;
  for (const auto& [host, load] : mWindow) {
    sum += load;
    most = std::max(most, load);
  }
  double mean = sum / static_cast<double>(mWindow.size());
  if (mean > 0) {
    mFigures.mImbalanceSum += most / mean - 1;
    ++mFigures.mImbalanceSamples;
  }
  mWindow.clear();
  mWindowSamples = 0;
}

std::vector<PolicyFigures> PolicyMeter::Take()
{
  std::lock_guard lock(mLock);
  CloseTime(mClock.Now());
  std::vector<PolicyFigures> out = std::move(mPast);
  mPast.clear();
  if (!mFigures.mName.empty()) {
    out.push_back(mFigures);
  }
  std::string name = mFigures.mName;
  mFigures = {};
  mFigures.mName = std::move(name);
  return out;
}

void PolicyMeter::CloseTime(Time aNow)
{
  mFigures.mSeconds += std::chrono::duration<double>(aNow - mSince).count();
  mSince = aNow;
}

} // namespace heatherplank
