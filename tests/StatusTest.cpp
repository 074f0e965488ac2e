#include "src/status/StatusAggregator.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include "src/status/StatusCodec.h"
#include "src/status/StatusPublisher.h"
#include "src/status/StatusReporter.h"
#include "tests/FakeObjectStore.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace std::chrono_literals;

namespace {

StatusReport MakeReport(const char* aName, std::uint64_t aFlows)
{
  StatusReport out;
  out.mProcess = { aName, "balancer", "hall-a", 7, 1000, 0, "10.0.0.1:80" };
  PolicyFigures figures;
  figures.mName = "random";
  figures.mSeconds = 2.5;
  figures.mFlowsOpened = aFlows;
  figures.mRefusals["queue_full"] = 2;
  figures.mRetries["timeout"] = 1;
  figures.mLatency["high"].Record(3, 4);
  out.mFigures = { figures };
  return out;
}

} // namespace

TEST_GROUP(Status)
{
  FakeObjectStore mStore;
  Time mNow = Time{} + 1h;

  std::shared_ptr<StatusPublisher> Publisher(const char* aWriter,
                                             bool aResolveLostReplies = true)
  {
    StatusAggregator::Options options;
    options.mKey = StatusKey("hall-a", 0);
    options.mWriter = aWriter;
    options.mResolveLostAnswers = aResolveLostReplies;
    return StatusPublisher::Make(mStore, options);
  }

  StatusObject Stored()
  {
    return ParseStatus(mStore.mObjects.at(StatusKey("hall-a", 0)).mValue)
      .value();
  }

  std::uint64_t Flows()
  {
    return Stored().mFigures["random"].mFlowsOpened;
  }
};

TEST(Status, ManyReportsCauseOneReadAndOneWritePerPeriod)
{
  auto publisher = Publisher("b1");
  for (int i = 0; i < 100; ++i) {
    publisher->OnReport(MakeReport(i % 2 == 0 ? "b1" : "b2", 1));
    publisher->Tick(mNow + i * 40ms);
  }
  LONGS_EQUAL(2, mStore.mCalls);
  publisher->Tick(mNow + 5s);
  LONGS_EQUAL(4, mStore.mCalls);
  publisher->Tick(mNow + 20s);
  LONGS_EQUAL(4, mStore.mCalls);
  LONGS_EQUAL(100, Flows());
  LONGS_EQUAL(2, Stored().mProcesses.size());
}

// A write of figures takes effect but its reply is lost, or the write is
// refused, or another writer writes first. The report must count each flow
// once. With the guard off, the flows of the write whose reply was lost are
// counted twice.
TEST(Status, FiguresAreCountedOnceAfterFailedWrites)
{
  for (bool isGuarded : { true, false }) {
    mStore.mObjects.clear();
    auto one = Publisher("b1", isGuarded);
    auto two = Publisher("b2", isGuarded);
    const WriteFault faults[] = { WriteFault::LostAnswer, WriteFault::Refused,
                                  WriteFault::LostRequest, WriteFault::Late,
                                  WriteFault::None };
    for (auto it : faults) {
      one->OnReport(MakeReport("b1", 10));
      two->OnReport(MakeReport("b2", 1));
      mStore.mOnWrite = [it](const std::string&) { return it; };
      one->Tick(mNow += 10s);
      mStore.mOnWrite = nullptr;
      two->Tick(mNow);
    }
    one->Tick(mNow += 10s);
    CHECK_EQUAL(isGuarded, Flows() == 55);
    CHECK_TRUE(Flows() >= 55);
  }
}

TEST(Status, RemovesProcessesWithoutRecentReports)
{
  StatusAggregator::Options options;
  StatusAggregator aggregator(options);
  aggregator.OnReport(MakeReport("b1", 1), 1000);
  aggregator.Tick(mNow);
  auto write =
    aggregator.OnRead(Fail(ErrorKind::NotFound, "none", ""), 1000).value();
  CHECK_TRUE(write.mCondition.mKind == WriteCondition::Kind::IfAbsent);
  aggregator.OnWritten(StoreVersion{ 1 });
  aggregator.OnReport(MakeReport("b2", 1), 5000000);
  aggregator.Tick(mNow + 10s);
  write = aggregator.OnRead(Object{ "", write.mValue, { 1 } }, 5000000).value();
  auto status = ParseStatus(write.mValue).value();
  LONGS_EQUAL(1, status.mProcesses.size());
  LONGS_EQUAL(2, status.mFigures["random"].mFlowsOpened);
}

TEST(Status, RoundTripPreservesAReportAndCorruptedReportsAreHarmless)
{
  StatusReport report = MakeReport("b1", 5);
  Bytes bytes = EncodeStatusReport(report);
  CHECK_TRUE(DecodeStatusReport(bytes).value() == report);
  std::mt19937_64 random(1);
  for (int i = 0; i < 10000; ++i) {
    Bytes damaged = bytes;
    damaged[random() % damaged.size()] ^= 1U << (random() % 8);
    damaged.resize(random() % 2 == 0 ? damaged.size()
                                     : random() % damaged.size());
    StatusAggregator aggregator{ StatusAggregator::Options() };
    if (auto read = DecodeStatusReport(damaged)) {
      aggregator.OnReport(*read, 1);
    }
  }
}

TEST(Status, ComputesQuantilesAndScore)
{
  LatencyBins bins;
  bins.Record(1, 99);
  bins.Record(100);
  DOUBLES_EQUAL(1, bins.Quantile(0.5), 0.25);
  DOUBLES_EQUAL(100, bins.Quantile(1), 25);
  PolicyFigures figures;
  figures.mFlowsOpened = 200;
  figures.mFlowsBroken = 1;
  figures.mImbalanceSum = 0.5;
  figures.mImbalanceSamples = 5;
  PolicyChoice weights;
  weights.mBrokenFlowsWeight = 4;
  weights.mImbalanceWeight = 1;
  DOUBLES_EQUAL((4 * 0.5 + 10) / 5, figures.Score(weights), 1e-9);
}

TEST(Status, ReportsAreDueAfterAChangeWithFiguresAndAsHeartbeat)
{
  StatusReporter reporter{ StatusReporter::Options() };
  CHECK_TRUE(reporter.Tick(mNow).has_value());
  reporter.OnInForce(7, 1000, mNow + 5s);
  reporter.OnInForce(8, 1200, mNow + 5s + 200ms);
  CHECK_FALSE(reporter.Tick(mNow + 5s + 900ms).has_value());
  LONGS_EQUAL(8, reporter.Tick(mNow + 6s)->mProcess.mVersion);
  CHECK_FALSE(reporter.Tick(mNow + 65s).has_value());
  CHECK_TRUE(reporter.Tick(mNow + 66s).has_value());
  reporter.Figures("random").mFlowsOpened += 3;
  CHECK_FALSE(reporter.Tick(mNow + 75s).has_value());
  LONGS_EQUAL(3, reporter.Tick(mNow + 76s)->mFigures[0].mFlowsOpened);
  CHECK_TRUE(reporter.Tick(mNow + 200s)->mFigures.empty());
}

TEST(Status, LossOfABalancerMovesOnlyItsStatusShards)
{
  std::vector<HostId> all;
  all.reserve(200);
  for (int i = 0; i < 200; ++i) {
    all.push_back(MakeHostId("b" + std::to_string(i)));
  }
  LONGS_EQUAL(8, CountStatusShards(all.size()));
  LONGS_EQUAL(1, CountStatusShards(3));
  HostId lost = ChooseStatusAggregator(0, all);
  std::vector<HostId> remaining;
  std::ranges::copy_if(all, std::back_inserter(remaining),
                       [&](HostId aId) { return aId != lost; });
  CHECK_FALSE(ChooseStatusAggregator(0, remaining) == lost);
  for (std::uint32_t shard = 1; shard < 8; ++shard) {
    HostId before = ChooseStatusAggregator(shard, all);
    CHECK_TRUE(before == lost ||
               before == ChooseStatusAggregator(shard, remaining));
  }
  CHECK_TRUE(ChooseStatusAggregator(0, {}).IsNone());
}
