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

constexpr RetryAdvice Elsewhere(RetryReason aReason)
{
  return { RetryPlace::OtherHost, aReason, Truth::NotRun };
}

constexpr RetryAdvice Tell(Truth aTruth)
{
  return { RetryPlace::Nowhere, RetryReason::Lost, aTruth };
}

// In the order of AttemptEnd.
constexpr std::array<Row, kAttemptEnds> kTable{ {
  { Elsewhere(RetryReason::ConnectFailed),
    Elsewhere(RetryReason::ConnectFailed) },
  { Elsewhere(RetryReason::BackendShed), Elsewhere(RetryReason::BackendShed) },
  { Elsewhere(RetryReason::Draining), Elsewhere(RetryReason::Draining) },
  { Tell(Truth::NotRun), Tell(Truth::NotRun) },
  { Tell(Truth::NotRun), Tell(Truth::NotRun) },
  { { RetryPlace::OtherHost, RetryReason::Lost, Truth::Unknown },
    Tell(Truth::Unknown) },
  { Tell(Truth::Unknown), Tell(Truth::Unknown) },
} };

} // namespace

RetryAdvice AdviseRetry(AttemptEnd aEnd, bool aNeverRepeat)
{
  const Row& row = kTable.at(static_cast<std::size_t>(aEnd));
  return aNeverRepeat ? row.mNeverRepeat : row.mMayRepeat;
}

void RetryBudget::OnFirstAttempt()
{
  mSaved = std::min(kMost, mSaved + kShare);
}

bool RetryBudget::TryRetry()
{
  if (!mOn) {
    return true;
  }
  if (mSaved < 1.0) {
    return false;
  }
  mSaved -= 1.0;
  return true;
}

} // namespace heatherplank
