#include "src/decide/HandOnPlanner.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace heatherplank {

namespace {

constexpr double kLeastGain = 2.0;
constexpr std::uint16_t kMostMoves = 1;
// A request that was moved once may be moved again by hosts that drain.
constexpr std::uint16_t kMostDrainMoves = 3;
constexpr Duration kOldestFigures = std::chrono::seconds(1);
// A draining host has no choice but to believe older ones.
constexpr Duration kOldestWhenDraining = std::chrono::seconds(10);
// Of the time that a request has left, the part within which the other host
// must be expected to answer: its figures are old, and what it refuses has
// waited here for nothing.
constexpr int kSpareShare = 2;
// The way to the other host and its first look at the request.
constexpr Duration kMove = std::chrono::milliseconds(2);

} // namespace

HandOnPlanner::HandOnPlanner(bool aHysteresis)
  : mHysteresis(aHysteresis)
{
}

void HandOnPlanner::SetPeers(std::span<const Candidate> aPeers, Time aNow)
{
  mPeers.assign(aPeers.begin(), aPeers.end());
  mSetAt = aNow;
}

std::optional<HostId> HandOnPlanner::Lighter(const Request& aRequest,
                                             double aOwnLoad,
                                             Duration aServiceTime, Time aNow)
{
  if (mHysteresis && aRequest.mHops >= kMostMoves) {
    return std::nullopt;
  }
  const Candidate* peer = Lightest(aNow, kOldestFigures);
  const Duration spare = (aRequest.mDeadline - aNow) / kSpareShare;
  if (peer == nullptr || !InTime(*peer, spare, aServiceTime, aNow)) {
    return std::nullopt;
  }
  const double gain = aOwnLoad - mLedger.Load(Aged(*peer, aNow), aNow);
  const double least = mHysteresis ? kLeastGain : 0.0;
  return gain > least ? std::optional(peer->mHost) : std::nullopt;
}

std::optional<HostId> HandOnPlanner::Any(const Request& aRequest,
                                         Duration aServiceTime, Time aNow)
{
  if (aRequest.mHops >= kMostDrainMoves) {
    return std::nullopt;
  }
  const Candidate* peer = Lightest(aNow, kOldestWhenDraining);
  const Duration left = aRequest.mDeadline - aNow;
  if (peer == nullptr || !InTime(*peer, left, aServiceTime, aNow)) {
    return std::nullopt;
  }
  return peer->mHost;
}

std::uint32_t HandOnPlanner::Budget(double aOwnLoad, std::uint32_t aSlots,
                                    Time aNow)
{
  const Candidate* peer = Lightest(aNow, kOldestFigures);
  if (peer == nullptr) {
    return 0;
  }
  const double gain = aOwnLoad - mLedger.Load(Aged(*peer, aNow), aNow);
  if (!mHysteresis) {
    return gain > 0 ? std::numeric_limits<std::uint32_t>::max() : 0;
  }
  if (gain <= kLeastGain) {
    return 0;
  }
  const double others = static_cast<double>(mPeers.size());
  const double share = gain * aSlots / 2 / others;
  return std::max(1U, static_cast<std::uint32_t>(share));
}

void HandOnPlanner::Note(HostId aHost)
{
  auto it = std::ranges::find(mPeers, aHost, &Candidate::mHost);
  if (it != mPeers.end()) {
    mLedger.Note(*it);
  }
}

const Candidate* HandOnPlanner::Lightest(Time aNow, Duration aOldest)
{
  const Candidate* lightest = nullptr;
  double least = std::numeric_limits<double>::max();
  for (const auto& it : mPeers) {
    const Candidate aged = Aged(it, aNow);
    if (it.mWeight <= 0 || aged.mLoad.mAge > aOldest) {
      continue;
    }
    const double load = mLedger.Load(aged, aNow) / it.mWeight;
    if (load < least) {
      least = load;
      lightest = &it;
    }
  }
  return lightest;
}

Candidate HandOnPlanner::Aged(const Candidate& aPeer, Time aNow) const
{
  Candidate aged = aPeer;
  aged.mLoad.mAge += aNow - mSetAt;
  return aged;
}

bool HandOnPlanner::InTime(const Candidate& aPeer, Duration aWithin,
                           Duration aServiceTime, Time aNow)
{
  const double ahead = mLedger.Load(Aged(aPeer, aNow), aNow) + 1.0;
  const auto run = std::chrono::duration_cast<Duration>(aServiceTime * ahead);
  return kMove + run <= aWithin;
}

} // namespace heatherplank
