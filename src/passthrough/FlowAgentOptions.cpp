#include "src/passthrough/FlowAgentOptions.h"

#include <random>
#include <utility>

#include "src/passthrough/HeartbeatRule.h"
#include "src/process/WallClock.h"

namespace heatherplank {

namespace {

/** Missed announcements after which a host counts as unresponsive. */
constexpr int kMaxMissedAnnouncements = 3;

} // namespace

Member MakeSelf(const FlowAgentSettings& aSettings)
{
  Member self;
  self.mHost = MakeHostId(aSettings.mName);
  self.mService = MakeServiceId(aSettings.mService);
  self.mDataCentre = MakeDataCentreId(aSettings.mDataCentre);
  self.mIncarnation =
    WallClockMicroseconds(std::chrono::milliseconds(aSettings.mClockOffsetMs));
  self.mTunnel = aSettings.mTunnel;
  self.mControl = aSettings.mControl;
  return self;
}

AgentMembershipOptions MakeMembershipOptions(std::vector<Address> aSeeds)
{
  AgentMembershipOptions options;
  options.mSeeds = std::move(aSeeds);
  options.mHeartbeatInterval = kHeartbeatInterval;
  options.mMonitors = kMonitorRule;
  options.mWantsPeers = false;
  options.mAcceptsAssignment = true;
  return options;
}

HostFlows::Options MakeFlowOptions(const FlowAgentSettings& aSettings,
                                   const Member& aSelf)
{
  HostFlows::Options options;
  options.mHost = aSelf.mHost;
  options.mSelf = aSelf.mTunnel;
  options.mService = aSelf.mService;
  options.mMaxFlows = aSettings.mMaxFlows;
  options.mFlowRetention = std::chrono::seconds(aSettings.mFlowsLastS);
  options.mAnnouncementInterval =
    std::chrono::milliseconds(aSettings.mHostHeartbeatMs);
  options.mAnnouncementTimeout =
    kMaxMissedAnnouncements * options.mAnnouncementInterval;
  options.mScheduleRequests = aSettings.mScheduleRequests;
  options.mSeed = std::random_device()();
  return options;
}

} // namespace heatherplank
