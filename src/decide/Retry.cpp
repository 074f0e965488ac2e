#include "src/decide/Retry.h"

#include <algorithm>
#include <array>

namespace heatherplank {

namespace {

struct Row
{
  RetryAdvice mMayRepeat;
  RetryAdvice mNeverRepeat;
};

constexpr RetryAdvice RetryElsewhere(RetryReason aReason)
{
  return { RetryTarget::OtherHost, aReason, ExecutionStatus::NotRun };
}

constexpr RetryAdvice NoRetry(ExecutionStatus aStatus)
{
  return { RetryTarget::None, RetryReason::Lost, aStatus };
}

// In the order of AttemptEnd.
constexpr std::array<Row, kAttemptEnds> kTable{ {
  { RetryElsewhere(RetryReason::ConnectFailed),
    RetryElsewhere(RetryReason::ConnectFailed) },
  { RetryElsewhere(RetryReason::BackendShed),
    RetryElsewhere(RetryReason::BackendShed) },
  { RetryElsewhere(RetryReason::Draining),
    RetryElsewhere(RetryReason::Draining) },
  { NoRetry(ExecutionStatus::NotRun), NoRetry(ExecutionStatus::NotRun) },
  { NoRetry(ExecutionStatus::NotRun), NoRetry(ExecutionStatus::NotRun) },
  { { RetryTarget::OtherHost, RetryReason::Lost, ExecutionStatus::Unknown },
    NoRetry(ExecutionStatus::Unknown) },
  { NoRetry(ExecutionStatus::Unknown), NoRetry(ExecutionStatus::Unknown) },
} };

} // namespace

RetryAdvice AdviseRetry(AttemptEnd aEnd, bool aNeverRepeat)
{
  const Row& row = kTable.at(static_cast<std::size_t>(aEnd));
  return aNeverRepeat ? row.mNeverRepeat : row.mMayRepeat;
}

void RetryBudget::OnFirstAttempt()
{
  mSaved = std::min(kMaxSaved, mSaved + kRetriesPerRequest);
}

bool RetryBudget::TryRetry()
{
  if (!mEnabled) {
    return true;
  }
  if (mSaved < 1.0) {
    return false;
  }
  mSaved -= 1.0;
  return true;
}

} // namespace heatherplank
