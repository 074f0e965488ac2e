#include "src/passthrough/FlowBalancerOptions.h"

#include <algorithm>
#include <utility>

#include "src/passthrough/HeartbeatRule.h"
#include "src/process/WallClock.h"

namespace heatherplank {

namespace {

/** The share of a balancer's link for members sent to its peers. */
constexpr double kSnapshotLinkShare = 0.25;

double LinkBytesPerSecond(const FlowBalancerSettings& aSettings)
{
  constexpr double kBytesPerMegabit = 125000;
  return aSettings.mLinkMbps * kBytesPerMegabit;
}

std::uint64_t MakeSeed(const Member& aSelf)
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

BalancerMembershipOptions MakeMembershipOptions(
  const FlowBalancerSettings& aSettings)
{
  BalancerMembershipOptions options;
  options.mSeeds = aSettings.mSeeds;
  options.mMonitors = kMonitorRule;
  // Callers' packets need the rest of the link while a fleet starts.
  options.mSnapshotBytesPerSecond =
    std::min(options.mSnapshotBytesPerSecond,
             LinkBytesPerSecond(aSettings) * kSnapshotLinkShare);
  // Three heartbeats of an agent. Flows do not wait for it: a host that does
  // not answer an opening packet is tried last at once.
  options.mTable.mSuspectTimeout = std::chrono::milliseconds(1600);
  options.mTable.mRefutationTimeout = std::chrono::milliseconds(1400);
  // Ranks use the full weight; the agent takes a cold host into account.
  options.mTable.mSlowStartDuration = Duration::zero();
  return options;
}

FlowSteering::Options MakeSteeringOptions(const FlowBalancerSettings& aSettings,
                                          const Member& aSelf)
{
  FlowSteering::Options options;
  options.mSelf = aSelf.mTunnel;
  options.mHost = aSelf.mHost;
  options.mDataCentre = aSelf.mDataCentre;
  options.mMaxHints = aSettings.mMaxHints;
  options.mFlowRetention = std::chrono::seconds(aSettings.mFlowsLastS);
  options.mFirstRound = static_cast<std::uint32_t>(MakeSeed(aSelf));
  return options;
}

InventoryWatch::Options MakeWatchOptions(const FlowBalancerSettings& aSettings,
                                         const Member& aSelf)
{
  InventoryWatch::Options options;
  options.mKey = aSettings.mRoutesKey;
  options.mSchedule.mSeed = MakeSeed(aSelf);
  return options;
}

DrainWatch::Options MakeDrainOptions(const FlowBalancerSettings& aSettings,
                                     const Member& aSelf)
{
  DrainWatch::Options options;
  options.mKind = aSettings.mDrains;
  options.mSchedule.mSeed = MakeSeed(aSelf) + 1;
  return options;
}

InventoryPeers::Options MakePeerOptions(const FlowBalancerSettings& aSettings,
                                        const Member& aSelf)
{
  return { aSelf.mControl, LinkBytesPerSecond(aSettings), MakeSeed(aSelf) };
}

PastServiceExchange::Options MakePastServiceOptions(
  const FlowBalancerSettings& aSettings, const Member& aSelf)
{
  return { aSelf.mControl, LinkBytesPerSecond(aSettings), MakeSeed(aSelf) };
}

StoreWatcherSelection::Options MakeWatcherSelectionOptions(
  const FlowBalancerSettings& aSettings, const Member& aSelf, Time aNow)
{
  std::uint32_t limitMs = aSettings.mRoutesInForceWithinMs;
  if (!aSettings.mDrains.empty()) {
    limitMs = std::min(limitMs, aSettings.mDrainsInForceWithinMs);
  }
  return { aSelf.mHost, aSelf.mDataCentre, std::chrono::milliseconds(limitMs),
           aNow, MakeSeed(aSelf) };
}

} // namespace heatherplank
