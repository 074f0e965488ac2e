#include "src/agent/PolicyMeter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace heatherplank {

namespace {

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
  double sum = 0;
  double most = 0;
  for (const auto& it : aHosts) {
    double load = LoadPerSlot(it.mLoad);
    sum += load;
    most = std::max(most, load);
  }
  if (sum <= 0) {
    return;
  }
  std::lock_guard lock(mLock);
  double mean = sum / static_cast<double>(aHosts.size());
  mFigures.mImbalanceSum += most / mean - 1;
  ++mFigures.mImbalanceSamples;
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
