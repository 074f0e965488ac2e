#include "src/decide/ForwardPlanner.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace heatherplank {

namespace {

constexpr double kMinGain = 2.0;
constexpr std::uint16_t kMaxForwards = 1;
// A request that was forwarded once may be forwarded again by draining hosts.
constexpr std::uint16_t kMaxDrainForwards = 3;
constexpr Duration kMaxReportAge = std::chrono::seconds(1);
// A draining host has to forward, so it accepts older reports.
constexpr Duration kMaxReportAgeDraining = std::chrono::seconds(10);
// Divides the time left until the deadline; the other host must be expected to
// answer within this part. Its report is stale, and if it refuses the request,
// the wait here was in vain.
constexpr int kSlackDivisor = 2;
// Time to reach the other host and be evaluated there.
constexpr Duration kForwardDelay = std::chrono::milliseconds(2);

} // namespace

ForwardPlanner::ForwardPlanner(bool aHysteresis)
  : mHysteresis(aHysteresis)
{
}

void ForwardPlanner::SetPeers(std::span<const Candidate> aPeers, Time aNow)
{
  mPeers.assign(aPeers.begin(), aPeers.end());
  mReceivedAt = aNow;
}

std::optional<HostId> ForwardPlanner::FindLessLoaded(const Request& aRequest,
                                                     double aLocalLoad,
                                                     Duration aServiceTime,
                                                     Time aNow)
{
  if (mHysteresis && aRequest.mHops >= kMaxForwards) {
    return std::nullopt;
  }
  const Candidate* peer = LeastLoaded(aNow, kMaxReportAge);
  const Duration slack = (aRequest.mDeadline - aNow) / kSlackDivisor;
  if (peer == nullptr || !AnswersInTime(*peer, slack, aServiceTime, aNow)) {
    return std::nullopt;
  }
  const double gain =
    aLocalLoad - mLedger.Load(WithCurrentAge(*peer, aNow), aNow);
  const double minimum = mHysteresis ? kMinGain : 0.0;
  return gain > minimum ? std::optional(peer->mHost) : std::nullopt;
}

std::optional<HostId> ForwardPlanner::FindLeastLoaded(const Request& aRequest,
                                                      Duration aServiceTime,
                                                      Time aNow)
{
  if (aRequest.mHops >= kMaxDrainForwards) {
    return std::nullopt;
  }
  const Candidate* peer = LeastLoaded(aNow, kMaxReportAgeDraining);
  const Duration left = aRequest.mDeadline - aNow;
  if (peer == nullptr || !AnswersInTime(*peer, left, aServiceTime, aNow)) {
    return std::nullopt;
  }
  return peer->mHost;
}

std::uint32_t ForwardPlanner::Budget(double aLocalLoad, std::uint32_t aSlots,
                                     Time aNow)
{
  const Candidate* peer = LeastLoaded(aNow, kMaxReportAge);
  if (peer == nullptr) {
    return 0;
  }
  const double gain =
    aLocalLoad - mLedger.Load(WithCurrentAge(*peer, aNow), aNow);
  if (!mHysteresis) {
    return gain > 0 ? std::numeric_limits<std::uint32_t>::max() : 0;
  }
  if (gain <= kMinGain) {
    return 0;
  }
  const double others = static_cast<double>(mPeers.size());
  const double share = gain * aSlots / 2 / others;
  return std::max(1U, static_cast<std::uint32_t>(share));
}

void ForwardPlanner::RecordForward(HostId aHost)
{
  auto it = std::ranges::find(mPeers, aHost, &Candidate::mHost);
  if (it != mPeers.end()) {
    mLedger.RecordPick(*it);
  }
}

const Candidate* ForwardPlanner::LeastLoaded(Time aNow, Duration aMaxAge)
{
  const Candidate* leastLoaded = nullptr;
  double minimum = std::numeric_limits<double>::max();
  for (const auto& it : mPeers) {
    const Candidate aged = WithCurrentAge(it, aNow);
    if (it.mWeight <= 0 || aged.mLoad.mAge > aMaxAge) {
      continue;
    }
    const double load = mLedger.Load(aged, aNow) / it.mWeight;
    if (load < minimum) {
      minimum = load;
      leastLoaded = &it;
    }
  }
  return leastLoaded;
}

Candidate ForwardPlanner::WithCurrentAge(const Candidate& aPeer,
                                         Time aNow) const
{
  Candidate aged = aPeer;
  aged.mLoad.mAge += aNow - mReceivedAt;
  return aged;
}

bool ForwardPlanner::AnswersInTime(const Candidate& aPeer, Duration aTimeout,
                                   Duration aServiceTime, Time aNow)
{
  const double ahead = mLedger.Load(WithCurrentAge(aPeer, aNow), aNow) + 1.0;
  const auto run = std::chrono::duration_cast<Duration>(aServiceTime * ahead);
  return kForwardDelay + run <= aTimeout;
}

} // namespace heatherplank
