#include "src/passthrough/IsolationWatch.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(IsolationWatch)
{
  static constexpr std::uint16_t kAgents = 12;

  ManualClock mClock;
  IsolationWatch mWatch;

  void Hear(std::uint16_t aFrom, std::uint16_t aTo)
  {
    for (std::uint16_t i = aFrom; i < aTo; ++i) {
      Address agent;
      agent.mPort = i;
      mWatch.OnHeard(agent, mClock.Now());
    }
  }
  bool Isolated()
  {
    return mWatch.IsIsolated(kAgents, mClock.Now());
  }
};

// An entry machine is cut off from the hosts, but callers still reach it. The
// fabric must be told, or a seventh of all boat owners get no answer. A host
// that joined after the cut is heard, which changes nothing for the others.
TEST(IsolationWatch, SilenceOfMostAgentsIsACut)
{
  Hear(0, kAgents);
  mClock.Advance(IsolationWatch::kSilentAfter);
  CHECK_FALSE(Isolated());
  mClock.Advance(1ms);
  CHECK_TRUE(Isolated());
  Hear(kAgents, kAgents + 1);
  CHECK_TRUE(Isolated());
  Hear(0, 4);
  CHECK_FALSE(Isolated());
}

// The cut lasts longer than dead agents are remembered. A balancer that then
// forgets whom it used to hear would call itself ready again in the midst of
// it.
TEST(IsolationWatch, ALongCutStaysACut)
{
  Hear(0, kAgents);
  for (int i = 0; i < 60; ++i) {
    mClock.Advance(1s);
    CHECK_TRUE(Isolated());
  }
  Hear(0, kAgents);
  CHECK_FALSE(Isolated());
}

TEST(IsolationWatch, SomeDeadAgentsAreNoCut)
{
  Hear(0, kAgents);
  mClock.Advance(2s);
  Hear(0, kAgents / 2);
  CHECK_FALSE(Isolated());
}

TEST(IsolationWatch, AloneFromTheStartIsNoCut)
{
  mClock.Advance(1h);
  CHECK_FALSE(Isolated());
}

TEST(IsolationWatch, AStandstillIsNoCut)
{
  Hear(0, kAgents);
  mClock.Advance(5s);
  mWatch.OnStandstill(mClock.Now());
  CHECK_FALSE(Isolated());
}
