#include "src/agent/PolicyMeter.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(PolicyMeter)
{
  ManualClock mClock;
  PolicyMeter mMeter{ mClock };

  /** Records samples of two hosts with one busy: the first in all samples, or
   * each in turn if aAlternates. */
  void RecordSamples(int aSamples, bool aAlternates)
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

// Guards against imbalance computed from single samples: of two hosts that are
// busy in turn, each sample shows the busiest with twice the mean load, as if
// one host had all the work. The report then showed 1.2 to 1.5 for every
// policy.
TEST(PolicyMeter, AveragesLoadOverTheWindow)
{
  mMeter.SetPolicy("random");
  RecordSamples(25, true);
  DOUBLES_EQUAL(0.04, mMeter.Take().at(0).Imbalance(), 0.01);
  RecordSamples(25, false);
  DOUBLES_EQUAL(1.0, mMeter.Take().at(0).Imbalance(), 0.01);
}

TEST(PolicyMeter, AttributesAnswersToThePolicyInForce)
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
