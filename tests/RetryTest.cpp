#include "src/decide/Retry.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(Retry){};

// A claim was sent and its host lost. Tried elsewhere it could be lodged twice;
// told "not run" its owner would lodge it again.
TEST(Retry, OnlyWhatCertainlyDidNotRunIsTriedAgainOrDenied)
{
  struct Case
  {
    AttemptEnd mEnd;
    bool mNeverRepeat;
    RetryPlace mPlace;
    Truth mTruth;
  };
  const Case cases[] = {
    { AttemptEnd::ConnectFailed, true, RetryPlace::OtherHost, Truth::NotRun },
    { AttemptEnd::Shed, true, RetryPlace::OtherHost, Truth::NotRun },
    { AttemptEnd::Draining, true, RetryPlace::OtherHost, Truth::NotRun },
    { AttemptEnd::RefusedByAdmission, false, RetryPlace::Nowhere,
      Truth::NotRun },
    { AttemptEnd::PlatformDown, true, RetryPlace::Nowhere, Truth::NotRun },
    { AttemptEnd::LostAfterSend, true, RetryPlace::Nowhere, Truth::Unknown },
    { AttemptEnd::LostAfterSend, false, RetryPlace::OtherHost, Truth::Unknown },
    { AttemptEnd::TimedOut, true, RetryPlace::Nowhere, Truth::Unknown },
    { AttemptEnd::TimedOut, false, RetryPlace::Nowhere, Truth::Unknown },
  };
  for (const auto& it : cases) {
    const auto advice = AdviseRetry(it.mEnd, it.mNeverRepeat);
    CHECK_TRUE(advice.mPlace == it.mPlace);
    CHECK_TRUE(advice.mTruth == it.mTruth);
  }
}

// A host stumbles and every request fails. Retried each time, the others get
// twice the load and stumble as well.
TEST(Retry, ABudgetKeepsRetriesToATenthOfTheLoad)
{
  for (bool on : { true, false }) {
    RetryBudget budget(on);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
      budget.OnFirstAttempt();
      retries += budget.TryRetry() ? 1 : 0;
    }
    CHECK_EQUAL(on ? 109 : 1000, retries);
  }
}

TEST(Retry, EveryReasonHasItsName)
{
  for (std::size_t i = 0; i < kRefusalReasons; ++i) {
    CHECK_TRUE(ToString(static_cast<RefusalReason>(i)) != "unknown");
  }
  for (std::size_t i = 0; i < kRetryReasons; ++i) {
    CHECK_TRUE(ToString(static_cast<RetryReason>(i)) != "unknown");
  }
}
