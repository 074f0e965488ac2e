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

  bool Packet(std::uint16_t aPort = 1)
  {
    return mSearches.OnPacket(Flow(aPort), {}, mClock.Now());
  }
  static SteeredPacket Numbered(std::uint8_t aNumber)
  {
    SteeredPacket out;
    out.mPacket = { aNumber };
    return out;
  }
};

TEST(FlowSearches, OneLookupPerFlowAtATime)
{
  CHECK_TRUE(Packet());
  CHECK_FALSE(Packet());
  CHECK_TRUE(Packet(2));
  CHECK_EQUAL(1, mSearches.TakeFound(Flow(1)).size());
  CHECK_TRUE(Packet());
}

// No agent replies to a search. A later packet of the caller starts another
// one.
TEST(FlowSearches, UnansweredLookupIsFollowedByAnother)
{
  Packet();
  Packet();
  mClock.Advance(FlowSearches::kAnswerTimeout);
  CHECK_TRUE(Packet());
  // The packet held for the first lookup was dropped: the caller sends it
  // again.
  CHECK_EQUAL(0, mSearches.TakeFound(Flow(1)).size());
}

TEST(FlowSearches, LookupsOfAFlowExpire)
{
  Packet();
  mClock.Advance(FlowSearches::kRetentionDuration);
  CHECK_TRUE(Packet(2));
  CHECK_TRUE(mSearches.First(Flow(1)) == nullptr);
}

// A replica forwards the first packet. If it does not answer, the packet waits
// with the others for the result of the query.
TEST(FlowSearches, FirstPacketIsDeliveredUnlessAReplicaForwardedIt)
{
  Packet();
  CHECK_EQUAL(0, mSearches.TakeFound(Flow(1)).size());
  mSearches.OnPacket(Flow(1), Numbered(1), mClock.Now());
  mSearches.OnPacket(Flow(1), Numbered(2), mClock.Now());
  CHECK_TRUE(mSearches.BeginQuery(Flow(1)));
  auto found = mSearches.TakeFound(Flow(1));
  CHECK_EQUAL(2, found.size());
  CHECK_EQUAL(1, found[0].mPacket[0]);
  CHECK_EQUAL(2, found[1].mPacket[0]);
}

// A replica returns the packet just when its timeout passes. Both start the
// query, which must run once, and the packet must not be delivered twice.
TEST(FlowSearches, ReturnedPacketAndTimeoutStartOneSearch)
{
  mSearches.OnPacket(Flow(1), Numbered(1), mClock.Now());
  mClock.Advance(FlowSearches::kLocateTimeout);
  CHECK_EQUAL(1, mSearches.TakeUnlocated(mClock.Now()).size());
  CHECK_TRUE(mSearches.BeginQuery(Flow(1)));
  CHECK_FALSE(mSearches.OnReturned(Flow(1), Numbered(1), mClock.Now()));
  CHECK_FALSE(mSearches.BeginQuery(Flow(1)));
  CHECK_EQUAL(1, mSearches.TakeFound(Flow(1)).size());
}

TEST(FlowSearches, OnlyUnansweredLookupsTimeOut)
{
  CHECK_FALSE(mSearches.NextAt().has_value());
  Packet(1);
  Packet(2);
  Packet(3);
  mSearches.TakeFound(Flow(1));
  mSearches.BeginQuery(Flow(2));
  CHECK(*mSearches.NextAt() == mClock.Now() + FlowSearches::kLocateTimeout);
  mClock.Advance(FlowSearches::kLocateTimeout);
  auto flows = mSearches.TakeUnlocated(mClock.Now());
  CHECK_EQUAL(1, flows.size());
  CHECK(flows[0] == Flow(3));
  CHECK_FALSE(mSearches.NextAt().has_value());
}

// After a loss of all hosts, thousands of flows are looked up in vain. Their
// lookups make room for others after the timeout.
TEST(FlowSearches, UnansweredLookupsMakeRoomWhenFull)
{
  for (std::size_t i = 0; i < FlowSearches::kMaxFlows; ++i) {
    CHECK_TRUE(Packet(static_cast<std::uint16_t>(i)));
  }
  CHECK_FALSE(Packet(60000));
  mClock.Advance(FlowSearches::kAnswerTimeout);
  CHECK_TRUE(Packet(60000));
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
    mSearches.BeginQuery(Flow(flow));
  }
  CHECK_EQUAL(FlowSearches::kMaxHeldPerFlow,
              mSearches.TakeFound(Flow(0)).size());
  std::size_t held = 0;
  for (std::uint16_t flow = 1; flow < 100; ++flow) {
    held += mSearches.TakeFound(Flow(flow)).size() - 1;
  }
  CHECK_EQUAL(FlowSearches::kMaxHeldTotal - FlowSearches::kMaxHeldPerFlow + 1,
              held);
  Packet();
  Packet();
  CHECK_EQUAL(1, mSearches.TakeFound(Flow(1)).size());
}
