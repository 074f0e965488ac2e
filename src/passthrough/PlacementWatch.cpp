#include "src/passthrough/PlacementWatch.h"

#include <utility>

namespace heatherplank {

void PlacementWatch::Begin(const FlowKey& aFlow, SteeredPacket aSteered,
                           std::vector<PlacementCandidate> aCandidates,
                           Copy aCopy, Time aNow)
{
  Retry retry;
  retry.mFlow = aFlow;
  retry.mFirstHost = aCandidates.front().mHost;
  retry.mFirstAt = aNow;
  retry.mSteered = std::move(aSteered);
  retry.mCandidates = std::move(aCandidates);
  Watch({ std::move(retry), aCopy, aNow });
}

void PlacementWatch::BeginAgain(Retry aRetry, Time aNow)
{
  Watch({ std::move(aRetry), Copy::Later, aNow });
}

void PlacementWatch::Watch(Watched aWatched)
{
  if (mWatched.size() >= kMostWatched) {
    return;
  }
  FlowKey flow = aWatched.mRetry.mFlow;
  mBySentAt.emplace(aWatched.mSentAt, flow);
  mWatched.insert_or_assign(flow, std::move(aWatched));
}

std::optional<Duration> PlacementWatch::End(const FlowKey& aFlow, HostId aHost,
                                            Time aNow)
{
  auto it = mWatched.find(aFlow);
  if (it == mWatched.end()) {
    return std::nullopt;
  }
  const Retry& offer = it->second.mRetry;
  Duration took = aNow - offer.mFirstAt;
  // Where a second host was asked, only the first one's word tells how long the
  // first offer took.
  if (offer.mRetries == 0 || aHost == offer.mFirstHost) {
    mTimeout.Learn(took);
  }
  mWatched.erase(it);
  return took;
}

bool PlacementWatch::EndRefused(const FlowKey& aFlow, Time aNow)
{
  auto it = mWatched.find(aFlow);
  if (it == mWatched.end()) {
    return false;
  }
  bool isOnly = it->second.mCopy == Copy::First &&
                aNow - it->second.mRetry.mFirstAt < kOnlyCopyFor;
  mWatched.erase(it);
  return isOnly;
}

void PlacementWatch::ForgetAll()
{
  mWatched.clear();
  mBySentAt.clear();
}

std::vector<PlacementWatch::Retry> PlacementWatch::TakeLate(Time aNow)
{
  std::vector<Retry> late;
  while (!mBySentAt.empty() &&
         aNow - mBySentAt.begin()->first >= mTimeout.Get()) {
    auto [sentAt, flow] = *mBySentAt.begin();
    mBySentAt.erase(mBySentAt.begin());
    auto it = mWatched.find(flow);
    if (it == mWatched.end() || it->second.mSentAt != sentAt) {
      continue;
    }
    if (aNow - sentAt >= mTimeout.Get() + kBehind) {
      it->second.mSentAt = aNow;
      mBySentAt.emplace(aNow, flow);
      continue;
    }
    Retry retry = std::move(it->second.mRetry);
    mWatched.erase(it);
    mSuspects[retry.mCandidates.front().mHost] = aNow + kSuspectFor;
    retry.mSilent = retry.mCandidates.front().mTunnel;
    retry.mCandidates.erase(retry.mCandidates.begin());
    if (++retry.mRetries > kMostRetries) {
      retry.mCandidates.clear();
    }
    late.push_back(std::move(retry));
  }
  return late;
}

std::optional<Time> PlacementWatch::NextAt() const
{
  if (mWatched.empty() || mBySentAt.empty()) {
    return std::nullopt;
  }
  return mBySentAt.begin()->first + mTimeout.Get();
}

bool PlacementWatch::IsSuspect(HostId aHost, Time aNow) const
{
  auto it = mSuspects.find(aHost);
  return it != mSuspects.end() && aNow < it->second;
}

} // namespace heatherplank
