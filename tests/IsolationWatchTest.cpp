#include "src/passthrough/IsolationWatch.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(IsolationWatch)
{
  static constexpr std::uint16_t kAgents = 12;

  ManualClock mClock;
  IsolationWatch mWatch;

  void Receive(std::uint16_t aFrom, std::uint16_t aTo)
  {
    for (std::uint16_t i = aFrom; i < aTo; ++i) {
      Address agent;
      agent.mPort = i;
      mWatch.OnMessage(agent, mClock.Now());
    }
  }
  /** Advances the clock and probes the agents whenever the watch requires it.
   * The agents from aAnswering on answer at once. */
  void Advance(Duration aDuration, std::uint16_t aAnswering = kAgents)
  {
    for (Time end = mClock.Now() + aDuration; mClock.Now() < end;) {
      if (mWatch.ShouldProbe(kAgents, mClock.Now())) {
        mWatch.OnProbed(Agents(), mClock.Now());
        Receive(aAnswering, kAgents);
      }
      mClock.Advance(50ms);
      IsIsolated();
    }
  }
  static std::vector<Address> Agents()
  {
    std::vector<Address> out(kAgents);
    for (std::uint16_t i = 0; i < kAgents; ++i) {
      out[i].mPort = i;
    }
    return out;
  }
  bool IsIsolated()
  {
    return mWatch.IsIsolated(kAgents, mClock.Now());
  }
};

// The VM of a balancer is cut off from the hosts, but callers still reach it.
// The fabric must be notified, or a seventh of all callers get no answer.
// Messages from a host that joined after the cut do not end the isolation.
TEST(IsolationWatch, MissingMessagesOfMostAgentsMeanIsolation)
{
  Receive(0, kAgents);
  Advance(IsolationWatch::kHeartbeatTimeout);
  CHECK_FALSE(IsIsolated());
  Advance(IsolationWatch::kProbeTimeout + 100ms);
  CHECK_TRUE(IsIsolated());
  Receive(kAgents, kAgents + 1);
  CHECK_TRUE(IsIsolated());
  Receive(0, 4);
  CHECK_FALSE(IsIsolated());
}

// The cut lasts longer than unresponsive agents are remembered. If the balancer
// forgot these agents meanwhile, it would know no unresponsive agent and report
// ready.
TEST(IsolationWatch, IsolationLastsThroughALongCut)
{
  Receive(0, kAgents);
  for (int i = 0; i < 60; ++i) {
    Advance(1s);
    CHECK_TRUE(IsIsolated());
  }
  Receive(0, kAgents);
  CHECK_FALSE(IsIsolated());
}

TEST(IsolationWatch, SomeDeadAgentsAreNoIsolation)
{
  Receive(0, kAgents);
  Advance(700ms);
  Receive(0, kAgents / 2);
  Advance(700ms);
  CHECK_FALSE(IsIsolated());
}

TEST(IsolationWatch, StartWithoutAgentsIsNoIsolation)
{
  Advance(1min);
  CHECK_FALSE(IsIsolated());
}

TEST(IsolationWatch, ProcessStallIsNoIsolation)
{
  Receive(0, kAgents);
  mClock.Advance(5s);
  mWatch.OnProcessStall(mClock.Now());
  CHECK_FALSE(IsIsolated());
}

// All VMs return from a power loss. Each agent greets every balancer, then
// sends heartbeats to its three monitors only. A balancer that does not know
// all other balancers yet believes that it monitors nearly all agents, and
// receives heartbeats from few. If it reported isolation, the fabric would send
// nearly all flows to other balancers, twice.
TEST(IsolationWatch, AgentsThatOnlyAnswerProbesAreNoIsolation)
{
  Receive(0, kAgents);
  for (int i = 0; i < 100; ++i) {
    Advance(50ms, 6);
    CHECK_FALSE(IsIsolated());
  }
}

// Agents that send heartbeats to other balancers answer probes, and then the
// link of the VM is cut: answers to earlier probes prove nothing afterwards.
TEST(IsolationWatch, AnswerCountsForItsProbeOnly)
{
  Receive(0, kAgents);
  Advance(5s, 6);
  Advance(IsolationWatch::kProbeInterval + IsolationWatch::kHeartbeatTimeout +
          IsolationWatch::kProbeTimeout + 100ms);
  CHECK_TRUE(IsIsolated());
}
