#include "src/agent/PeerLoads.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

constexpr auto kUnknownLoadAge = std::chrono::hours(1);

auto ReportOrder(const LoadMessage& aMessage)
{
  return std::pair(aMessage.mIncarnation, aMessage.mSequence);
}

} // namespace

void PeerLoads::OnLoad(const LoadMessage& aMessage, Time aNow)
{
  std::lock_guard lock(mLock);
  Entry& entry = mEntries[aMessage.mHost];
  if (ReportOrder(entry.mMessage) < ReportOrder(aMessage)) {
    entry = { aMessage, aNow };
  }
}

void PeerLoads::Retain(std::span<const Member> aMembers)
{
  std::lock_guard lock(mLock);
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return std::none_of(
      aMembers.begin(), aMembers.end(),
      [&](const Member& aIt) { return aIt.mHost == aEntry.first; });
  });
}

HostLoad PeerLoads::Find(HostId aHost, Time aNow) const
{
  std::lock_guard lock(mLock);
  auto it = mEntries.find(aHost);
  if (it == mEntries.end()) {
    HostLoad unknown;
    unknown.mAge = kUnknownLoadAge;
    return unknown;
  }
  HostLoad load = it->second.mMessage.mLoad;
  load.mAge = aNow - it->second.mReceivedAt;
  return load;
}

} // namespace heatherplank
