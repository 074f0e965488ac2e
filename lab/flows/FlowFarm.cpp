#include "lab/flows/FlowFarm.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "include/heatherplank/Types.h"
#include "src/passthrough/FlowQueries.h"
#include "src/steer/RankTable.h"

namespace heatherplank::lab {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/** Sigma of the lognormal processing times: some requests take three times the
 * mean. */
constexpr double kSpread = 0.5;
/** Interval of load reports, for placements that use them. */
constexpr double kReportEveryMs = 200;

Duration InDuration(double aMs)
{
  return std::chrono::duration_cast<Duration>(Milliseconds(aMs));
}

} // namespace

std::string_view ToString(FlowPlacement aPlacement)
{
  switch (aPlacement) {
    case FlowPlacement::Walk:
      return "walk (ours)";
    case FlowPlacement::TwoChoices:
      return "two choices";
    case FlowPlacement::FirstRank:
      return "first rank";
    case FlowPlacement::Modulo:
      return "hash modulo n";
  }
  return "unknown";
}

double FlowTally::Quantile(double aQuantile) const
{
  if (mLatencies.empty()) {
    return 0;
  }
  std::vector<double> sorted = mLatencies;
  auto at = static_cast<std::size_t>(aQuantile *
                                     static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(at),
                   sorted.end());
  return sorted[at];
}

FlowFarm::FlowFarm(std::size_t aHosts, unsigned aSeed, std::uint32_t aSlots)
  : mHosts(aHosts)
  , mRandom(aSeed)
  , mSlots(aSlots)
{
  for (Machine& it : mHosts) {
    it.mSlots.assign(aSlots, 0);
  }
}

HostCondition FlowFarm::ConditionOf(Machine& aHost)
{
  std::erase_if(aHost.mEnds, [&](double aEnd) { return aEnd <= mNow; });
  HostCondition out;
  out.mTakesNewFlows = true;
  out.mSlots = mSlots;
  out.mInProgress = static_cast<std::uint32_t>(aHost.mEnds.size());
  out.mServiceTime = aHost.mServiceTime.Get();
  return out;
}

double FlowFarm::Run(Machine& aHost, double aWork)
{
  auto slot = std::min_element(aHost.mSlots.begin(), aHost.mSlots.end());
  *slot = std::max(*slot, mNow) + aWork * aHost.mSlowness;
  aHost.mServiceTime.RecordAnswer(
    InDuration(*slot - mNow), static_cast<std::uint32_t>(aHost.mEnds.size()),
    mSlots);
  aHost.mEnds.push_back(*slot);
  aHost.mWork += aWork;
  return *slot - mNow;
}

FlowFarm::Machine* FlowFarm::Walk(std::span<const std::size_t> aCandidates,
                                  const FlowClass& aClass, bool aReturnsLater)
{
  FlowAdmission admission;
  Machine* best = nullptr;
  FlowOffer offer;
  offer.mImportance = aClass.mImportance;
  offer.mLatencyTarget = InDuration(aClass.mTargetMs);
  offer.mWillRetransmit = aReturnsLater;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    Machine& host = mHosts[aCandidates[i]];
    host.mServiceTime.SetInitialEstimate(offer.mLatencyTarget, false);
    HostCondition condition = ConditionOf(host);
    offer.mHasMoreCandidates = i + 1 < aCandidates.size();
    switch (admission.Decide(condition, offer)) {
      case FlowDecision::Admit:
        return &host;
      case FlowDecision::Refuse:
        return nullptr;
      case FlowDecision::ForwardToBest: {
        FlowOffer last = offer;
        last.mHasMoreCandidates = last.mHasBest = false;
        last.mIsLastOffer = true;
        bool taken =
          admission.Decide(ConditionOf(*best), last) == FlowDecision::Admit;
        return taken ? best : nullptr;
      }
      case FlowDecision::Forward:
        break;
    }
    Duration wait = FlowAdmission::WaitAt(condition);
    if (best == nullptr || wait < offer.mBestWait) {
      best = &host;
      offer.mHasBest = true;
      offer.mBestWait = wait;
    }
  }
  return nullptr;
}

std::vector<std::size_t> FlowFarm::Ranks(std::uint64_t aFlow,
                                         std::size_t aHosts) const
{
  std::vector<std::size_t> out(aHosts);
  std::iota(out.begin(), out.end(), std::size_t{ 0 });
  std::ranges::sort(out, std::ranges::greater{}, [aFlow](std::size_t aHost) {
    return MixHash(aFlow, MixHash(aHost, 1));
  });
  return out;
}

FlowFarm::Machine* FlowFarm::Place(std::uint64_t aFlow, const FlowClass& aClass,
                                   FlowPlacement aPlacement)
{
  if (aPlacement == FlowPlacement::Modulo) {
    return &mHosts[aFlow % mHosts.size()];
  }
  auto ranks = Ranks(aFlow, mHosts.size());
  switch (aPlacement) {
    case FlowPlacement::Walk:
      ranks.resize(std::min(ranks.size(), kRankDepth));
      return Walk(ranks, aClass);
    case FlowPlacement::TwoChoices: {
      Machine& one = mHosts[ranks.front()];
      Machine& other = mHosts[ranks[ranks.size() > 1 ? 1 : 0]];
      return other.mReported < one.mReported ? &other : &one;
    }
    default:
      return &mHosts[ranks.front()];
  }
}

void FlowFarm::Report()
{
  if (mNow - mReportedAt < kReportEveryMs) {
    return;
  }
  mReportedAt = mNow;
  for (Machine& it : mHosts) {
    it.mReported = ConditionOf(it).mInProgress;
  }
}

void FlowFarm::Play(std::span<const FlowClass> aClasses, double aSeconds,
                    FlowPlacement aPlacement)
{
  mTallies.resize(aClasses.size());
  std::vector<double> weights;
  for (const FlowClass& it : aClasses) {
    weights.push_back(it.mPerSecond);
  }
  double perMs = std::accumulate(weights.begin(), weights.end(), 0.0) / 1000;
  std::discrete_distribution<std::size_t> kind(weights.begin(), weights.end());
  std::exponential_distribution<double> gap(perMs);
  std::normal_distribution<double> spread(-kSpread * kSpread / 2, kSpread);
  double end = mNow + aSeconds * 1000;
  for (; mNow < end; mNow += gap(mRandom)) {
    Report();
    std::size_t index = kind(mRandom);
    const FlowClass& it = aClasses[index];
    FlowTally& tally = mTallies[index];
    std::uint64_t flow = mRandom();
    double work = it.mWorkMs * std::exp(spread(mRandom));
    ++tally.mAsked;
    Machine* host = Place(flow, it, aPlacement);
    if (host == nullptr) {
      ++tally.mRefused;
      continue;
    }
    mPlaced.push_back({ flow, static_cast<std::size_t>(host - mHosts.data()) });
    double took = Run(*host, work) + kNetworkMs;
    tally.mLatencies.push_back(took);
    tally.mInTime += took <= it.mTargetMs ? 1 : 0;
  }
}

double FlowFarm::LostAfterOneLeft(FlowPlacement aPlacement) const
{
  std::size_t left = mHosts.size() - 1;
  std::size_t asked = 0;
  std::size_t lost = 0;
  for (const Placed& it : mPlaced) {
    if (it.mHost == left) {
      continue;
    }
    ++asked;
    if (aPlacement == FlowPlacement::Modulo) {
      lost += it.mFlow % left != it.mHost ? 1 : 0;
      continue;
    }
    // With Walk, FlowQueries asks the best ranked hosts; the baselines look
    // only at the host that ranks first.
    std::size_t reach =
      aPlacement == FlowPlacement::Walk ? FlowQueries::kMaxHosts : 1;
    auto ranks = Ranks(it.mFlow, left);
    ranks.resize(std::min(ranks.size(), reach));
    lost += std::ranges::count(ranks, it.mHost) == 0 ? 1 : 0;
  }
  return asked == 0 ? 0
                    : static_cast<double>(lost) / static_cast<double>(asked);
}

double FlowFarm::Imbalance() const
{
  double most = 0;
  double sum = 0;
  for (const Machine& it : mHosts) {
    most = std::max(most, it.mWork);
    sum += it.mWork;
  }
  return sum == 0 ? 1 : most * static_cast<double>(mHosts.size()) / sum;
}

} // namespace heatherplank::lab
