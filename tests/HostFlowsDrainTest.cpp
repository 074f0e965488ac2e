// New flows at hosts of a drained data centre, and at cold ones.
#include "tests/HostFlowsFixture.h"

using namespace heatherplank;

TEST_GROUP_BASE(HostFlowsDrain, HostFlowsFixture)
{
  static constexpr std::uint64_t kVersion = 100;

  void Notice(std::uint64_t aVersion = kVersion)
  {
    mFlows->OnDrainNotice({ aVersion }, mClock.Now());
  }

  void Offer(std::uint16_t aPort, std::uint64_t aDrainsVersion,
             double aColdRate = 0)
  {
    SteeredPacket steered;
    steered.mService = MakeServiceId("s");
    steered.mPurpose = SteerPurpose::Place;
    steered.mImportance = Importance::High;
    steered.mLatencyTarget = 250ms;
    steered.mIngress = kBalancer;
    steered.mCandidates = { kNext };
    steered.mDrainsVersion = { aDrainsVersion };
    steered.mColdRate = aColdRate;
    steered.mPacket = Packet(kSyn, 1, 0);
    steered.mPacket[0] = static_cast<std::uint8_t>(aPort >> 8U);
    steered.mPacket[1] = static_cast<std::uint8_t>(aPort);
    mFlows->OnSteered(steered, mClock.Now());
  }

  void AnnounceCold(Duration aFor)
  {
    HostAnnouncement announcement;
    announcement.mId = "i";
    announcement.mStartedAt = 1;
    announcement.mSequence = ++mAnnouncements;
    announcement.mSlots = 200;
    announcement.mColdRemaining = aFor;
    mFlows->OnAnnouncement(announcement, mClock.Now());
  }
};

// Guards against a flow that an isolated balancer with outdated drain state
// opens in a drained data centre.
TEST(HostFlowsDrain, DrainedHostForwardsFlowsOfAnOutdatedBalancer)
{
  Announce();
  Notice();
  Offer(1, kVersion - 1);
  CHECK_EQUAL(0, mOut.mToHost.size());
  CHECK_EQUAL(1, mOut.mSteered.size());
}

TEST(HostFlowsDrain, OpenFlowsContinueDuringADrain)
{
  Announce();
  Open();
  Notice();
  std::size_t before = mOut.mToHost.size();
  Steer(SteerPurpose::Deliver, Packet(kAck, 12, 501, false, 10));
  CHECK_EQUAL(before + 1, mOut.mToHost.size());
}

// Guards against the repeat of an unanswered opening packet, which would open a
// flow at a host that has been drained since the first one.
TEST(HostFlowsDrain, RepeatedOpeningIsNotDeliveredToADrainedHost)
{
  Announce();
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0));
  Notice();
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 1), true);
  CHECK_EQUAL(1, mOut.mToHost.size());
}

TEST(HostFlowsDrain, HostTakesFlowsAtOnceWhenTheDrainEnds)
{
  Announce();
  Notice();
  Offer(1, kVersion + 1);
  CHECK_EQUAL(1, mOut.mToHost.size());
}

// Load: the cold hosts of a data centre are the least loaded, so all new flows
// are offered to them.
TEST(HostFlowsDrain, ColdHostForwardsFlowsAboveItsRate)
{
  mClock.Advance(2s);
  AnnounceCold(5s);
  for (std::uint16_t i = 0; i < 50; ++i) {
    Offer(i, 0, 20);
  }
  CHECK_EQUAL(20, mOut.mToHost.size());
  CHECK_EQUAL(30, mOut.mSteered.size());
  // Nor is it entered as the candidate with the shortest wait.
  CHECK_TRUE(mOut.mSteered.back().second.mBest.IsNone());
  mClock.Advance(1s);
  Offer(60, 0, 20);
  CHECK_EQUAL(21, mOut.mToHost.size());
}

TEST(HostFlowsDrain, WarmHostIsNotLimitedByTheColdRate)
{
  mClock.Advance(2s);
  AnnounceCold(0s);
  for (std::uint16_t i = 0; i < 50; ++i) {
    Offer(i, 0, 20);
  }
  CHECK_EQUAL(50, mOut.mToHost.size());
}

// Guards against overload of hosts that turned cold during a drain and report
// it only with their next announcement.
TEST(HostFlowsDrain, AfterADrainHostCountsAsColdUntilItsNextAnnouncement)
{
  mClock.Advance(2s);
  AnnounceCold(0s);
  Notice();
  mClock.Advance(1s);
  for (std::uint16_t i = 0; i < 50; ++i) {
    Offer(i, kVersion + 1, 20);
  }
  CHECK_EQUAL(20, mOut.mToHost.size());
  AnnounceCold(0s);
  Offer(60, kVersion + 1, 20);
  CHECK_EQUAL(21, mOut.mToHost.size());
}
