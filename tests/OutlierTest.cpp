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

// 30 rounds of one request a host; hosts up to aBad do aAnswered, aLatency.
void Play(OutlierDetector& aDetector, std::uint64_t aBad, bool aAnswered,
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

int CountOut(const OutlierDetector& aDetector, Time aNow)
{
  int out = 0;
  for (std::uint64_t i = 1; i <= kHosts; ++i) {
    out += aDetector.IsOut(HostId{ i }, aNow) ? 1 : 0;
  }
  return out;
}

} // namespace

TEST_GROUP(Outlier){};

// A host answers every request with an error in a millisecond, and its health
// endpoint says that it is well. It is always the lightest host.
TEST(Outlier, AHostThatFailsIsHeldOutWhateverItsEndpointSays)
{
  for (auto name : { "consecutive", "compared" }) {
    auto detector = MakeWithHosts(name);
    detector->OnHint(HostId{ 1 }, true);
    Play(*detector, 1, false, 1ms);
    CHECK_TRUE(detector->IsOut(HostId{ 1 }, kNow + 300ms));
    CHECK_EQUAL(1, CountOut(*detector, kNow + 300ms));
    CHECK_FALSE(detector->IsOut(HostId{ 1 }, kNow + 3s));
  }
}

// The other lie: the endpoint says "unhealthy" of a host that answers well.
// Believed, a flapping endpoint would take hosts out by turns.
TEST(Outlier, AHostThatAnswersStaysInWhateverItsEndpointSays)
{
  for (auto name : { "consecutive", "compared" }) {
    auto detector = MakeWithHosts(name);
    detector->OnHint(HostId{ 1 }, false);
    Play(*detector, 0, true, 20ms);
    CHECK_EQUAL(0, CountOut(*detector, kNow + 300ms));
  }
}

TEST(Outlier, OnlyComparedSeesAHostThatCrawls)
{
  auto consecutive = MakeWithHosts("consecutive");
  Play(*consecutive, 1, true, 200ms);
  CHECK_EQUAL(0, CountOut(*consecutive, kNow + 300ms));
  auto compared = MakeWithHosts("compared");
  Play(*compared, 1, true, 200ms);
  CHECK_TRUE(compared->IsOut(HostId{ 1 }, kNow + 300ms));
}

// A database behind all hosts is down, and every one fails. Held out together,
// the last host would get the load of seven.
TEST(Outlier, NotMoreThanAThirdIsOutAtOnce)
{
  for (bool capped : { true, false }) {
    auto detector = MakeWithHosts("consecutive", capped);
    Play(*detector, kHosts, false, 1ms);
    CHECK_EQUAL(capped ? 2 : 7, CountOut(*detector, kNow + 300ms));
  }
}

TEST(Outlier, TheTimeOutDoublesWhileItKeepsFailing)
{
  auto detector = MakeWithHosts("consecutive");
  Time now = kNow;
  for (Duration expected : { 2s, 4s, 8s, 16s, 30s, 30s }) {
    for (int i = 0; i < 5; ++i) {
      detector->OnResult(HostId{ 1 }, false, 1ms, now);
    }
    CHECK_TRUE(detector->IsOut(HostId{ 1 }, now + expected - 1ms));
    CHECK_FALSE(detector->IsOut(HostId{ 1 }, now + expected));
    now += expected;
  }
}

TEST(Outlier, FiguresOfTheAgentCountAsResults)
{
  auto detector = MakeWithHosts("consecutive");
  HostLoad load;
  load.mFailing = 0.6;
  load.mResults = 20;
  detector->OnFigures(HostId{ 1 }, load, kNow);
  CHECK_TRUE(detector->IsOut(HostId{ 1 }, kNow));
  // Held out, it got no work, so its figures stand still: no new evidence.
  detector->OnFigures(HostId{ 1 }, load, kNow + 3s);
  CHECK_FALSE(detector->IsOut(HostId{ 1 }, kNow + 3s));
}

TEST_GROUP(SlowStart){};

TEST(SlowStart, AShareGrowsFromATenthToAll)
{
  auto byTime = MakeSlowStart("time").value();
  DOUBLES_EQUAL(1.0, byTime->Weight(HostId{ 1 }, kNow), 1e-9);
  byTime->OnStart(HostId{ 1 }, kNow);
  DOUBLES_EQUAL(0.1, byTime->Weight(HostId{ 1 }, kNow), 1e-9);
  DOUBLES_EQUAL(0.55, byTime->Weight(HostId{ 1 }, kNow + 5s), 1e-9);
  DOUBLES_EQUAL(1.0, byTime->Weight(HostId{ 1 }, kNow + 11s), 1e-9);
}

TEST(SlowStart, ByAnswersAHostNobodyCallsStaysCold)
{
  auto byAnswers = MakeSlowStart("answers").value();
  byAnswers->OnStart(HostId{ 1 }, kNow);
  DOUBLES_EQUAL(0.1, byAnswers->Weight(HostId{ 1 }, kNow + 1h), 1e-9);
  for (int i = 0; i < 50; ++i) {
    byAnswers->OnAnswer(HostId{ 1 });
  }
  DOUBLES_EQUAL(1.0, byAnswers->Weight(HostId{ 1 }, kNow), 1e-9);
}

TEST(SlowStart, AnUnknownNameSaysWhichThereAre)
{
  CHECK_FALSE(MakeSlowStart("fast").has_value());
  CHECK_FALSE(MakeOutlierDetector("guess").has_value());
}
