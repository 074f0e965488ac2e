#include "tests/RequestSimulation.h"

#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

// A host answers within 75 ms from the end of a full queue, plus 12 ms for the
// network: a target of 100 ms leaves hardly any time to hold a request.
constexpr double kTargetMs = 150;
constexpr double kShortTargetMs = 100;
constexpr double kImportantInTime = 0.97;
constexpr double kMaxLoss = 0.01;
constexpr double kMaxCallerSpread = 0.05;

std::vector<RequestLoad> Patterns(std::uint32_t aSlots, double aTargetMs)
{
  auto steady = [&](const char* aName, double aLoad) {
    RequestLoad out;
    out.mName = aName;
    out.mLoad = aLoad;
    out.mSlots = aSlots;
    out.mTargetMs = aTargetMs;
    return out;
  };
  std::vector<RequestLoad> out{
    steady("steady 0.5", 0.5),    steady("steady 0.8", 0.8),
    steady("steady 1.2", 1.2),    steady("steady 2.0", 2.0),
    steady("burst 1.7", 0.5),     steady("burst 2.5", 0.5),
    steady("ten busy", 1.2),      steady("all retry", 0.5),
    steady("long work 0.8", 0.8), steady("long work 1.2", 1.2),
  };
  out[4].mBurstLoad = 1.7;
  out[5].mBurstLoad = 2.5;
  out[6].mBusyCallers = 10;
  out[7].mStorms = true;
  out[7].mCallers = 200;
  out[8].mLongShare = 0.05;
  out[9].mLongShare = 0.05;
  return out;
}

void Print(const RequestLoad& aLoad, const char* aOrder,
           const RequestSimulation& aRun)
{
  std::printf("| %u | %.0f | %s | %s | %.3f | %.3f | %.3f | %.3f |\n",
              aLoad.mSlots, aLoad.mTargetMs, aLoad.mName.c_str(), aOrder,
              aRun.mImportant.Share(), aRun.mOthers.Share(), aRun.All().Share(),
              aRun.CallerShare(0.1));
}

/** Plays every pattern under FIFO and under the scheduler and prints both. */
void CheckNotWorseThanFifo(double aTargetMs)
{
  for (std::uint32_t slots : { 2U, 3U }) {
    for (const RequestLoad& load : Patterns(slots, aTargetMs)) {
      RequestSimulation fifo(load, false);
      RequestSimulation scheduled(load, true);
      Print(load, "FIFO", fifo);
      Print(load, "scheduled", scheduled);
      CHECK_TRUE_TEXT(scheduled.All().Share() >= fifo.All().Share() - kMaxLoss,
                      load.mName.c_str());
    }
  }
}

RequestLoad Overload(std::uint32_t aSlots, double aTargetMs)
{
  return Patterns(aSlots, aTargetMs)[2];
}

} // namespace

TEST_GROUP(RequestSimulation){};

// Load: each pattern in turn. Requests that are held too long are late, and
// take slots from others that could be in time.
TEST(RequestSimulation, SchedulingIsNotWorseThanFifo)
{
  CheckNotWorseThanFifo(kTargetMs);
}

TEST(RequestSimulation, SchedulingIsNotWorseThanFifoWithShortTargets)
{
  CheckNotWorseThanFifo(kShortTargetMs);
}

// Load: 1.2 times the slots' capacity. The host's own queue rejects a sixth of
// the requests, important or not.
TEST(RequestSimulation, InOverloadImportantRequestsAreInTime)
{
  for (std::uint32_t slots : { 2U, 3U }) {
    RequestSimulation run(Overload(slots, kTargetMs), true);
    CHECK_TRUE(run.mImportant.Share() >= kImportantInTime);
  }
}

// Load: ten callers of a thousand send half of the requests. Long, so that
// chance explains less than the allowed spread.
TEST(RequestSimulation, InOverloadNoOrdinaryCallerIsServedWorse)
{
  RequestLoad load = Patterns(2, kTargetMs)[6];
  load.mDurationMs = 6e6;
  RequestSimulation run(load, true);
  Print(load, "scheduled", run);
  CHECK_TRUE(run.CallerShare(0.1) >=
             run.CallerShare(1) * (1 - kMaxCallerSpread));
}

TEST_GROUP(RequestSimulationShortTargets){};

// Load: as above, with a target below 1.6 times the time that a request takes
// at a host with a full queue, so that nothing is held.
TEST(RequestSimulationShortTargets, InOverloadImportantRequestsAreInTime)
{
  for (std::uint32_t slots : { 2U, 3U }) {
    RequestSimulation run(Overload(slots, kShortTargetMs), true);
    CHECK_TRUE(run.mImportant.Share() >= kImportantInTime);
  }
}
