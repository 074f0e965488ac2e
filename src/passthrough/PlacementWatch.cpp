#include "src/passthrough/PlacementWatch.h"

#include <utility>

namespace heatherplank {

void PlacementWatch::Begin(const FlowKey& aFlow, SteeredPacket aSteered,
                           std::vector<PlacementCandidate> aCandidates,
                           Copy aCopy, Time aNow, int aRetries)
{
  if (mWatched.size() >= kMostWatched) {
    return;
  }
  mWatched.insert_or_assign(
    aFlow,
    Watched{
      { aFlow, std::move(aSteered), std::move(aCandidates), {}, aRetries },
      aCopy,
      aNow,
      aNow });
  mBySentAt.emplace(aNow, aFlow);
}

std::optional<Time> PlacementWatch::End(const FlowKey& aFlow)
{
  auto it = mWatched.find(aFlow);
  if (it == mWatched.end()) {
    return std::nullopt;
  }
  Time sentAt = it->second.mSentAt;
  mWatched.erase(it);
  return sentAt;
}

bool PlacementWatch::EndRefused(const FlowKey& aFlow, Time aNow)
{
  auto it = mWatched.find(aFlow);
  if (it == mWatched.end()) {
    return false;
  }
  bool isOnly = it->second.mCopy == Copy::First &&
                aNow - it->second.mOfferedAt < kOnlyCopyFor;
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
         aNow - mBySentAt.begin()->first >= kAnswerWithin) {
    auto [sentAt, flow] = *mBySentAt.begin();
    mBySentAt.erase(mBySentAt.begin());
    auto it = mWatched.find(flow);
    if (it == mWatched.end() || it->second.mSentAt != sentAt) {
      continue;
    }
    if (aNow - sentAt >= kAnswerWithin + kBehind) {
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
  return mBySentAt.begin()->first + kAnswerWithin;
}

bool PlacementWatch::IsSuspect(HostId aHost, Time aNow) const
{
  auto it = mSuspects.find(aHost);
  return it != mSuspects.end() && aNow < it->second;
}

} // namespace heatherplank
