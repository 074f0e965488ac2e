#include "src/decide/ShiftLimiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

// Two equal hosts; work is distributed by the inverse square of latencies,
// which grow with the work and are observed 300 ms late. Returns the largest
// deviation of one host's share from one half in the last ten of twenty
// seconds.
double SimulateSwing(double aFactorPerSecond)
{
  ShiftLimiter limiter(aFactorPerSecond);
  const HostId first{ 1 };
  const HostId second{ 2 };
  std::deque<double> delayed(3, 0.6);
  double swing = 0;
  for (int step = 0; step < 200; ++step) {
    const Time now = Time{} + 1h + step * 100ms;
    const double observed = delayed.front();
    delayed.pop_front();
    const double best = std::min(observed, 1 - observed);
    const double toFirst = best / observed * (best / observed);
    const double toSecond = best / (1 - observed) * (best / (1 - observed));
    const double a = limiter.Move(first, std::max(0.05, toFirst), now);
    const double b = limiter.Move(second, std::max(0.05, toSecond), now);
    delayed.push_back(a / (a + b));
    if (step >= 100) {
      swing = std::max(swing, std::abs(delayed.back() - 0.5));
    }
  }
  return swing;
}

} // namespace

TEST_GROUP(ShiftLimiter){};

// Every balancer sends its work to the host that was faster a moment ago. That
// host slows down, and all switch to the other one, with growing amplitude:
// clients see alternating fast and slow periods under an even load.
TEST(ShiftLimiter, DelayedReportsDoNotCauseLoadOscillation)
{
  CHECK_TRUE(SimulateSwing(2.0) < 0.15);
  CHECK_TRUE(SimulateSwing(1e9) > 0.4);
}

TEST(ShiftLimiter, ShareChangesAtMostByAFactorOfTwoPerSecond)
{
  ShiftLimiter limiter;
  const HostId host{ 1 };
  const Time now = Time{} + 1h;
  DOUBLES_EQUAL(1.0, limiter.Move(host, 0.01, now), 1e-9);
  DOUBLES_EQUAL(0.5, limiter.Move(host, 0.01, now + 1s), 1e-9);
  DOUBLES_EQUAL(1.0, limiter.Move(host, 9.0, now + 2s), 1e-9);
}
