#include "src/passthrough/PastServiceRequests.h"

#include <algorithm>
#include <iterator>

namespace heatherplank {

PastServiceRequests::PastServiceRequests(std::uint64_t aSeed)
  : mRandom(static_cast<std::uint32_t>(aSeed))
{
}

void PastServiceRequests::OnRoutes(std::uint64_t aVersion, Time aNow)
{
  if (!mUnknownSince) {
    mUnknownSince = aNow;
    mVersion = aVersion;
  }
}

void PastServiceRequests::OnSkippedRoutes(Time aNow)
{
  mUnknownSince = aNow;
  mIsAllKnown = false;
  mLastAskedAt.reset();
  mServices.clear();
}

void PastServiceRequests::OnList(const PastServices& aList, Time aNow)
{
  bool isOlder =
    mUnknownSince && aList.mKnownFor >= aNow - *mUnknownSince + kMinLead;
  if (!isOlder) {
    return;
  }
  if (!aList.mService.IsNone()) {
    mServices.try_emplace(aList.mService, Service{ aNow })
      .first->second.mIsKnown = true;
  } else if (aList.mVersion >= mVersion) {
    // A balancer with older routes has yet to learn what these have left.
    mIsAllKnown = true;
  }
}

bool PastServiceRequests::IsAsking(Time aNow) const
{
  if (!mUnknownSince || mIsAllKnown) {
    return false;
  }
  return aNow - *mUnknownSince < kTimeout ||
         std::ranges::any_of(mServices, [&](const auto& aIt) {
           return !IsKnown(aIt.second, aNow);
         });
}

std::vector<Address> PastServiceRequests::OnTick(
  std::span<const Member> aBalancers,
  const std::unordered_map<HostId, Member>& aHosts, Time aNow)
{
  if (!mUnknownSince || mIsAllKnown) {
    return {};
  }
  if (aNow - *mUnknownSince >= kDiscoveryTime) {
    mIsAllKnown = true;
    return {};
  }
  std::unordered_map<ServiceId, std::vector<Address>> agents;
  for (const auto& [host, member] : aHosts) {
    Service& service =
      mServices.try_emplace(member.mService, Service{ aNow }).first->second;
    if (!IsKnown(service, aNow)) {
      agents[member.mService].push_back(member.mControl);
    }
  }
  bool isDue = !mLastAskedAt || aNow - *mLastAskedAt >= kInterval;
  if (!IsAsking(aNow) || !isDue) {
    return {};
  }
  std::vector<Address> candidates;
  for (const auto& [service, addresses] : agents) {
    std::ranges::sample(addresses, std::back_inserter(candidates),
                        static_cast<std::ptrdiff_t>(kAgentsPerService),
                        mRandom);
  }
  std::vector<Address> out;
  std::ranges::sample(candidates, std::back_inserter(out),
                      static_cast<std::ptrdiff_t>(kMaxAgents), mRandom);
  if (!aBalancers.empty()) {
    out.push_back(aBalancers[mRandom() % aBalancers.size()].mControl);
  }
  if (!out.empty()) {
    mLastAskedAt = aNow;
  }
  return out;
}

bool PastServiceRequests::IsKnown(const Service& aService, Time aNow) const
{
  Time since = std::max(aService.mFirstSeenAt, *mUnknownSince);
  return mIsAllKnown || aService.mIsKnown || aNow - since >= kTimeout;
}

KnownPast PastServiceRequests::Known(Time aNow) const
{
  KnownPast out{ mIsAllKnown };
  if (mIsAllKnown || !mUnknownSince) {
    return out;
  }
  for (const auto& [service, it] : mServices) {
    if (IsKnown(it, aNow)) {
      out.mServices.push_back(service);
    }
  }
  std::ranges::sort(out.mServices);
  return out;
}

} // namespace heatherplank
