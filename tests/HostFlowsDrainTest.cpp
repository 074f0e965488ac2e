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

  void OfferTo(std::uint16_t aPort, std::uint64_t aDrainsVersion,
               double aColdRate = 0)
  {
    SteeredPacket steered;
    steered.mService = MakeServiceId("s");
    steered.mPurpose = SteerPurpose::Place;
    steered.mImportance = Importance::High;
    steered.mLatencyTarget = 250ms;
    steered.mIngress = kBalancer;
    steered.mCandidates = { kNext };
    steered.mDrainsVersion = aDrainsVersion;
    steered.mColdRate = aColdRate;
    steered.mPacket = Packet(kSyn, 1, 0);
    steered.mPacket[0] = static_cast<std::uint8_t>(aPort >> 8U);
    steered.mPacket[1] = static_cast<std::uint8_t>(aPort);
    mFlows->OnSteered(steered, mClock.Now());
  }

  void BeatCold(Duration aFor)
  {
    HostAnnouncement beat;
    beat.mId = "i";
    beat.mStartedAt = 1;
    beat.mSequence = ++mBeats;
    beat.mSlots = 200;
    beat.mColdFor = aFor;
    mFlows->OnAnnouncement(beat, mClock.Now());
  }
};

// Guards against a flow that a balancer behind a cut opens in a drained data
// centre.
TEST(HostFlowsDrain, ADrainedHostTakesNothingOfABalancerThatIsBehind)
{
  Beat();
  Notice();
  OfferTo(1, kVersion - 1);
  CHECK_EQUAL(0, mOut.mToHost.size());
  CHECK_EQUAL(1, mOut.mSteered.size());
}

TEST(HostFlowsDrain, FlowsThatAreOpenLiveOn)
{
  Beat();
  Open();
  Notice();
  std::size_t before = mOut.mToHost.size();
  Steer(SteerPurpose::Deliver, Packet(kAck, 12, 501, false, 10));
  CHECK_EQUAL(before + 1, mOut.mToHost.size());
}

// Guards against a copy of an unanswered opening packet, which would open a
// flow at a host that is drained by now.
TEST(HostFlowsDrain, ACopyOpensNothingAtADrainedHost)
{
  Beat();
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 0));
  Notice();
  Steer(SteerPurpose::Place, Packet(kSyn, 1, 1), true);
  CHECK_EQUAL(1, mOut.mToHost.size());
}

TEST(HostFlowsDrain, TakenBackItIsInUseAtOnce)
{
  Beat();
  Notice();
  OfferTo(1, kVersion + 1);
  CHECK_EQUAL(1, mOut.mToHost.size());
}

// Load: a data centre's cold hosts are the freest of all, and all callers are
// sent there.
TEST(HostFlowsDrain, AColdHostPassesOnWhatItDoesNotBear)
{
  mClock.Advance(2s);
  BeatCold(5s);
  for (std::uint16_t i = 0; i < 50; ++i) {
    OfferTo(i, 0, 20);
  }
  CHECK_EQUAL(20, mOut.mToHost.size());
  CHECK_EQUAL(30, mOut.mSteered.size());
  // It is not named as the freest host of the walk either.
  CHECK_TRUE(mOut.mSteered.back().second.mBest.IsNone());
  mClock.Advance(1s);
  OfferTo(60, 0, 20);
  CHECK_EQUAL(21, mOut.mToHost.size());
}

TEST(HostFlowsDrain, AWarmHostHasNoSuchBound)
{
  mClock.Advance(2s);
  BeatCold(0s);
  for (std::uint16_t i = 0; i < 50; ++i) {
    OfferTo(i, 0, 20);
  }
  CHECK_EQUAL(50, mOut.mToHost.size());
}

// Guards against hosts that turned cold during the drain and say so only with
// their next announcement.
TEST(HostFlowsDrain, TakenBackItCountsAsColdUntilItWasHeardAgain)
{
  mClock.Advance(2s);
  BeatCold(0s);
  Notice();
  mClock.Advance(1s);
  for (std::uint16_t i = 0; i < 50; ++i) {
    OfferTo(i, kVersion + 1, 20);
  }
  CHECK_EQUAL(20, mOut.mToHost.size());
  BeatCold(0s);
  OfferTo(60, kVersion + 1, 20);
  CHECK_EQUAL(21, mOut.mToHost.size());
}
