#include "src/passthrough/PlacementWatch.h"

#include <utility>

namespace heatherplank {

void PlacementWatch::Begin(const FlowKey& aFlow, SteeredPacket aSteered,
                           std::vector<PlacementCandidate> aCandidates,
                           Copy aCopy, Time aNow, int aRetries)
{
  if (mWatched.size() >= kMaxWatched) {
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

std::optional<PlacementWatch::Answered> PlacementWatch::End(
  const FlowKey& aFlow)
{
  auto it = mWatched.find(aFlow);
  if (it == mWatched.end()) {
    return std::nullopt;
  }
  Answered out{ it->second.mSentAt,
                std::move(it->second.mRepeatedOffer.mSteered) };
  mWatched.erase(it);
  return out;
}

bool PlacementWatch::EndRefused(const FlowKey& aFlow, Time aNow)
{
  auto it = mWatched.find(aFlow);
  if (it == mWatched.end()) {
    return false;
  }
  bool isOnlyCopy = it->second.mCopy == Copy::First &&
                    aNow - it->second.mOfferedAt < kSingleCopyDuration;
  mWatched.erase(it);
  return isOnlyCopy;
}

void PlacementWatch::ForgetAll()
{
  mWatched.clear();
  mBySentAt.clear();
}

std::vector<PlacementWatch::RepeatedOffer> PlacementWatch::TakeTimedOut(
  Time aNow)
{
  std::vector<RepeatedOffer> timedOut;
  while (!mBySentAt.empty() &&
         aNow - mBySentAt.begin()->first >= kAnswerTimeout) {
    auto [sentAt, flow] = *mBySentAt.begin();
    mBySentAt.erase(mBySentAt.begin());
    auto it = mWatched.find(flow);
    if (it == mWatched.end() || it->second.mSentAt != sentAt) {
      continue;
    }
    if (aNow - sentAt >= kAnswerTimeout + kStallTolerance) {
      it->second.mSentAt = aNow;
      mBySentAt.emplace(aNow, flow);
      continue;
    }
    RepeatedOffer retry = std::move(it->second.mRepeatedOffer);
    mWatched.erase(it);
    mSuspects[retry.mCandidates.front().mHost] = aNow + kSuspicionDuration;
    retry.mUnresponsive = retry.mCandidates.front().mTunnel;
    retry.mCandidates.erase(retry.mCandidates.begin());
    if (++retry.mRepeatedOffers > kMaxRepeatedOffers) {
      retry.mCandidates.clear();
    }
    timedOut.push_back(std::move(retry));
  }
  return timedOut;
}

std::optional<Time> PlacementWatch::NextAt() const
{
  if (mWatched.empty() || mBySentAt.empty()) {
    return std::nullopt;
  }
  return mBySentAt.begin()->first + kAnswerTimeout;
}

bool PlacementWatch::IsSuspected(HostId aHost, Time aNow) const
{
  auto it = mSuspects.find(aHost);
  return it != mSuspects.end() && aNow < it->second;
}

} // namespace heatherplank
