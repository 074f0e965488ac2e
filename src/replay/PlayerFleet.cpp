// The fleet around the decisions: figures, owners, hosts that change, time.
#include "src/replay/Player.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace heatherplank::replay {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kCandidates = 4;
constexpr Duration kExchangeEvery = 100ms;
constexpr Duration kImbalanceWindow = 1s;
constexpr double kColdSlowness = 4.0;
constexpr double kWarmingAnswers = 10.0;
constexpr Duration kLongestEnd = std::chrono::minutes(10);

} // namespace

double Player::Host::Slowness() const
{
  if (!mIsCold) {
    return mBehaviour.mSlowness;
  }
  const double warm = mAnswersSinceStart / kWarmingAnswers;
  return mBehaviour.mSlowness * (1 + kColdSlowness * std::exp(-warm));
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
  Carry(aHost, actions);
}

void Player::SetSlots(std::size_t aHost, std::uint32_t aSlots)
{
  Actions actions;
  mHosts.at(aHost)->mAdmission->OnSlots(aSlots, mNow, actions);
  Carry(aHost, actions);
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
  mTally.mFrom = Now();
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
  const Time latest = mNow + kLongestEnd;
  while ((mUnderWay > 0 || mPlanned > 0) && mNow < latest) {
    Step();
  }
}

void Player::Step()
{
  const Event event = mEvents.top();
  mEvents.pop();
  mNow = event.mAt;
  event.mWhat();
}

void Player::WakeLater(std::size_t aHost)
{
  Host& host = *mHosts[aHost];
  const auto at = host.mAdmission->NextWakeUp();
  if (!at || (host.mWakeAt && *host.mWakeAt <= *at)) {
    return;
  }
  host.mWakeAt = std::max(*at, mNow);
  After(*host.mWakeAt - mNow, [this, aHost] {
    mHosts[aHost]->mWakeAt.reset();
    Actions actions;
    mHosts[aHost]->mAdmission->OnTick(mNow, actions);
    Carry(aHost, actions);
  });
}

// Agents tell each other their figures; what they saw also feeds the outlier
// detector.
void Player::Exchange()
{
  mExchangedAt = mNow;
  std::uint32_t out = 0;
  for (const auto& it : mHosts) {
    it->mFigures = it->mAdmission->Load();
    if (!mOutlier) {
      continue;
    }
    mOutlier->OnLoadReport(it->mId, it->mFigures, mNow);
    const bool isOut = mOutlier->IsEjected(it->mId, mNow);
    if (it->mWasOut && !isOut && mSlowStart) {
      mSlowStart->OnStart(it->mId, mNow);
    }
    it->mWasOut = isOut;
    out += isOut ? 1 : 0;
  }
  mTally.mMostOut = std::max(mTally.mMostOut, out);
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    std::vector<Candidate> peers;
    for (std::size_t k = 0; k < mHosts.size(); ++k) {
      if (k != i) {
        peers.push_back(CandidateFor(k));
      }
    }
    Actions actions;
    mHosts[i]->mAdmission->OnPeers(peers, mNow, actions);
    Carry(i, actions);
  }
  After(kExchangeEvery, [this] { Exchange(); });
}

void Player::NoteImbalance()
{
  Duration most{};
  Duration sum{};
  for (const auto& it : mHosts) {
    most = std::max(most, it->mBusy);
    sum += it->mBusy;
    it->mBusy = {};
  }
  if (sum > Duration{}) {
    const auto hosts = static_cast<double>(mHosts.size());
    mTally.mImbalances.push_back(static_cast<double>(most.count()) * hosts /
                                 static_cast<double>(sum.count()));
  }
  After(kImbalanceWindow, [this] { NoteImbalance(); });
}

Candidate Player::CandidateFor(std::size_t aHost) const
{
  const Host& host = *mHosts[aHost];
  Candidate candidate;
  candidate.mHost = host.mId;
  candidate.mLoad = host.mFigures;
  candidate.mLoad.mAge = mNow - mExchangedAt;
  const bool isOut =
    host.mIsDraining || (mOutlier && mOutlier->IsEjected(host.mId, mNow));
  const double full = mSlowStart ? mSlowStart->Weight(host.mId, mNow) : 1.0;
  candidate.mWeight = isOut ? 0.0 : full;
  return candidate;
}

// The first hosts by rendezvous hash of the flow, best first.
std::vector<Candidate> Player::CandidatesOf(std::uint64_t aFlow) const
{
  std::vector<std::pair<std::uint64_t, std::size_t>> ranks;
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    ranks.emplace_back(MixHash(aFlow, mHosts[i]->mId.mValue), i);
  }
  std::ranges::sort(ranks, std::greater<>());
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < std::min(kCandidates, ranks.size()); ++i) {
    candidates.push_back(CandidateFor(ranks[i].second));
  }
  return candidates;
}

// A flow keeps its owner until that drains.
std::size_t Player::OwnerOf(std::uint64_t aFlow)
{
  auto it = mOwners.find(aFlow);
  if (it != mOwners.end() && !mHosts[it->second]->mIsDraining) {
    return it->second;
  }
  const auto candidates = CandidatesOf(aFlow);
  auto isLive = [](const Candidate& aIt) { return aIt.mWeight > 0; };
  const auto arbiter = std::ranges::find_if(candidates, isLive);
  const HostId asked =
    (arbiter == candidates.end() ? candidates.front() : *arbiter).mHost;
  auto& policy = *mHosts[IndexOf(asked)]->mBalancing;
  const auto pick = policy.Pick(aFlow, candidates, mNow);
  const std::size_t owner = IndexOf(candidates[pick].mHost);
  mOwners[aFlow] = owner;
  return owner;
}

std::size_t Player::IndexOf(HostId aHost) const
{
  auto isIt = [aHost](const auto& aIt) { return aIt->mId == aHost; };
  const auto it = std::ranges::find_if(mHosts, isIt);
  return static_cast<std::size_t>(it - mHosts.begin());
}

} // namespace heatherplank::replay
