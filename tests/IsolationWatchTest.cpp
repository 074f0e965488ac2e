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

  void Hear(std::uint16_t aFrom, std::uint16_t aTo)
  {
    for (std::uint16_t i = aFrom; i < aTo; ++i) {
      Address agent;
      agent.mPort = i;
      mWatch.OnHeard(agent, mClock.Now());
    }
  }
  /** Time passes, and the balancer asks the first agents whenever it is to;
   * those from aAnswering on answer at once. */
  void Pass(Duration aFor, std::uint16_t aAnswering = kAgents)
  {
    for (Time end = mClock.Now() + aFor; mClock.Now() < end;) {
      if (mWatch.WantsToAsk(kAgents, mClock.Now())) {
        mWatch.OnAsked(Agents(), mClock.Now());
        Hear(aAnswering, kAgents);
      }
      mClock.Advance(50ms);
      Isolated();
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
  Pass(IsolationWatch::kSilentAfter);
  CHECK_FALSE(Isolated());
  Pass(IsolationWatch::kAnswerWithin + 100ms);
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
    Pass(1s);
    CHECK_TRUE(Isolated());
  }
  Hear(0, kAgents);
  CHECK_FALSE(Isolated());
}

TEST(IsolationWatch, SomeDeadAgentsAreNoCut)
{
  Hear(0, kAgents);
  Pass(700ms);
  Hear(0, kAgents / 2);
  Pass(700ms);
  CHECK_FALSE(Isolated());
}

TEST(IsolationWatch, AloneFromTheStartIsNoCut)
{
  Pass(1min);
  CHECK_FALSE(Isolated());
}

TEST(IsolationWatch, AStandstillIsNoCut)
{
  Hear(0, kAgents);
  mClock.Advance(5s);
  mWatch.OnStandstill(mClock.Now());
  CHECK_FALSE(Isolated());
}

// Everything lost power and came back. Each agent greets every balancer, then
// beats to its three monitors only; a balancer that does not know all others
// yet believes that it judges nearly all agents, and hears few. Were it to call
// itself cut off, the fabric would move nearly all flows, twice.
TEST(IsolationWatch, AgentsThatBeatElsewhereAnswerAndAreNoCut)
{
  Hear(0, kAgents);
  for (int i = 0; i < 100; ++i) {
    Pass(50ms, 6);
    CHECK_FALSE(Isolated());
  }
}

// The same, as the machine's link is cut afterwards: a question that was
// answered once proves nothing later.
TEST(IsolationWatch, AnAnswerCountsForItsQuestionOnly)
{
  Hear(0, kAgents);
  Pass(5s, 6);
  Pass(IsolationWatch::kAskEvery + IsolationWatch::kSilentAfter +
       IsolationWatch::kAnswerWithin + 100ms);
  CHECK_TRUE(Isolated());
}
