#include "src/passthrough/FlowSearches.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

FlowKey Flow(std::uint16_t aPort)
{
  FlowKey out;
  out.mCaller.mPort = aPort;
  return out;
}

} // namespace

TEST_GROUP(FlowSearches)
{
  ManualClock mClock;
  FlowSearches mSearches;

  FlowSearches::Verdict Packet(std::uint16_t aPort = 1)
  {
    return mSearches.OnPacket(Flow(aPort), {}, mClock.Now());
  }
};

TEST(FlowSearches, OneSearchAFlowAtATime)
{
  CHECK_TRUE(Packet().mSearch);
  CHECK_FALSE(Packet().mSearch);
  CHECK_TRUE(Packet(2).mSearch);
  CHECK_EQUAL(1, mSearches.TakeFound(Flow(1)).size());
  CHECK_TRUE(Packet().mSearch);
}

// The packet of a search is lost, or its agent is dead. The caller repeats
// after 200 ms, and that begins another search, in another order.
TEST(FlowSearches, ASearchWithoutAnAnswerIsFollowedByAnother)
{
  Packet();
  Packet();
  mClock.Advance(200ms);
  auto again = Packet();
  CHECK_TRUE(again.mSearch);
  CHECK_EQUAL(1, again.mEarlier);
  // What waited for the first one is gone: the caller sends it again.
  CHECK_EQUAL(0, mSearches.TakeFound(Flow(1)).size());
}

TEST(FlowSearches, ForgetsAFlowThatNobodySearchesFor)
{
  Packet();
  mClock.Advance(2s);
  auto again = Packet();
  CHECK_TRUE(again.mSearch);
  CHECK_EQUAL(0, again.mEarlier);
}

// Load: a hundred flows that no host holds, with a window of packets each. What
// waits is bounded for a flow and in all, and comes free again.
TEST(FlowSearches, WhatWaitsIsBounded)
{
  for (std::uint16_t flow = 0; flow < 100; ++flow) {
    for (int i = 0; i < 64; ++i) {
      Packet(flow);
    }
  }
  CHECK_EQUAL(FlowSearches::kMostHeld, mSearches.TakeFound(Flow(0)).size());
  std::size_t held = 0;
  for (std::uint16_t flow = 1; flow < 100; ++flow) {
    held += mSearches.TakeFound(Flow(flow)).size();
  }
  CHECK_EQUAL(FlowSearches::kMostHeldInAll - FlowSearches::kMostHeld, held);
  Packet();
  Packet();
  CHECK_EQUAL(1, mSearches.TakeFound(Flow(1)).size());
}
