#include "src/passthrough/RouteVersions.h"

#include <algorithm>

namespace heatherplank {

void RouteVersions::OnInForce(std::uint64_t aVersion, Time aNow)
{
  if (mCurrent) {
    Record(*mCurrent, aNow);
  }
  mCurrent = aVersion;
  mOwn.insert(aVersion);
  Record(aVersion, aNow);
}

void RouteVersions::OnPeer(std::span<const RecentVersion> aVersions, Time aNow)
{
  if (aVersions.empty()) {
    // A balancer of the previous release.
    Record(kUnlisted, aNow);
  }
  for (const RecentVersion& it : aVersions) {
    Record(it.mVersion, aNow - it.mLastInForceAgo);
  }
}

void RouteVersions::Record(std::uint64_t aVersion, Time aLastInForceAt)
{
  auto [it, isNew] = mLastInForceAt.try_emplace(aVersion, aLastInForceAt);
  it->second = std::max(it->second, aLastInForceAt);
}

void RouteVersions::Expire(Time aNow)
{
  if (mCurrent) {
    Record(*mCurrent, aNow);
  }
  std::erase_if(mLastInForceAt, [&](const auto& aIt) {
    return aNow - aIt.second >= mLifetime;
  });
  std::erase_if(
    mOwn, [this](std::uint64_t aIt) { return !mLastInForceAt.contains(aIt); });
}

std::vector<RecentVersion> RouteVersions::List(Time aNow)
{
  Expire(aNow);
  std::vector<RecentVersion> out;
  // The newest first: a balancer that lacks one of the others lacks these too.
  for (auto it = mLastInForceAt.rbegin(); it != mLastInForceAt.rend(); ++it) {
    if (out.size() + 1 == kMaxListed && it->first != kUnlisted) {
      out.push_back({ kUnlisted, Duration::zero() });
      break;
    }
    out.push_back({ it->first, aNow - it->second });
  }
  return out;
}

std::uint64_t RouteVersions::NewestSkipped(Time aNow)
{
  Expire(aNow);
  if (!mCurrent) {
    return kUnlisted;
  }
  std::uint64_t out = kUnlisted;
  for (const auto& [version, at] : mLastInForceAt) {
    bool isBetween = version > *mOwn.begin() && version < *mCurrent;
    if (isBetween && !mOwn.contains(version)) {
      out = version;
    }
  }
  return out;
}

bool RouteVersions::HasMissed(Time aNow)
{
  Expire(aNow);
  return std::ranges::any_of(mLastInForceAt, [this](const auto& aIt) {
    return !mOwn.contains(aIt.first);
  });
}

} // namespace heatherplank
