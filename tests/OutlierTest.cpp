#include "src/decide/OutlierDetector.h"
#include "src/decide/SlowStart.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kHosts = 7;
const Time kNow = Time{} + 1h;

std::unique_ptr<OutlierDetector> MakeWithHosts(std::string_view aName,
                                               bool aCapped = true)
{
  auto detector = MakeOutlierDetector(aName, aCapped).value();
  for (std::uint64_t i = 1; i <= kHosts; ++i) {
    detector->Add(HostId{ i });
  }
  return detector;
}

// 30 rounds of one request per host; hosts up to aBad end with aAnswered after
// aLatency.
void RunRounds(OutlierDetector& aDetector, std::uint64_t aBad, bool aAnswered,
               Duration aLatency)
{
  for (int round = 0; round < 30; ++round) {
    for (std::uint64_t i = 1; i <= kHosts; ++i) {
      const bool isBad = i <= aBad;
      aDetector.OnResult(HostId{ i }, !isBad || aAnswered,
                         isBad ? aLatency : 20ms, kNow + round * 10ms);
    }
  }
}

int CountEjected(const OutlierDetector& aDetector, Time aNow)
{
  int ejected = 0;
  for (std::uint64_t i = 1; i <= kHosts; ++i) {
    ejected += aDetector.IsEjected(HostId{ i }, aNow) ? 1 : 0;
  }
  return ejected;
}

} // namespace

TEST_GROUP(Outlier){};

// A host answers every request with an error within a millisecond, while its
// health endpoint reports "healthy". It is always the least loaded host.
TEST(Outlier, FailingHostIsEjectedDespiteHealthyHint)
{
  for (auto name : { "consecutive", "compared" }) {
    auto detector = MakeWithHosts(name);
    detector->OnHealthHint(HostId{ 1 }, true);
    RunRounds(*detector, 1, false, 1ms);
    CHECK_TRUE(detector->IsEjected(HostId{ 1 }, kNow + 300ms));
    CHECK_EQUAL(1, CountEjected(*detector, kNow + 300ms));
    CHECK_FALSE(detector->IsEjected(HostId{ 1 }, kNow + 3s));
  }
}

// The endpoint reports "unhealthy" for a host that answers well. If the report
// were trusted, a flapping endpoint would eject healthy hosts.
TEST(Outlier, AnsweringHostIsNotEjectedDespiteUnhealthyHint)
{
  for (auto name : { "consecutive", "compared" }) {
    auto detector = MakeWithHosts(name);
    detector->OnHealthHint(HostId{ 1 }, false);
    RunRounds(*detector, 0, true, 20ms);
    CHECK_EQUAL(0, CountEjected(*detector, kNow + 300ms));
  }
}

TEST(Outlier, OnlyComparedDetectorEjectsSlowHost)
{
  auto consecutive = MakeWithHosts("consecutive");
  RunRounds(*consecutive, 1, true, 200ms);
  CHECK_EQUAL(0, CountEjected(*consecutive, kNow + 300ms));
  auto compared = MakeWithHosts("compared");
  RunRounds(*compared, 1, true, 200ms);
  CHECK_TRUE(compared->IsEjected(HostId{ 1 }, kNow + 300ms));
}

// A database used by all hosts is down, and every host fails. If they were
// ejected together, the last host would get the load of seven.
TEST(Outlier, AtMostAThirdOfHostsIsEjected)
{
  for (bool capped : { true, false }) {
    auto detector = MakeWithHosts("consecutive", capped);
    RunRounds(*detector, kHosts, false, 1ms);
    CHECK_EQUAL(capped ? 2 : 7, CountEjected(*detector, kNow + 300ms));
  }
}

TEST(Outlier, EjectionTimeDoublesWhileFailuresContinue)
{
  auto detector = MakeWithHosts("consecutive");
  Time now = kNow;
  for (Duration expected : { 2s, 4s, 8s, 16s, 30s, 30s }) {
    for (int i = 0; i < 5; ++i) {
      detector->OnResult(HostId{ 1 }, false, 1ms, now);
    }
    CHECK_TRUE(detector->IsEjected(HostId{ 1 }, now + expected - 1ms));
    CHECK_FALSE(detector->IsEjected(HostId{ 1 }, now + expected));
    now += expected;
  }
}

TEST(Outlier, LoadReportWithFailuresEjectsHost)
{
  auto detector = MakeWithHosts("consecutive");
  HostLoad load;
  load.mFailureRate = 0.6;
  load.mResultCount = 20;
  detector->OnLoadReport(HostId{ 1 }, load, kNow);
  CHECK_TRUE(detector->IsEjected(HostId{ 1 }, kNow));
  // The ejected host got no work, so its report is unchanged: no new evidence.
  detector->OnLoadReport(HostId{ 1 }, load, kNow + 3s);
  CHECK_FALSE(detector->IsEjected(HostId{ 1 }, kNow + 3s));
}

TEST_GROUP(SlowStart){};

TEST(SlowStart, WeightGrowsLinearlyFromATenthToOne)
{
  auto byTime = MakeSlowStart("time").value();
  DOUBLES_EQUAL(1.0, byTime->Weight(HostId{ 1 }, kNow), 1e-9);
  byTime->OnStart(HostId{ 1 }, kNow);
  DOUBLES_EQUAL(0.1, byTime->Weight(HostId{ 1 }, kNow), 1e-9);
  DOUBLES_EQUAL(0.55, byTime->Weight(HostId{ 1 }, kNow + 5s), 1e-9);
  DOUBLES_EQUAL(1.0, byTime->Weight(HostId{ 1 }, kNow + 11s), 1e-9);
}

TEST(SlowStart, AnswerBasedWeightStaysLowWithoutRequests)
{
  auto byAnswers = MakeSlowStart("answers").value();
  byAnswers->OnStart(HostId{ 1 }, kNow);
  DOUBLES_EQUAL(0.1, byAnswers->Weight(HostId{ 1 }, kNow + 1h), 1e-9);
  for (int i = 0; i < 50; ++i) {
    byAnswers->OnAnswer(HostId{ 1 });
  }
  DOUBLES_EQUAL(1.0, byAnswers->Weight(HostId{ 1 }, kNow), 1e-9);
}

TEST(SlowStart, UnknownNameReturnsError)
{
  CHECK_FALSE(MakeSlowStart("fast").has_value());
  CHECK_FALSE(MakeOutlierDetector("guess").has_value());
}
