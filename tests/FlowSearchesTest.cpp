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

  FlowSearches::Decision Packet(std::uint16_t aPort = 1)
  {
    return mSearches.OnPacket(Flow(aPort), {}, mClock.Now());
  }
};

TEST(FlowSearches, OneSearchPerFlowAtATime)
{
  CHECK_TRUE(Packet().mSearch);
  CHECK_FALSE(Packet().mSearch);
  CHECK_TRUE(Packet(2).mSearch);
  CHECK_EQUAL(1, mSearches.TakeFound(Flow(1)).size());
  CHECK_TRUE(Packet().mSearch);
}

// The packet of a search is lost, or its agent is dead. The caller repeats its
// packet after 200 ms, which starts another search in another order.
TEST(FlowSearches, UnansweredSearchIsFollowedByAnother)
{
  Packet();
  Packet();
  mClock.Advance(200ms);
  auto again = Packet();
  CHECK_TRUE(again.mSearch);
  CHECK_EQUAL(1, again.mEarlierSearches);
  // The packet held for the first search was dropped: the caller sends it
  // again.
  CHECK_EQUAL(0, mSearches.TakeFound(Flow(1)).size());
}

TEST(FlowSearches, SearchesOfAFlowExpire)
{
  Packet();
  mClock.Advance(2s);
  auto again = Packet();
  CHECK_TRUE(again.mSearch);
  CHECK_EQUAL(0, again.mEarlierSearches);
}

// Load: a hundred flows that no host holds, with a window of packets each. Held
// packets are bounded per flow and in total, and their capacity becomes free
// again.
TEST(FlowSearches, HeldPacketsAreBounded)
{
  for (std::uint16_t flow = 0; flow < 100; ++flow) {
    for (int i = 0; i < 64; ++i) {
      Packet(flow);
    }
  }
  CHECK_EQUAL(FlowSearches::kMaxHeldPerFlow,
              mSearches.TakeFound(Flow(0)).size());
  std::size_t held = 0;
  for (std::uint16_t flow = 1; flow < 100; ++flow) {
    held += mSearches.TakeFound(Flow(flow)).size();
  }
  CHECK_EQUAL(FlowSearches::kMaxHeldTotal - FlowSearches::kMaxHeldPerFlow,
              held);
  Packet();
  Packet();
  CHECK_EQUAL(1, mSearches.TakeFound(Flow(1)).size());
}
