#include "src/passthrough/FlowBalancerOptions.h"

#include <algorithm>
#include <utility>

#include "src/passthrough/HeartbeatRule.h"
#include "src/process/WallClock.h"

namespace heatherplank {

namespace {

std::uint64_t SeedOf(const Member& aSelf)
{
  return MixHash(aSelf.mHost.mValue, aSelf.mIncarnation);
}

} // namespace

Member MakeSelf(const FlowBalancerSettings& aSettings)
{
  Member self;
  self.mHost = MakeHostId(aSettings.mName);
  self.mDataCentre = MakeDataCentreId(aSettings.mDataCentre);
  self.mIncarnation =
    WallClockMicroseconds(std::chrono::milliseconds(aSettings.mClockOffsetMs));
  self.mTunnel = aSettings.mTunnel;
  self.mControl = aSettings.mControl;
  return self;
}

BalancerMembershipOptions MakeMembershipOptions(std::vector<Address> aSeeds)
{
  BalancerMembershipOptions options;
  options.mSeeds = std::move(aSeeds);
  options.mMonitors = kMonitorRule;
  // Three heartbeats of an agent. Flows do not wait for it: a host that says
  // nothing to an opening packet is tried last at once.
  options.mTable.mSuspectAfter = std::chrono::milliseconds(1600);
  options.mTable.mRefuteWithin = std::chrono::milliseconds(1400);
  // Ranks come from the full weight; the agent knows when its host is cold.
  options.mTable.mSlowStart = Duration::zero();
  return options;
}

InventoryWatch::Options MakeWatchOptions(const FlowBalancerSettings& aSettings,
                                         const Member& aSelf)
{
  InventoryWatch::Options options;
  options.mKey = aSettings.mRoutesKey;
  options.mSchedule.mSeed = SeedOf(aSelf);
  return options;
}

DrainWatch::Options MakeDrainOptions(const FlowBalancerSettings& aSettings,
                                     const Member& aSelf)
{
  DrainWatch::Options options;
  options.mKind = aSettings.mDrains;
  options.mSchedule.mSeed = SeedOf(aSelf) + 1;
  return options;
}

InventoryPeers::Options MakePeerOptions(const FlowBalancerSettings& aSettings,
                                        const Member& aSelf)
{
  constexpr double kBytesPerMegabit = 125000;
  return { aSelf.mControl, aSettings.mLinkMbps * kBytesPerMegabit,
           SeedOf(aSelf) };
}

StoreWatchDuty::Options MakeDutyOptions(const FlowBalancerSettings& aSettings,
                                        const Member& aSelf, Time aNow)
{
  std::uint32_t withinMs = aSettings.mRoutesInForceWithinMs;
  if (!aSettings.mDrains.empty()) {
    withinMs = std::min(withinMs, aSettings.mDrainsInForceWithinMs);
  }
  return { aSelf.mHost, aSelf.mDataCentre, std::chrono::milliseconds(withinMs),
           aNow, SeedOf(aSelf) };
}

} // namespace heatherplank
