#pragma once

#include <cstdint>

#include "src/decide/Reasons.h"

namespace heatherplank {

/** How an attempt to run a request ended without an answer. */
enum class AttemptEnd : std::uint8_t
{
  /** The backend server could not be reached; nothing was sent. */
  ConnectFailed,
  /** The backend server shed the request and reported that it was not run. */
  Shed,
  /** The host drains; the request was not dispatched. */
  Draining,
  /** The admission policy refused it: queue, deadline or share. */
  RefusedByAdmission,
  /** It was not recorded, since the platform is unreachable. */
  PlatformDown,
  /** It was sent, and then the connection or the host was lost. */
  LostAfterSend,
  /** It was sent, and its deadline passed. */
  TimedOut,
};

constexpr std::size_t kAttemptEnds = 7;

/** Where a request may be retried. */
enum class RetryTarget : std::uint8_t
{
  None,
  OtherHost,
};

/** What the caller is told about the execution if the request is not retried.
 */
enum class ExecutionStatus : std::uint8_t
{
  NotRun,
  Unknown,
};

/** What to do after a failed attempt. */
struct RetryAdvice
{
  RetryTarget mTarget = RetryTarget::None;
  /** The reason to count if the request is retried. */
  RetryReason mReason = RetryReason::Lost;
  ExecutionStatus mStatus = ExecutionStatus::NotRun;
};

/** Where a request may be retried after an attempt. No I/O or clock access;
 * thread safe.
 *
 * A request is never retried on the same host, which would refuse it again. It
 * is not retried after a refusal by admission either: the admission has already
 * looked for a less loaded host, and the caller has been given a retry time. A
 * request that must not be repeated is retried on another host only if it
 * certainly did not run.
 */
RetryAdvice AdviseRetry(AttemptEnd aEnd, bool aNeverRepeat);

/** Bounds retries to a share of the load.
 *
 * Guards against: a retry storm. When hosts fail because of overload, each
 * retry adds to the overload; with two retries per request, a fleet at 60 %
 * load that fails briefly gets 180 % and doesn't recover. Each first attempt
 * adds a tenth of a retry to the budget, so that retries add at most a tenth to
 * the load. Up to ten retries accumulate, enough to retry the requests in the
 * two slots and the queue of a lost host under light load.
 *
 * Not thread safe.
 */
class RetryBudget
{
public:
  /** With aEnabled false, every retry is allowed. */
  explicit RetryBudget(bool aEnabled = true)
    : mEnabled(aEnabled)
  {
  }

  /** Records the first attempt of a request. */
  void OnFirstAttempt();

  /** Takes one retry from the budget. False if the budget is empty; the request
   * is then refused with RefusalReason::RetryBudget. */
  bool TryRetry();

private:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kMaxSaved = 10.0;

  bool mEnabled;
  double mSaved = kMaxSaved;
};

} // namespace heatherplank
