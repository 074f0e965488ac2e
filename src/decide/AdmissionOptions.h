#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Configuration.h"

namespace heatherplank {

/** How a host treats the requests of one class; derived from a rule. */
struct ClassOptions
{
  std::string mName;
  Importance mImportance = Importance::Normal;
  /** Deferrable: queued in preference to being refused; never dropped once
   * admitted. */
  bool mMayWait = false;
  /** Deadline of the rule; scales the service time that is assumed before the
   * first observation. */
  Duration mDeadline = std::chrono::seconds(2);
  /** Maximum number of queued requests. */
  std::uint32_t mQueueLimit = 64;
  /** Slots reserved for this class; lent, while idle, to work that is short
   * enough.
   */
  std::uint32_t mReservedSlots = 0;
  /** Maximum number of slots that this class holds at once; 0 for all. */
  std::uint32_t mSlotLimit = 0;
  /** Weight against other classes with ClassOrder::Share. */
  double mShare = 1.0;
};

/** The order in which classes with queued requests are served. */
enum class ClassOrder : std::uint8_t
{
  /** The most important class with queued requests goes first. */
  Importance,
  /** Weighted fair sharing: slot time is divided in proportion to mShare. */
  Share,
};

/** Safeguards that a test can turn off to show the failure that each one
 * prevents. */
struct AdmissionGuards
{
  /** Refuse a request as soon as its deadline can't be met. */
  bool mEarlyRefusal = true;
  /** Don't lend reserved slots to work that is too long. */
  bool mReservation = true;
  /** Serve callers round-robin, and bound the queue of each. */
  bool mFairness = true;
  /** Occasionally admit a request although its deadline is estimated to be
   * unreachable. */
  bool mProbe = true;
  /** Give refused callers different retry times. */
  bool mSpreadRetryTimes = true;
  /** Shorten the tolerated wait while a queue does not empty. */
  bool mStandingQueue = true;
  /** Forward queued requests only for a clear gain, and only once. */
  bool mForwardHysteresis = true;
};

/** Settings of the admission policy of one host. */
struct AdmissionOptions
{
  std::uint32_t mSlots = 2;
  std::vector<ClassOptions> mClasses;
  ClassOrder mOrder = ClassOrder::Importance;
  AdmissionGuards mGuards;
  std::uint64_t mSeed = 1;
};

/** The options of a service: class i is rule i, and an additional last class
 * takes requests that match no rule. If hosts have at least two slots and the
 * service has several classes, the most important class above Normal gets a
 * reserved slot, and deferrable classes never hold the last slot.
 */
AdmissionOptions MakeAdmissionOptions(const Service& aService,
                                      std::uint64_t aSeed);

} // namespace heatherplank
