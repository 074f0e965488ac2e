#include "src/metrics/TrafficMeter.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(TrafficMeter)
{
  ManualClock mClock;
  TrafficMeter mMeter{ mClock.Now() };

  /** Adds aBytes in one message in each of aSeconds, with a tick after each. */
  void Send(TrafficCause aCause, std::size_t aBytes, int aSeconds)
  {
    for (int i = 0; i < aSeconds; ++i) {
      mMeter.Add(aCause, TrafficBoundary::Own, aBytes);
      Tick();
    }
  }

  void Tick(Duration aBy = std::chrono::seconds(1))
  {
    mClock.Advance(aBy);
    mMeter.OnTick(mClock.Now());
  }

  double OwnRate(TrafficCause aCause) const
  {
    return mMeter.Rate(aCause, TrafficBoundary::Own, mClock.Now()).mBytes;
  }
};

TEST(TrafficMeter, TotalsAreKeptByCauseAndBoundary)
{
  mMeter.Add(TrafficCause::Search, TrafficBoundary::Other, 100);
  mMeter.Add(TrafficCause::Search, TrafficBoundary::Other, 50);
  mMeter.Add(TrafficCause::Search, TrafficBoundary::Own, 7);
  mMeter.Add(TrafficCause::Query, TrafficBoundary::Other, 9);
  const auto& crossing =
    mMeter.Total(TrafficCause::Search, TrafficBoundary::Other);
  CHECK_EQUAL(150, crossing.mBytes);
  CHECK_EQUAL(2, crossing.mMessages);
  CHECK_EQUAL(7,
              mMeter.Total(TrafficCause::Search, TrafficBoundary::Own).mBytes);
  CHECK_EQUAL(9,
              mMeter.Total(TrafficCause::Query, TrafficBoundary::Other).mBytes);
  CHECK_EQUAL(
    0, mMeter.Total(TrafficCause::Query, TrafficBoundary::Unknown).mMessages);
}

TEST(TrafficMeter, EachCauseAndBoundaryHasAUniqueName)
{
  std::string names;
  for (int i = 0; i <= static_cast<int>(TrafficCause::Last); ++i) {
    names.append(ToString(static_cast<TrafficCause>(i))).append(" ");
  }
  for (int i = 0; i <= static_cast<int>(TrafficBoundary::Last); ++i) {
    names.append(ToString(static_cast<TrafficBoundary>(i))).append(" ");
  }
  STRCMP_EQUAL("heartbeat view document record query search offer forward "
               "report other own other unknown ",
               names.c_str());
}

TEST(TrafficMeter, RateCoversTheLastTenSecondsOnly)
{
  Send(TrafficCause::View, 1000, 30);
  DOUBLES_EQUAL(1000, OwnRate(TrafficCause::View), 1);
  Send(TrafficCause::View, 0, 10);
  DOUBLES_EQUAL(0, OwnRate(TrafficCause::View), 1);
}

// A process that just started would otherwise report a rate far above its mean
// and log that it exceeds its budget: it sends its first messages at once.
TEST(TrafficMeter, MessagesAtTheStartAreDividedByTheWholeWindow)
{
  mMeter.Add(TrafficCause::View, TrafficBoundary::Own, 200000);
  Tick();
  DOUBLES_EQUAL(20000, OwnRate(TrafficCause::View), 1);
  CHECK_FALSE(mMeter.TakeOverrun(mClock.Now()).has_value());
}

// A process that was stopped for a minute makes no ticks meanwhile.
TEST(TrafficMeter, RateAfterAStallIsTheMeanSinceBeforeTheStall)
{
  Send(TrafficCause::View, 1000, 20);
  Tick(std::chrono::seconds(60));
  DOUBLES_EQUAL(0, OwnRate(TrafficCause::View), 1);
  Send(TrafficCause::View, 7100, 10);
  DOUBLES_EQUAL(7100, OwnRate(TrafficCause::View), 1);
}

TEST(TrafficMeter, FrequentTicksDoNotShortenTheWindow)
{
  for (int i = 0; i < 400; ++i) {
    mMeter.Add(TrafficCause::View, TrafficBoundary::Own, 50);
    Tick(std::chrono::milliseconds(50));
  }
  DOUBLES_EQUAL(1000, OwnRate(TrafficCause::View), 100);
}

TEST(TrafficMeter, ControlTrafficAboveTheBudgetIsReportedWithItsLargestCause)
{
  for (int i = 0; i < 10; ++i) {
    mMeter.Add(TrafficCause::Heartbeat, TrafficBoundary::Own, 6000);
    mMeter.Add(TrafficCause::Search, TrafficBoundary::Own, 8000);
    mMeter.Add(TrafficCause::Search, TrafficBoundary::Other, 9000);
    mMeter.Add(TrafficCause::Document, TrafficBoundary::Other, 10000);
    Tick();
  }
  auto overrun = mMeter.TakeOverrun(mClock.Now());
  CHECK_TRUE(overrun.has_value());
  DOUBLES_EQUAL(33000, overrun->mControlBytes, 1);
  CHECK(overrun->mLargestCause == TrafficCause::Search);
  DOUBLES_EQUAL(17000, overrun->mLargestCauseBytes, 1);
}

// A balancer that is busy with callers' packets would otherwise report control
// traffic that it does not send.
TEST(TrafficMeter, OffersAndForwardsAreNotControlTraffic)
{
  Send(TrafficCause::Forward, 1000000, 10);
  Send(TrafficCause::Offer, 1000000, 10);
  DOUBLES_EQUAL(0, mMeter.ControlRate(mClock.Now()), 1);
  CHECK_FALSE(mMeter.TakeOverrun(mClock.Now()).has_value());
}

// Hours of overrun would otherwise fill the log with a line a second.
TEST(TrafficMeter, LastingOverrunIsReportedOnceInTenSeconds)
{
  int reports = 0;
  for (int i = 0; i < 60; ++i) {
    Send(TrafficCause::View, 50000, 1);
    reports += mMeter.TakeOverrun(mClock.Now()) ? 1 : 0;
  }
  CHECK_EQUAL(6, reports);
}
