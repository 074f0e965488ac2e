#include "src/passthrough/ColdRate.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

constexpr double kRate = 20;

} // namespace

TEST_GROUP(ColdRate)
{
  ManualClock mClock;
  std::vector<Time> mAdmittedAt;

  bool Offer(ColdRate & aRate, Importance aImportance)
  {
    bool takes = aRate.Allows(kRate, aImportance, mClock.Now());
    if (takes) {
      aRate.OnAdmitted(mClock.Now());
      mAdmittedAt.push_back(mClock.Now());
    }
    return takes;
  }

  std::size_t MaxInASecond() const
  {
    std::size_t peak = 0;
    for (Time from : mAdmittedAt) {
      peak = std::max<std::size_t>(
        peak, std::ranges::count_if(mAdmittedAt, [&](Time aIt) {
          return aIt >= from && aIt - from < 1s;
        }));
    }
    return peak;
  }
};

// Load: all callers of a restarted data centre at once, ten times the hosts'
// capacity, for three seconds.
TEST(ColdRate, NoWindowOfASecondExceedsTheRate)
{
  mClock.Advance(1s);
  ColdRate rate(mClock.Now() - 1s);
  for (int i = 0; i < 600; ++i) {
    Offer(rate, Importance::High);
    mClock.Advance(5ms);
  }
  CHECK_EQUAL(20, MaxInASecond());
  CHECK_EQUAL(60, mAdmittedAt.size());
}

// Load: ordinary flows first, then important ones, while all hosts are cold.
TEST(ColdRate, LastPartIsReservedForImportantFlows)
{
  mClock.Advance(1s);
  ColdRate rate(mClock.Now() - 1s);
  int ordinary = 0;
  int important = 0;
  for (int i = 0; i < 30; ++i) {
    ordinary += Offer(rate, Importance::Normal) ? 1 : 0;
  }
  for (int i = 0; i < 30; ++i) {
    important += Offer(rate, Importance::High) ? 1 : 0;
  }
  CHECK_EQUAL(16, ordinary);
  CHECK_EQUAL(4, important);
}

// Guards against an agent that restarts within the window and gives its cold
// host the full rate a second time.
TEST(ColdRate, FirstWindowAfterAgentStartCountsAsUsedUp)
{
  ColdRate before(mClock.Now() - 1s);
  while (Offer(before, Importance::High)) {
  }
  mClock.Advance(300ms);
  ColdRate after(mClock.Now());
  for (int i = 0; i < 100; ++i) {
    Offer(after, Importance::High);
    mClock.Advance(20ms);
  }
  CHECK_EQUAL(20, MaxInASecond());
}

TEST(ColdRate, RateOfZeroMeansNoLimit)
{
  ColdRate rate(mClock.Now());
  CHECK_TRUE(rate.Allows(0, Importance::Low, mClock.Now()));
}

// A rate below one flow a second still admits one, so that the host warms up.
TEST(ColdRate, RateBelowOneAdmitsOneFlow)
{
  ColdRate rate(mClock.Now() - 1s);
  CHECK_TRUE(rate.Allows(0.5, Importance::Normal, mClock.Now()));
  rate.OnAdmitted(mClock.Now());
  CHECK_FALSE(rate.Allows(0.5, Importance::High, mClock.Now()));
}
