// Player's simulated fleet: load figures, flow owners, changes of hosts, and
// the event loop.
#include "src/replay/Player.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace heatherplank::replay {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kCandidateCount = 4;
constexpr Duration kExchangeInterval = 100ms;
constexpr Duration kImbalanceWindow = 1s;
constexpr double kColdExtraSlowness = 4.0;
constexpr double kWarmUpAnswers = 10.0;
constexpr Duration kRunToEndTimeout = std::chrono::minutes(10);

} // namespace

double Player::Host::SlownessFactor() const
{
  if (!mIsCold) {
    return mBehaviour.mSlowness;
  }
  const double progress = mAnswersSinceStart / kWarmUpAnswers;
  return mBehaviour.mSlowness * (1 + kColdExtraSlowness * std::exp(-progress));
}

void Player::Behave(std::size_t aHost, const Behaviour& aBehaviour)
{
  mHosts.at(aHost)->mBehaviour = aBehaviour;
}

void Player::ColdStart(std::size_t aHost)
{
  Host& host = *mHosts.at(aHost);
  host.mIsCold = true;
  host.mAnswersSinceStart = 0;
  if (mSlowStart) {
    mSlowStart->OnStart(host.mId, mNow);
  }
}

void Player::Drain(std::size_t aHost)
{
  Host& host = *mHosts.at(aHost);
  host.mIsDraining = true;
  Actions actions;
  host.mAdmission->OnDrain(mNow, actions);
  ExecuteActions(aHost, actions);
}

void Player::SetSlots(std::size_t aHost, std::uint32_t aSlots)
{
  Actions actions;
  mHosts.at(aHost)->mAdmission->OnSlots(aSlots, mNow, actions);
  ExecuteActions(aHost, actions);
}

void Player::Hint(std::size_t aHost, bool aHealthy)
{
  if (mOutlier) {
    mOutlier->OnHealthHint(mHosts.at(aHost)->mId, aHealthy);
  }
}

void Player::SetPlatform(bool aUp)
{
  mPlatformUp = aUp;
}

void Player::ResetTally()
{
  mTally = {};
  mTally.mCountingSince = Now();
  for (const auto& it : mAdmission.mClasses) {
    mTally.mClasses[it.mName];
  }
  for (const auto& it : mHosts) {
    mTally.mHosts[it->mName];
    mTally.mSlots += it->mAdmission->Load().mSlots;
  }
}

void Player::RunUntil(Duration aTime)
{
  while (!mEvents.empty() && mEvents.top().mAt <= mStart + aTime) {
    Step();
  }
  mNow = mStart + aTime;
}

void Player::RunToEnd()
{
  const Time latest = mNow + kRunToEndTimeout;
  while ((mRequestsInProgress > 0 || mScheduledCount > 0) && mNow < latest) {
    Step();
  }
}

void Player::Step()
{
  const Event event = mEvents.top();
  mEvents.pop();
  mNow = event.mAt;
  event.mCallback();
}

void Player::ScheduleWakeUp(std::size_t aHost)
{
  Host& host = *mHosts[aHost];
  const auto at = host.mAdmission->NextWakeUp();
  if (!at || (host.mWakeAt && *host.mWakeAt <= *at)) {
    return;
  }
  host.mWakeAt = std::max(*at, mNow);
  ScheduleAfter(*host.mWakeAt - mNow, [this, aHost] {
    mHosts[aHost]->mWakeAt.reset();
    Actions actions;
    mHosts[aHost]->mAdmission->OnTick(mNow, actions);
    ExecuteActions(aHost, actions);
  });
}

// Sends each host's load figures to the other hosts and to the outlier
// detector.
void Player::ExchangeLoads()
{
  mLoadsExchangedAt = mNow;
  std::uint32_t ejected = 0;
  for (const auto& it : mHosts) {
    it->mLastLoad = it->mAdmission->Load();
    if (!mOutlier) {
      continue;
    }
    mOutlier->OnLoadReport(it->mId, it->mLastLoad, mNow);
    const bool isEjected = mOutlier->IsEjected(it->mId, mNow);
    if (it->mWasEjected && !isEjected && mSlowStart) {
      mSlowStart->OnStart(it->mId, mNow);
    }
    it->mWasEjected = isEjected;
    ejected += isEjected ? 1 : 0;
  }
  mTally.mMaxEjected = std::max(mTally.mMaxEjected, ejected);
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    std::vector<Candidate> peers;
    for (std::size_t k = 0; k < mHosts.size(); ++k) {
      if (k != i) {
        peers.push_back(MakeCandidate(k));
      }
    }
    Actions actions;
    mHosts[i]->mAdmission->OnPeers(peers, mNow, actions);
    ExecuteActions(i, actions);
  }
  ScheduleAfter(kExchangeInterval, [this] { ExchangeLoads(); });
}

void Player::RecordImbalance()
{
  Duration busiest{};
  Duration sum{};
  for (const auto& it : mHosts) {
    busiest = std::max(busiest, it->mBusy);
    sum += it->mBusy;
    it->mBusy = {};
  }
  if (sum > Duration{}) {
    const auto hosts = static_cast<double>(mHosts.size());
    mTally.mImbalances.push_back(static_cast<double>(busiest.count()) * hosts /
                                 static_cast<double>(sum.count()));
  }
  ScheduleAfter(kImbalanceWindow, [this] { RecordImbalance(); });
}

Candidate Player::MakeCandidate(std::size_t aHost) const
{
  const Host& host = *mHosts[aHost];
  Candidate candidate;
  candidate.mHost = host.mId;
  candidate.mLoad = host.mLastLoad;
  candidate.mLoad.mAge = mNow - mLoadsExchangedAt;
  const bool isUnavailable =
    host.mIsDraining || (mOutlier && mOutlier->IsEjected(host.mId, mNow));
  const double weight = mSlowStart ? mSlowStart->Weight(host.mId, mNow) : 1.0;
  candidate.mWeight = isUnavailable ? 0.0 : weight;
  return candidate;
}

// The first four hosts by rendezvous hash of the flow, best first.
std::vector<Candidate> Player::CandidatesFor(std::uint64_t aFlow) const
{
  std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    ranks.emplace_back(MixHash(aFlow, mHosts[i]->mId.mValue), i);
  }
  std::ranges::sort(ranks, std::greater<>());
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < std::min(kCandidateCount, ranks.size()); ++i) {
    candidates.push_back(MakeCandidate(ranks[i].second));
  }
  return candidates;
}

// The flow's owner; a new one is picked only when the current one drains.
std::size_t Player::OwnerOf(std::uint64_t aFlow)
{
  auto it = mOwners.find(aFlow);
  if (it != mOwners.end() && !mHosts[it->second]->mIsDraining) {
    return it->second;
  }
  const auto candidates = CandidatesFor(aFlow);
  auto isEligible = [](const Candidate& aIt) { return aIt.mWeight > 0; };
  const auto arbiter = std::ranges::find_if(candidates, isEligible);
  const HostId arbiterId =
    (arbiter == candidates.end() ? candidates.front() : *arbiter).mHost;
  auto& policy = *mHosts[IndexOf(arbiterId)]->mBalancing;
  const auto pick = policy.Pick(aFlow, candidates, mNow);
  const std::size_t owner = IndexOf(candidates[pick].mHost);
  mOwners[aFlow] = owner;
  return owner;
}

std::size_t Player::IndexOf(HostId aHost) const
{
  auto hasId = [aHost](const auto& aIt) { return aIt->mId == aHost; };
  const auto it = std::ranges::find_if(mHosts, hasId);
  return static_cast<std::size_t>(it - mHosts.begin());
}

} // namespace heatherplank::replay
