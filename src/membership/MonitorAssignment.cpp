#include "src/membership/MonitorAssignment.h"

#include <algorithm>

namespace heatherplank {

std::uint64_t MonitorAssignment::Digest() const
{
  std::uint64_t out = 0;
  for (std::size_t i = 0; i < mRecords.size(); ++i) {
    out += MixHash(HashRecord(mRecords[i]), i < mMonitors ? 1 : 2);
  }
  return out;
}

MonitorAssignment AssignMonitors(const Member& aHost, const MemberTable& aTable,
                                 const MonitorRule& aRule, Time aNow)
{
  MemberViewPtr view = aTable.View(BalancerService());
  auto choose = [&](std::size_t aCount) {
    return ChooseMonitors(aHost.mHost, aHost.mDataCentre, view->mMembers,
                          aCount);
  };
  std::vector<Member> chosen = choose(aRule.mCount);
  MonitorAssignment out;
  out.mMonitors = chosen.size();
  for (const Member& it : choose(aRule.mCount + MonitorAssignment::kSpares)) {
    if (std::ranges::count(chosen, it.mHost, &Member::mHost) == 0) {
      chosen.push_back(it);
    }
  }
  for (const Member& it : chosen) {
    if (auto record = aTable.Find(it.mHost, aNow)) {
      out.mRecords.push_back(*record);
    }
  }
  return out;
}

} // namespace heatherplank
