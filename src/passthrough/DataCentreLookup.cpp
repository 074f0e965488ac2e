#include "src/passthrough/DataCentreLookup.h"

namespace heatherplank {

void DataCentreLookup::SetMembers(ServiceId aService,
                                  std::span<const Member> aMembers)
{
  EraseMembers(aService);
  for (const Member& it : aMembers) {
    if (it.mDataCentre.IsNone()) {
      continue;
    }
    Entry entry{ aService, it.mDataCentre == mOwn ? TrafficBoundary::Own
                                                  : TrafficBoundary::Other };
    Insert(HostPart(it.mTunnel), entry);
    if (it.mControl.mIp != it.mTunnel.mIp) {
      Insert(HostPart(it.mControl), entry);
    }
  }
}

void DataCentreLookup::EraseMembers(ServiceId aService)
{
  auto node = mServices.extract(aService);
  if (node.empty()) {
    return;
  }
  for (const Address& it : node.mapped()) {
    auto entry = mBoundaries.find(it);
    if (entry != mBoundaries.end() && entry->second.mService == aService) {
      mBoundaries.erase(entry);
    }
  }
}

void DataCentreLookup::Insert(const Address& aAddress, const Entry& aEntry)
{
  if (mBoundaries.size() >= mMaxAddresses && !mBoundaries.contains(aAddress)) {
    return;
  }
  mBoundaries.insert_or_assign(aAddress, aEntry);
  mServices[aEntry.mService].push_back(aAddress);
}

} // namespace heatherplank
