#include "src/passthrough/RequestScheduler.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

using Outcome = RequestScheduler::Outcome;
using HostEvent = RequestScheduler::HostEvent;

FlowKey Flow(std::uint8_t aCaller, std::uint16_t aPort)
{
  FlowKey out;
  out.mCaller.mIp[15] = aCaller;
  out.mCaller.mPort = aPort;
  return out;
}

} // namespace

TEST_GROUP(RequestScheduler)
{
  RequestScheduler mScheduler{ 1 };
  Time mNow{ 1h };
  HostCondition mHost;

  void setup() override
  {
    mHost.mSlots = 2;
    mHost.mInProgress = 3;
    mHost.mServiceTime = 10ms;
  }

  Outcome Hold(const FlowKey& aFlow, Importance aImportance,
               Duration aTarget = 200ms, std::uint32_t aSequence = 1,
               std::size_t aBytes = 10)
  {
    RequestScheduler::Packet packet;
    packet.mHeader.mSource = aFlow.mCaller;
    packet.mHeader.mDestination = aFlow.mService;
    packet.mHeader.mSequence = aSequence;
    packet.mHeader.mDataLength = 10;
    packet.mSteered.mImportance = aImportance;
    packet.mSteered.mLatencyTarget = aTarget;
    packet.mSteered.mPacket.resize(aBytes);
    return mScheduler.Hold(packet, mNow);
  }

  /** The port of the request released next; 0 if there is none. */
  int Next(HostEvent aEvent = HostEvent::None)
  {
    auto next = mScheduler.Next(mHost, aEvent, mNow);
    return next ? next->mFlow.mCaller.mPort : 0;
  }
  int NextInTurn()
  {
    return Next(HostEvent::Answered);
  }
};

TEST(RequestScheduler, RequestWaitsWhileNoSlotIsFree)
{
  CHECK_TRUE(mScheduler.MustWait(mHost, 200ms, mNow));
  mHost.mInProgress = 2;
  CHECK_FALSE(mScheduler.MustWait(mHost, 200ms, mNow));
  Hold(Flow(1, 1), Importance::Normal);
  CHECK_TRUE(mScheduler.MustWait(mHost, 200ms, mNow));
}

// Long work with long targets among short work: were only the long requests
// held, they would take each place that an answer frees.
TEST(RequestScheduler, NothingWaitsSoonAfterARequestWithAShortTarget)
{
  CHECK_FALSE(mScheduler.MustWait(mHost, 60ms, mNow));
  CHECK_FALSE(mScheduler.MustWait(mHost, 2s, mNow));
  mNow += 1s;
  CHECK_TRUE(mScheduler.MustWait(mHost, 2s, mNow));
}

TEST(RequestScheduler, ImportantRequestsAreReleasedFirst)
{
  Hold(Flow(1, 1), Importance::Low);
  Hold(Flow(1, 2), Importance::Normal);
  Hold(Flow(1, 3), Importance::Critical);
  Hold(Flow(1, 4), Importance::High);
  CHECK_EQUAL(0, Next());
  mHost.mInProgress = 2;
  CHECK_EQUAL(3, Next());
  CHECK_EQUAL(4, Next());
  CHECK_EQUAL(2, Next());
  CHECK_EQUAL(1, Next());
  CHECK_EQUAL(0, Next());
}

// A request whose target has nearly passed must not delay one that can still be
// answered in time.
TEST(RequestScheduler, LateRequestsYieldWithinTheirImportance)
{
  Hold(Flow(1, 1), Importance::Normal, 15ms);
  Hold(Flow(2, 2), Importance::Normal, 200ms);
  mNow += 6ms;
  CHECK_EQUAL(2, NextInTurn());
  CHECK_EQUAL(1, NextInTurn());
}

// One caller opens many flows; another with one request waits for one of them,
// not for all.
TEST(RequestScheduler, CallersTakeTurnsWhateverTheirNumberOfFlows)
{
  for (std::uint16_t port : { 1, 2, 3 }) {
    Hold(Flow(1, port), Importance::Normal);
  }
  Hold(Flow(2, 9), Importance::Normal);
  CHECK_EQUAL(1, NextInTurn());
  CHECK_EQUAL(9, NextInTurn());
  CHECK_EQUAL(2, NextInTurn());
  CHECK_EQUAL(3, NextInTurn());
}

// Important requests arrive as fast as they are served; an ordinary one must
// not wait for them to end.
TEST(RequestScheduler, EveryEighthTurnGoesToTheLongestWaiting)
{
  Hold(Flow(1, 1), Importance::Low);
  int turns = 1;
  for (; turns <= 20; ++turns) {
    Hold(Flow(2, static_cast<std::uint16_t>(100 + turns)), Importance::High);
    if (NextInTurn() == 1) {
      break;
    }
  }
  CHECK_EQUAL(8, turns);
}

// The host hangs: nothing is answered. Its own queue must decide on a request
// while the request can still be in time.
TEST(RequestScheduler, RequestIsReleasedAtHalfItsTarget)
{
  Hold(Flow(1, 1), Importance::Normal);
  mNow += 99ms;
  CHECK_EQUAL(0, Next());
  mNow += 1ms;
  auto next = mScheduler.Next(mHost, HostEvent::None, mNow);
  CHECK_TRUE(next && next->mIsOverdue);
}

// The host's queue is long: a request released at half its target would be
// late.
TEST(RequestScheduler, RequestIsReleasedEarlierIfItsTimeAtTheHostIsLong)
{
  Hold(Flow(1, 1), Importance::Normal, 120ms);
  mHost.mInProgress = 9;
  mNow += 20ms;
  CHECK_EQUAL(1, Next());
}

TEST(RequestScheduler, AnAnswerReleasesOneRequestARejectionAnOrdinaryOne)
{
  Hold(Flow(1, 1), Importance::High);
  Hold(Flow(2, 2), Importance::Normal);
  Hold(Flow(3, 3), Importance::Normal);
  CHECK_EQUAL(2, Next(HostEvent::Rejected));
  CHECK_EQUAL(0, Next());
  CHECK_EQUAL(1, Next(HostEvent::Answered));
  CHECK_EQUAL(3, Next(HostEvent::Rejected));
}

TEST(RequestScheduler, PacketsOfAFlowStayInOrderAndRepeatedOnesAreDropped)
{
  CHECK(Hold(Flow(1, 1), Importance::Normal, 200ms, 1) == Outcome::Held);
  CHECK(Hold(Flow(1, 1), Importance::Normal, 200ms, 21) == Outcome::Held);
  CHECK(Hold(Flow(1, 1), Importance::Normal, 200ms, 1) == Outcome::Repeated);
  // Overtaken on its way, never held.
  CHECK(Hold(Flow(1, 1), Importance::Normal, 200ms, 11) == Outcome::Held);
  auto request = mScheduler.Take(Flow(1, 1));
  CHECK_EQUAL(3, request->mPackets.size());
  CHECK_EQUAL(1, request->mPackets[0].mHeader.mSequence);
  CHECK_EQUAL(21, request->mPackets[1].mHeader.mSequence);
  CHECK_EQUAL(11, request->mPackets[2].mHeader.mSequence);
  CHECK_EQUAL(0, mScheduler.Size());
  CHECK_FALSE(mScheduler.Take(Flow(1, 1)).has_value());
}

TEST(RequestScheduler, WhatIsHeldIsBounded)
{
  for (std::uint32_t i = 0; i < RequestScheduler::kMaxPacketsPerFlow; ++i) {
    CHECK(Hold(Flow(1, 1), Importance::Normal, 200ms, 1 + 10 * i) ==
          Outcome::Held);
  }
  CHECK(Hold(Flow(1, 1), Importance::Normal, 200ms, 9999) == Outcome::NoRoom);
  std::uint16_t port = 2;
  while (Hold(Flow(2, port), Importance::Normal) == Outcome::Held) {
    ++port;
  }
  std::size_t others =
    RequestScheduler::kMaxPackets - RequestScheduler::kMaxPacketsPerFlow;
  CHECK_EQUAL(1 + others, mScheduler.Size());
  while (mScheduler.TakeOldest()) {
  }
  CHECK(Hold(Flow(1, 1), Importance::Normal, 200ms, 1,
             RequestScheduler::kMaxBytes) == Outcome::Held);
  CHECK(Hold(Flow(1, 2), Importance::Normal) == Outcome::NoRoom);
}
