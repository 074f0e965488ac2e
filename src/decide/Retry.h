#pragma once

#include <cstdint>

#include "src/decide/Reasons.h"

namespace heatherplank {

/** How an attempt to have a request run ended without its answer. */
enum class AttemptEnd : std::uint8_t
{
  /** The backend server could not be reached; nothing was sent. */
  ConnectFailed,
  /** The backend server shed it and says that it was not run. */
  Shed,
  /** The host drains; the request was not dispatched. */
  Draining,
  /** The admission refused it: queue, deadline or share. */
  RefusedByAdmission,
  /** It was not recorded, since the platform can't be reached. */
  PlatformDown,
  /** It was sent, and the connection or the host was lost. */
  LostAfterSend,
  /** It was sent, and its deadline passed. */
  TimedOut,
};

constexpr std::size_t kAttemptEnds = 7;

/** Where a request may be tried again. */
enum class RetryPlace : std::uint8_t
{
  Nowhere,
  OtherHost,
};

/** What the caller is told if the request is not tried again. */
enum class Truth : std::uint8_t
{
  NotRun,
  Unknown,
};

/** What to do after an attempt. */
struct RetryAdvice
{
  RetryPlace mPlace = RetryPlace::Nowhere;
  /** The counter, if it is tried again. */
  RetryReason mReason = RetryReason::Lost;
  Truth mTruth = Truth::NotRun;
};

/** The table of which end may be retried where; pure and thread safe.
 *
 * Never at the same host: what it refused a moment ago it would refuse again.
 * Not after a refusal by admission either, since that has already looked for a
 * lighter host, and its callers were told when to return. A request that may
 * not be repeated is tried elsewhere only if it certainly did not run.
 */
RetryAdvice AdviseRetry(AttemptEnd aEnd, bool aNeverRepeat);

/** Bounds retries to a share of the work.
 *
 * Load it answers: a retry storm. When hosts fail because they are overloaded,
 * each retry adds to the load that made it needed; with two retries a request,
 * a fleet at 60 % that stumbles gets 180 % and does not come back. A first
 * attempt adds a tenth of a retry to the budget, so that retries never add more
 * than a tenth to the load; ten may be saved up, so that the loss of one host's
 * two slots and queue on a quiet day is made good.
 *
 * Not thread safe.
 */
class RetryBudget
{
public:
  /** With aOn off, every retry is allowed. */
  explicit RetryBudget(bool aOn = true)
    : mOn(aOn)
  {
  }

  /** A request was tried for the first time. */
  void OnFirstAttempt();

  /** Takes one retry from the budget; false if there is none, and then the
   * request is refused with RefusalReason::RetryBudget. */
  bool TryRetry();

private:
  static constexpr double kShare = 0.1;
  static constexpr double kMost = 10.0;

  bool mOn;
  double mSaved = kMost;
};

} // namespace heatherplank
