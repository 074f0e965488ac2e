#include "src/base/LogQueue.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(LogQueue)
{
  ManualClock mClock;
  LogQueue mQueue;
};

TEST(LogQueue, GivesLinesInOrderAndOnce)
{
  CHECK_TRUE(mQueue.IsEmpty());
  mQueue.Put(LogClass::Belief, "a\n", mClock.Now());
  mQueue.Put(LogClass::Flow, "b\n", mClock.Now());
  STRCMP_EQUAL("a\nb\n", mQueue.Take().c_str());
  CHECK_TRUE(mQueue.IsEmpty());
  STRCMP_EQUAL("", mQueue.Take().c_str());
}

// A flood of flows floods the log. The engineer who looks for why a host was
// taken for dead must still find that line, and see that others are missing.
TEST(LogQueue, AFloodOfOrdinaryLinesLeavesRoomForBeliefsAndIsSaid)
{
  std::string line(1000, 'x');
  for (int second = 0; second < 5; ++second) {
    for (int i = 0; i < 1000; ++i) {
      mQueue.Put(LogClass::Flow, line, mClock.Now());
    }
    mClock.Advance(1s);
  }
  mQueue.Put(LogClass::Belief, "event=host_dead\n", mClock.Now());
  std::string text = mQueue.Take();
  CHECK_TRUE(text.size() <= LogQueue::kMostBytes + 100);
  CHECK_TRUE(text.find("event=host_dead") != std::string::npos);
  CHECK_TRUE(text.find("event=log_dropped lines=") != std::string::npos);
  CHECK_TRUE(mQueue.Dropped() > 0);
}

TEST(LogQueue, SaysBeforehandThatTheBudgetIsSpent)
{
  for (std::uint32_t i = 0; i < LogQueue::kMostFlowLinesPerSecond; ++i) {
    CHECK_TRUE(mQueue.HasFlowBudget(mClock.Now()));
    mQueue.Put(LogClass::Flow, "x\n", mClock.Now());
  }
  CHECK_FALSE(mQueue.HasFlowBudget(mClock.Now()));
  CHECK_EQUAL(1, mQueue.Dropped());
}

TEST(LogQueue, OrdinaryLinesHaveABudgetASecond)
{
  for (std::uint32_t i = 0; i < LogQueue::kMostFlowLinesPerSecond + 7; ++i) {
    mQueue.Put(LogClass::Flow, "x\n", mClock.Now());
  }
  CHECK_EQUAL(7, mQueue.Dropped());
  mClock.Advance(1s);
  mQueue.Put(LogClass::Flow, "x\n", mClock.Now());
  CHECK_EQUAL(7, mQueue.Dropped());
}
