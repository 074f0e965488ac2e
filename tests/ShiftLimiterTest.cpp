#include "src/decide/ShiftLimiter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

// Two hosts alike; work goes by the inverse square of latencies, which grow
// with the work and are seen 300 ms late. How far from even the share of one
// host still swings in the last ten of twenty seconds.
double Swing(double aFactorPerSecond)
{
  ShiftLimiter limiter(aFactorPerSecond);
  const HostId first{ 1 };
  const HostId second{ 2 };
  std::deque<double> seen(3, 0.6);
  double swing = 0;
  for (int step = 0; step < 200; ++step) {
    const Time now = Time{} + 1h + step * 100ms;
    const double late = seen.front();
    seen.pop_front();
    const double best = std::min(late, 1 - late);
    const double toFirst = best / late * (best / late);
    const double toSecond = best / (1 - late) * (best / (1 - late));
    const double a = limiter.Move(first, std::max(0.05, toFirst), now);
    const double b = limiter.Move(second, std::max(0.05, toSecond), now);
    seen.push_back(a / (a + b));
    if (step >= 100) {
      swing = std::max(swing, std::abs(seen.back() - 0.5));
    }
  }
  return swing;
}

} // namespace

TEST_GROUP(ShiftLimiter){};

// Every chooser sends its work to the host that was faster a moment ago. That
// host slows down, and all turn to the other one, further each time: clients
// see fast and slow spells by turns while the load itself is even.
TEST(ShiftLimiter, LateFiguresDoNotMakeTheLoadSwing)
{
  CHECK_TRUE(Swing(2.0) < 0.15);
  CHECK_TRUE(Swing(1e9) > 0.4);
}

TEST(ShiftLimiter, AShareDoublesInASecondAtMost)
{
  ShiftLimiter limiter;
  const HostId host{ 1 };
  const Time now = Time{} + 1h;
  DOUBLES_EQUAL(1.0, limiter.Move(host, 0.01, now), 1e-9);
  DOUBLES_EQUAL(0.5, limiter.Move(host, 0.01, now + 1s), 1e-9);
  DOUBLES_EQUAL(1.0, limiter.Move(host, 9.0, now + 2s), 1e-9);
}
