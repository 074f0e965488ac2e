#include "src/passthrough/FlowAdmission.h"

#include <algorithm>
#include <queue>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

HostCondition Host(std::uint32_t aInProgress)
{
  HostCondition out;
  out.mTakesNewFlows = true;
  out.mSlots = 2;
  out.mInProgress = aInProgress;
  out.mServiceTime = 15ms;
  return out;
}

FlowOffer Offer(bool aHasMore, Importance aImportance = Importance::Normal)
{
  FlowOffer out;
  out.mImportance = aImportance;
  out.mLatencyTarget = 100ms;
  out.mHasMore = aHasMore;
  return out;
}

/** Some hosts of two slots under a Poisson load, placed by the walk or blindly.
 * Gives what share of the requests was answered within the target. */
struct Farm
{
  explicit Farm(std::size_t aHosts, unsigned aSeed)
    : mHosts(aHosts)
    , mRandom(aSeed)
  {
  }

  struct Tally
  {
    int mAsked = 0;
    int mInTime = 0;
    int mRefused = 0;
    double Share() const { return static_cast<double>(mInTime) / mAsked; }
  };

  struct Machine
  {
    /** When each slot is free, ms. */
    std::vector<double> mSlots = { 0, 0 };
    std::vector<double> mEnds;
    double mSlowness = 1;
  };

  std::uint32_t InProgress(Machine& aHost, double aNow)
  {
    std::erase_if(aHost.mEnds, [&](double aEnd) { return aEnd <= aNow; });
    return static_cast<std::uint32_t>(aHost.mEnds.size());
  }

  double Run(Machine& aHost, double aNow, double aWork)
  {
    auto slot = std::min_element(aHost.mSlots.begin(), aHost.mSlots.end());
    *slot = std::max(*slot, aNow) + aWork * aHost.mSlowness;
    aHost.mEnds.push_back(*slot);
    return *slot - aNow;
  }

  /** The walk of the candidates from a host on; none if refused. */
  Machine* Walk(std::size_t aFirst, Importance aImportance, double aNow)
  {
    FlowAdmission admission;
    Machine* best = nullptr;
    Duration bestWait{};
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      Machine& host = mHosts[(aFirst + i) % mHosts.size()];
      auto condition = Host(InProgress(host, aNow));
      auto offer = Offer(i + 1 < mHosts.size(), aImportance);
      offer.mHasBest = best != nullptr;
      offer.mBestWait = bestWait;
      switch (admission.Decide(condition, offer)) {
        case FlowDecision::Take:
          return &host;
        case FlowDecision::Refuse:
          return nullptr;
        case FlowDecision::ToBest: {
          auto must = Offer(false, aImportance);
          must.mMustTake = true;
          auto decided = admission.Decide(Host(InProgress(*best, aNow)), must);
          return decided == FlowDecision::Take ? best : nullptr;
        }
        case FlowDecision::PassOn:
          break;
      }
      Duration wait = FlowAdmission::WaitAt(condition);
      if (best == nullptr || wait < bestWait) {
        best = &host;
        bestWait = wait;
      }
    }
    return nullptr;
  }

  void Play(double aPerSecond, double aSeconds, double aImportantShare,
            bool aByWalk)
  {
    std::exponential_distribution<double> gap(aPerSecond / 1000);
    std::lognormal_distribution<double> work(2.6, 0.5);
    std::uniform_real_distribution<double> share(0, 1);
    double end = mNow + aSeconds * 1000;
    for (; mNow < end; mNow += gap(mRandom)) {
      double now = mNow;
      bool important = share(mRandom) < aImportantShare;
      Tally& tally = important ? mImportant : mOrdinary;
      ++tally.mAsked;
      std::size_t first = mRandom() % mHosts.size();
      Machine* host =
        aByWalk
          ? Walk(first, important ? Importance::High : Importance::Normal, now)
          : &mHosts[first];
      if (host == nullptr) {
        ++tally.mRefused;
        continue;
      }
      // Handshakes take some 12 ms of the target.
      tally.mInTime += Run(*host, now, work(mRandom)) <= 88 ? 1 : 0;
    }
  }

  std::vector<Machine> mHosts;
  std::mt19937 mRandom;
  /** Goes on from one play to the next, ms. */
  double mNow = 0;
  Tally mOrdinary;
  Tally mImportant;
};

} // namespace

TEST_GROUP(FlowAdmission)
{
  FlowAdmission mAdmission;
};

TEST(FlowAdmission, TakesWithAFreeSlotAndPassesOnWithout)
{
  CHECK(mAdmission.Decide(Host(1), Offer(true)) == FlowDecision::Take);
  CHECK(mAdmission.Decide(Host(2), Offer(true)) == FlowDecision::PassOn);
}

TEST(FlowAdmission, TheLastOneGoesBackToTheShortestQueue)
{
  auto offer = Offer(false);
  offer.mHasBest = true;
  offer.mBestWait = 7ms;
  CHECK(mAdmission.Decide(Host(4), offer) == FlowDecision::ToBest);
  offer.mBestWait = 100ms;
  CHECK(mAdmission.Decide(Host(4), offer) == FlowDecision::Take);
}

TEST(FlowAdmission, RefusesWhatWouldBeLateAndLetsTheImportantWaitLonger)
{
  // Six in progress at two slots: one more waits 38 ms of 100.
  CHECK(mAdmission.Decide(Host(6), Offer(false)) == FlowDecision::Take);
  CHECK(mAdmission.Decide(Host(7), Offer(false)) == FlowDecision::Refuse);
  CHECK(mAdmission.Decide(Host(8), Offer(false, Importance::High)) ==
        FlowDecision::Take);
  CHECK(mAdmission.Decide(Host(9), Offer(false, Importance::High)) ==
        FlowDecision::Refuse);
}

// A host says that it leaves, or was not heard since its agent started. It gets
// nothing new, whoever asks; with no other host the caller is told at once.
TEST(FlowAdmission, AHostThatTakesNothingNewGetsNothing)
{
  HostCondition leaving = Host(0);
  leaving.mTakesNewFlows = false;
  CHECK(mAdmission.Decide(leaving, Offer(true)) == FlowDecision::PassOn);
  CHECK(mAdmission.Decide(leaving, Offer(false)) == FlowDecision::Refuse);
  auto must = Offer(false);
  must.mMustTake = true;
  CHECK(mAdmission.Decide(leaving, must) == FlowDecision::Refuse);
}

TEST(FlowAdmission, AHostThatSeemsDownIsTheLastResort)
{
  HostCondition down = Host(0);
  down.mSeemsDown = true;
  CHECK(mAdmission.Decide(down, Offer(true)) == FlowDecision::PassOn);
  auto offer = Offer(false);
  offer.mHasBest = true;
  CHECK(mAdmission.Decide(down, offer) == FlowDecision::ToBest);
  CHECK(mAdmission.Decide(down, Offer(false)) == FlowDecision::Take);
}

TEST(FlowAdmission, AColdHostKeepsOneSlotFree)
{
  HostCondition cold = Host(1);
  cold.mIsCold = true;
  CHECK(mAdmission.Decide(cold, Offer(true)) == FlowDecision::PassOn);
  cold.mInProgress = 0;
  CHECK(mAdmission.Decide(cold, Offer(true)) == FlowDecision::Take);
}

// Load: half of what the slots can do, the ordinary course. Blind placement
// lets one request in some wait behind others while slots are free.
TEST(FlowAdmission, AtHalfLoadNobodyWaits)
{
  Farm walk(7, 1);
  walk.Play(470, 60, 0.2, true);
  Farm blind(7, 1);
  blind.Play(470, 60, 0.2, false);
  CHECK_TRUE(walk.mOrdinary.Share() > 0.997);
  CHECK_TRUE(walk.mOrdinary.Share() > blind.mOrdinary.Share());
  CHECK_EQUAL(0, walk.mOrdinary.mRefused);
}

// Load: one host of seven works four times slower, unknown to anybody. The walk
// meets its busy slots and goes on; blind placement queues there.
TEST(FlowAdmission, ASlowHostCostsLittle)
{
  Farm walk(7, 2);
  walk.mHosts[3].mSlowness = 4;
  walk.Play(470, 60, 0.2, true);
  Farm blind(7, 2);
  blind.mHosts[3].mSlowness = 4;
  blind.Play(470, 60, 0.2, false);
  CHECK_TRUE(walk.mOrdinary.Share() > 0.96);
  CHECK_TRUE(blind.mOrdinary.Share() < 0.93);
}

// Load: 1.4 times what the slots can do, for a minute. Blind queues
// grow until every answer is late. The important is answered in time first, and
// the slots stay busy with what still can be.
TEST(FlowAdmission, InSaturationTheImportantIsServedInTime)
{
  Farm walk(7, 3);
  walk.Play(1300, 60, 0.2, true);
  Farm blind(7, 3);
  blind.Play(1300, 60, 0.2, false);
  CHECK_TRUE(walk.mImportant.Share() > 0.9);
  CHECK_TRUE(walk.mOrdinary.Share() > 0.55);
  CHECK_TRUE(blind.mImportant.Share() < 0.1);
}

// Load: three times the slots for a second amid half load. What is refused is
// told so at once, and the queue is gone when the burst is.
TEST(FlowAdmission, ABurstLeavesNoQueueBehind)
{
  Farm walk(7, 4);
  walk.Play(470, 5, 0.2, true);
  walk.mOrdinary = {};
  walk.Play(2800, 1, 0.2, true);
  CHECK_TRUE(walk.mOrdinary.mRefused > 0);
  walk.mOrdinary = {};
  walk.Play(470, 5, 0.2, true);
  CHECK_TRUE(walk.mOrdinary.Share() > 0.98);
}

// Load: everybody comes back at once after an outage, three seconds' worth of
// requests in half a second. What can't be in time is told so at once, the
// important is served first, and a second later nobody notices any more.
TEST(FlowAdmission, AMassReturnIsOverSoon)
{
  Farm walk(7, 7);
  walk.Play(2800, 0.5, 0.2, true);
  CHECK_TRUE(walk.mImportant.Share() > 0.8);
  CHECK_TRUE(walk.mOrdinary.mRefused > walk.mOrdinary.mAsked / 3);
  walk.Play(470, 1, 0.2, true);
  walk.mOrdinary = {};
  walk.Play(470, 5, 0.2, true);
  CHECK_EQUAL(0, walk.mOrdinary.mRefused);
  CHECK_TRUE(walk.mOrdinary.Share() > 0.99);
}

// Load: a few callers make most of the flows, so that their ranks begin at the
// same two hosts. The walk spreads them over all slots all the same.
TEST(FlowAdmission, AFewBusyCallersDoNotFillTheirFirstHosts)
{
  Farm walk(7, 8);
  std::exponential_distribution<double> gap(0.47);
  std::lognormal_distribution<double> work(2.6, 0.5);
  int asked = 0;
  int inTime = 0;
  for (double now = 0; now < 20000; now += gap(walk.mRandom)) {
    std::size_t first =
      walk.mRandom() % 10 < 8 ? walk.mRandom() % 2 : walk.mRandom() % 7;
    auto* host = walk.Walk(first, Importance::Normal, now);
    ++asked;
    inTime +=
      host != nullptr && walk.Run(*host, now, work(walk.mRandom)) <= 88 ? 1 : 0;
  }
  CHECK_TRUE(inTime > asked * 0.995);
}

// Load: few requests that take twenty times as long among many short ones.
TEST(FlowAdmission, LongWorkAmongShortBlocksNobodyWhileSlotsAreFree)
{
  Farm walk(7, 5);
  std::mt19937 random(6);
  for (int i = 0; i < 3; ++i) {
    walk.Run(walk.mHosts[random() % 7], 0, 5000);
  }
  walk.Play(350, 5, 0.2, true);
  CHECK_TRUE(walk.mOrdinary.Share() > 0.99);
}
