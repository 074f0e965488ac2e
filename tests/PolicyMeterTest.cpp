#include "src/agent/PolicyMeter.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(PolicyMeter)
{
  ManualClock mClock;
  PolicyMeter mMeter{ mClock };

  /** One of two hosts is busy, the first for every second sample. */
  void Sample(int aSamples, bool aAlternates)
  {
    for (int i = 0; i < aSamples; ++i) {
      Candidate one;
      Candidate other;
      one.mHost = MakeHostId("one");
      other.mHost = MakeHostId("other");
      bool first = !aAlternates || i % 2 == 0;
      (first ? one : other).mLoad.mBusy = 1;
      std::vector<Candidate> hosts{ one, other };
      mMeter.OnLoads(hosts);
    }
  }
};

// Two hosts take turns, each busy half of the time. By moments the busiest has
// twice the mean load, as if all work went to one host; the report showed 1.2
// to 1.5 for every policy.
TEST(PolicyMeter, ImbalanceIsNotThatOfMoments)
{
  mMeter.SetPolicy("random");
  Sample(25, true);
  DOUBLES_EQUAL(0.04, mMeter.Take().at(0).Imbalance(), 0.01);
  Sample(25, false);
  DOUBLES_EQUAL(1.0, mMeter.Take().at(0).Imbalance(), 0.01);
}

TEST(PolicyMeter, CountsForThePolicyInForce)
{
  mMeter.SetPolicy("random");
  mClock.Advance(std::chrono::seconds(3));
  mMeter.OnAnswer(Importance::High, Answer{}, std::chrono::milliseconds(5));
  mMeter.SetPolicy("rendezvous");
  mMeter.OnAnswer(Importance::High, MakeNotRun(503, "queue_full", {}), {});
  auto figures = mMeter.Take();
  STRCMP_EQUAL("random", figures.at(0).mName.c_str());
  CHECK_EQUAL(1, figures[0].mAnswered);
  DOUBLES_EQUAL(3, figures[0].mSeconds, 0.001);
  CHECK_EQUAL(1, figures.at(1).mRefusals["queue_full"]);
}
