#include "src/decide/Retry.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

TEST_GROUP(Retry){};

// A claim was sent, and its host was lost. Retried on another host, the claim
// could be lodged twice; reported as "not run", its owner would lodge it again.
TEST(Retry, PossiblyExecutedRequestIsRetriedOnlyIfRepeatable)
{
  struct Case
  {
    AttemptEnd mEnd;
    bool mNeverRepeat;
    RetryTarget mTarget;
    ExecutionStatus mStatus;
  };
  const Case cases[] = {
    { AttemptEnd::ConnectFailed, true, RetryTarget::OtherHost,
      ExecutionStatus::NotRun },
    { AttemptEnd::Shed, true, RetryTarget::OtherHost, ExecutionStatus::NotRun },
    { AttemptEnd::Draining, true, RetryTarget::OtherHost,
      ExecutionStatus::NotRun },
    { AttemptEnd::RefusedByAdmission, false, RetryTarget::None,
      ExecutionStatus::NotRun },
    { AttemptEnd::PlatformDown, true, RetryTarget::None,
      ExecutionStatus::NotRun },
    { AttemptEnd::LostAfterSend, true, RetryTarget::None,
      ExecutionStatus::Unknown },
    { AttemptEnd::LostAfterSend, false, RetryTarget::OtherHost,
      ExecutionStatus::Unknown },
    { AttemptEnd::TimedOut, true, RetryTarget::None, ExecutionStatus::Unknown },
    { AttemptEnd::TimedOut, false, RetryTarget::None,
      ExecutionStatus::Unknown },
  };
  for (const auto& it : cases) {
    const auto advice = AdviseRetry(it.mEnd, it.mNeverRepeat);
    CHECK_TRUE(advice.mTarget == it.mTarget);
    CHECK_TRUE(advice.mStatus == it.mStatus);
  }
}

// A host fails every request for a moment. Without a budget, the retries double
// the load of the other hosts, which then fail as well.
TEST(Retry, BudgetLimitsRetriesToATenthOfTheLoad)
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

TEST(Retry, EveryReasonHasAName)
{
  for (std::size_t i = 0; i < kRefusalReasons; ++i) {
    CHECK_TRUE(ToString(static_cast<RefusalReason>(i)) != "unknown");
  }
  for (std::size_t i = 0; i < kRetryReasons; ++i) {
    CHECK_TRUE(ToString(static_cast<RetryReason>(i)) != "unknown");
  }
}
