#include "src/base/LogQueue.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

TEST_GROUP(LogQueue)
{
  ManualClock mClock;
  LogQueue mQueue;
};

TEST(LogQueue, ReturnsLinesOnceAndInOrder)
{
  CHECK_TRUE(mQueue.IsEmpty());
  mQueue.Put(LogClass::Diagnostic, "a\n", mClock.Now());
  mQueue.Put(LogClass::Flow, "b\n", mClock.Now());
  STRCMP_EQUAL("a\nb\n", mQueue.Take().c_str());
  CHECK_TRUE(mQueue.IsEmpty());
  STRCMP_EQUAL("", mQueue.Take().c_str());
}

// Flow lines at a rate above the limit fill the queue. The log must still hold
// the line that says why a host was declared dead, and a count of lost lines.
TEST(LogQueue, ExcessFlowLinesLeaveRoomForDiagnosticsAndAreReported)
{
  std::string line(1000, 'x');
  for (int second = 0; second < 5; ++second) {
    for (int i = 0; i < 1000; ++i) {
      mQueue.Put(LogClass::Flow, line, mClock.Now());
    }
    mClock.Advance(1s);
  }
  mQueue.Put(LogClass::Diagnostic, "event=host_dead\n", mClock.Now());
  std::string text = mQueue.Take();
  CHECK_TRUE(text.size() <= LogQueue::kMaxBytes + 100);
  CHECK_TRUE(text.find("event=host_dead") != std::string::npos);
  CHECK_TRUE(text.find("event=log_dropped lines=") != std::string::npos);
  CHECK_TRUE(mQueue.Dropped() > 0);
}

TEST(LogQueue, AdmitFlowLineFailsOnceTheRateLimitIsReached)
{
  for (std::uint32_t i = 0; i < LogQueue::kMaxFlowLinesPerSecond; ++i) {
    CHECK_TRUE(mQueue.AdmitFlowLine(mClock.Now()));
    mQueue.Put(LogClass::Flow, "x\n", mClock.Now());
  }
  CHECK_FALSE(mQueue.AdmitFlowLine(mClock.Now()));
  CHECK_EQUAL(1, mQueue.Dropped());
}

TEST(LogQueue, FlowLineRateLimitRenewsEachSecond)
{
  for (std::uint32_t i = 0; i < LogQueue::kMaxFlowLinesPerSecond + 7; ++i) {
    mQueue.Put(LogClass::Flow, "x\n", mClock.Now());
  }
  CHECK_EQUAL(7, mQueue.Dropped());
  mClock.Advance(1s);
  mQueue.Put(LogClass::Flow, "x\n", mClock.Now());
  CHECK_EQUAL(7, mQueue.Dropped());
}
