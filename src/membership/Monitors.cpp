#include "src/membership/Monitors.h"

#include <algorithm>

namespace heatherplank {

namespace {

std::uint64_t ScoreOf(HostId aHost, const Member& aBalancer)
{
  return MixHash(aHost.mValue, aBalancer.mHost.mValue);
}

/** How many monitors are in the host's data centre (near), and how many in
 * others (far). */
struct Quota
{
  std::size_t mNear = 0;
  std::size_t mFar = 0;
};

Quota QuotaOf(std::size_t aNear, std::size_t aFar, std::size_t aCount)
{
  std::size_t maxNear = aFar > 0 && aCount > 1 ? aCount - 1 : aCount;
  std::size_t near = std::min(aNear, maxNear);
  std::size_t far = std::min(aFar, aCount - near);
  return { std::min(aNear, aCount - far), far };
}

struct Scored
{
  std::uint64_t mScore = 0;
  const Member* mMember = nullptr;
};

/** Appends the aCount members with the highest scores. Reorders the list. */
void AppendBest(std::vector<Scored>& aList, std::size_t aCount,
                std::vector<Member>& aOut)
{
  auto end =
    aList.begin() + static_cast<std::ptrdiff_t>(std::min(aCount, aList.size()));
  std::ranges::partial_sort(aList, end, std::ranges::greater{},
                            &Scored::mScore);
  for (auto it = aList.begin(); it != end; ++it) {
    aOut.push_back(*it->mMember);
  }
}

} // namespace

std::vector<Member> ChooseMonitors(HostId aHost, DataCentreId aDataCentre,
                                   std::span<const Member> aBalancers,
                                   std::size_t aCount)
{
  std::vector<Scored> near;
  std::vector<Scored> far;
  for (const Member& it : aBalancers) {
    // A balancer is monitored by others too, and can't monitor itself.
    if (it.mHost != aHost) {
      (it.mDataCentre == aDataCentre ? near : far)
        .push_back({ ScoreOf(aHost, it), &it });
    }
  }
  Quota quota = QuotaOf(near.size(), far.size(), aCount);
  std::vector<Member> out;
  AppendBest(near, quota.mNear, out);
  AppendBest(far, quota.mFar, out);
  return out;
}

bool IsMonitor(HostId aSelf, HostId aHost, DataCentreId aDataCentre,
               std::span<const Member> aBalancers, std::size_t aCount)
{
  auto self = std::ranges::find(aBalancers, aSelf, &Member::mHost);
  if (self == aBalancers.end() || aSelf == aHost) {
    return false;
  }
  bool isNear = self->mDataCentre == aDataCentre;
  std::uint64_t selfScore = ScoreOf(aHost, *self);
  std::size_t near = 0;
  std::size_t far = 0;
  std::size_t better = 0;
  for (const Member& it : aBalancers) {
    if (it.mHost == aHost) {
      continue;
    }
    bool itIsNear = it.mDataCentre == aDataCentre;
    ++(itIsNear ? near : far);
    better += itIsNear == isNear && ScoreOf(aHost, it) > selfScore ? 1 : 0;
  }
  Quota quota = QuotaOf(near, far, aCount);
  return better < (isNear ? quota.mNear : quota.mFar);
}

} // namespace heatherplank
