#include "src/membership/Monitors.h"

#include <algorithm>

namespace heatherplank {

namespace {

std::uint64_t ScoreOf(HostId aHost, const Member& aBalancer)
{
  return MixHash(aHost.mValue, aBalancer.mHost.mValue);
}

/** A balancer is a host to the others, and can't judge its own silence. */
bool IsNear(const Member& aBalancer, HostId aHost, DataCentreId aDataCentre)
{
  return aBalancer.mDataCentre == aDataCentre && aBalancer.mHost != aHost;
}

} // namespace

std::vector<Member> ChooseMonitors(HostId aHost, DataCentreId aDataCentre,
                                   std::span<const Member> aBalancers,
                                   std::size_t aCount)
{
  std::vector<Member> out;
  for (const Member& it : aBalancers) {
    if (IsNear(it, aHost, aDataCentre)) {
      out.push_back(it);
    }
  }
  if (out.empty()) {
    out.assign(aBalancers.begin(), aBalancers.end());
    std::erase_if(out,
                  [aHost](const Member& aIt) { return aIt.mHost == aHost; });
  }
  std::ranges::sort(out, [aHost](const Member& aLeft, const Member& aRight) {
    return ScoreOf(aHost, aLeft) > ScoreOf(aHost, aRight);
  });
  out.resize(std::min(aCount, out.size()));
  return out;
}

bool IsMonitor(HostId aSelf, HostId aHost, DataCentreId aDataCentre,
               std::span<const Member> aBalancers, std::size_t aCount)
{
  auto self = std::ranges::find(aBalancers, aSelf, &Member::mHost);
  if (self == aBalancers.end() || aSelf == aHost) {
    return false;
  }
  bool anyNear = std::ranges::any_of(aBalancers, [&](const Member& aIt) {
    return IsNear(aIt, aHost, aDataCentre);
  });
  if (anyNear && !IsNear(*self, aHost, aDataCentre)) {
    return false;
  }
  std::uint64_t mine = ScoreOf(aHost, *self);
  auto better = std::ranges::count_if(aBalancers, [&](const Member& aIt) {
    bool counts =
      anyNear ? IsNear(aIt, aHost, aDataCentre) : aIt.mHost != aHost;
    return counts && ScoreOf(aHost, aIt) > mine;
  });
  return static_cast<std::size_t>(better) < aCount;
}

} // namespace heatherplank
