#include "lab/Report.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank::lab;
using namespace std::chrono_literals;

namespace {

const auto kStart = heatherplank::Time{} + 1h;

} // namespace

TEST_GROUP(LabReport)
{
  Scenario mScenario;
  LoadSpec mLoad;
  CallerRecord mCallers;
  ExecutionLog mExecutions;
  Evidence mEvidence;

  void setup() override
  {
    mLoad.mService = "cover-desk";
    mLoad.mClass = "claims";
    mEvidence = { &mScenario, &mCallers, &mExecutions, {}, {} };
  }

  void AddRequest(const std::string& aKey, FinalAnswer aFinal,
                  std::chrono::milliseconds aEnd)
  {
    RequestRecord record;
    record.mLoad = &mLoad;
    record.mKey = aKey;
    record.mStart = kStart;
    record.mEnd = kStart + aEnd;
    record.mFinal = aFinal;
    mCallers.mRequests.push_back(record);
  }

  void AddExecution(const std::string& aHost, const std::string& aId,
                    const std::string& aKey)
  {
    mExecutions.push_back(
      { "cover-desk", aHost, aId, aKey, kStart, kStart, true });
  }

  int Count(std::string_view aKey) const
  {
    return MakeReport(mEvidence).at(aKey).to_number<int>();
  }
};

TEST(LabReport, CountsLastWords)
{
  AddRequest("", FinalAnswer::Run, 10ms);
  AddRequest("", FinalAnswer::Run, 30ms);
  AddRequest("", FinalAnswer::NotRun, 1ms);
  AddRequest("", FinalAnswer::Unknown, 1ms);
  AddRequest("", FinalAnswer::None, 1ms);
  CHECK_EQUAL(5, Count("requests_sent"));
  CHECK_EQUAL(2, Count("answered"));
  CHECK_EQUAL(1, Count("refused"));
  CHECK_EQUAL(1, Count("outcome_unknown"));
  CHECK_EQUAL(1, Count("lost"));
}

// A document was taken in to wait, and then refused: it is lost all the same.
TEST(LabReport, CountsWhatWasAcceptedAndThenRefusedAsLost)
{
  AddRequest("", FinalAnswer::NotRun, 1ms);
  mCallers.mRequests.back().mAccepted = true;
  CHECK_EQUAL(1, Count("lost"));
}

TEST(LabReport, CountsKeysThatRanTwice)
{
  AddExecution("cover-desk-1", "cover-desk.0.0.1", "claim-1");
  AddExecution("cover-desk-2", "cover-desk.1.0.1", "claim-1");
  AddExecution("cover-desk-2", "cover-desk.1.1.1", "claim-2");
  AddExecution("cover-desk-2", "cover-desk.1.2.1", "");
  AddExecution("cover-desk-2", "cover-desk.1.2.1", "");
  CHECK_EQUAL(1, Count("run_twice"));
}

// A claim ran, and the last that its owner heard is that it did not; with a
// later "run" the owner knows the truth.
TEST(LabReport, CountsFalseRefusalsUnlessARunCameLater)
{
  AddExecution("cover-desk-1", "cover-desk.0.0.1", "claim-1");
  AddExecution("cover-desk-1", "cover-desk.0.1.1", "claim-2");
  AddRequest("claim-1", FinalAnswer::Run, 5ms);
  AddRequest("claim-1", FinalAnswer::NotRun, 9ms);
  AddRequest("claim-2", FinalAnswer::NotRun, 5ms);
  AddRequest("claim-2", FinalAnswer::Run, 9ms);
  AddRequest("claim-3", FinalAnswer::NotRun, 9ms);
  CHECK_EQUAL(1, Count("false_not_run"));
}

TEST(LabReport, CountsRequestsRunByAnotherService)
{
  AddExecution("cover-desk-1", "doc-archive.0.0.1", "");
  AddExecution("cover-desk-1", "cover-desk.0.0.1", "");
  CHECK_EQUAL(1, Count("wrong_service"));
}

TEST(LabReport, MeasuresImbalanceOverSteadyHosts)
{
  mEvidence.mSteadyHosts["cover-desk"] = { "cover-desk-1", "cover-desk-2" };
  for (int i = 0; i < 3; ++i) {
    AddExecution("cover-desk-1", "cover-desk.0.0.1", "");
    AddExecution("cover-desk-9", "cover-desk.0.0.1", "");
  }
  AddExecution("cover-desk-2", "cover-desk.0.0.1", "");
  auto report = MakeReport(mEvidence);
  DOUBLES_EQUAL(0.5, report.at("imbalance").as_double(), 0.001);
}

TEST(LabReport, NamesExpectationsThatAreNotMet)
{
  AddRequest("", FinalAnswer::Run, 10ms);
  mScenario.mExpect = { { "answered", 2, {} },
                        { "lost", {}, 0 },
                        { "latency_ms.claims.p50", {}, 5 },
                        { "commands.apply.failed", {}, 0 } };
  auto unmet = CheckExpectations(mScenario, MakeReport(mEvidence));
  CHECK_EQUAL(2, unmet.size());
  STRCMP_EQUAL("answered is 1, at least 2 expected", unmet[0].c_str());
  STRCMP_EQUAL("latency_ms.claims.p50 is 10, at most 5 expected",
               unmet[1].c_str());
}
