#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Configuration.h"

namespace heatherplank {

/** How requests of one class are treated at a host; made from a rule. */
struct ClassOptions
{
  std::string mName;
  Importance mImportance = Importance::Normal;
  /** Waits in preference to being refused; never dropped once accepted. */
  bool mMayWait = false;
  /** Deadline of the rule; scales what is assumed of service times before any
   * was observed. */
  Duration mDeadline = std::chrono::seconds(2);
  /** Most requests that wait. */
  std::uint32_t mQueueLimit = 64;
  /** Slots kept for this class; lent while idle to work that is short enough.
   */
  std::uint32_t mReservedSlots = 0;
  /** Most slots that this class holds at once; 0 for all. */
  std::uint32_t mSlotLimit = 0;
  /** Weight against other classes where slots are divided by share. */
  double mShare = 1.0;
};

/** How waiting classes are ordered. */
enum class ClassOrder : std::uint8_t
{
  /** The most important class that waits goes first. */
  Importance,
  /** Slot time is divided in the ratio of the shares (the paper's way). */
  Share,
};

/** Guards that a test can turn off to show the failure that each one meets. */
struct AdmissionGuards
{
  /** Refuse as soon as the deadline can't be met. */
  bool mEarlyRefusal = true;
  /** Keep reserved slots from work that is too long to lend them to. */
  bool mReservation = true;
  /** Serve callers in turn, and bound what one of them may hold. */
  bool mFairness = true;
  /** Try a request now and then although the estimate says it is hopeless. */
  bool mProbe = true;
  /** Give refused callers different moments to come back. */
  bool mSpreadReturns = true;
  /** Shorten the wait that is let in while a queue does not empty. */
  bool mStandingQueue = true;
  /** Move waiting work only for a clear gain, and only once. */
  bool mHandOnHysteresis = true;
};

/** Settings of the admission at one host. */
struct AdmissionOptions
{
  std::uint32_t mSlots = 2;
  std::vector<ClassOptions> mClasses;
  ClassOrder mOrder = ClassOrder::Importance;
  AdmissionGuards mGuards;
  std::uint64_t mSeed = 1;
};

/** The options of a service: class i is rule i, and one more class, the last,
 * takes requests that no rule meets. The most important class above Normal
 * gets a reserved slot, and classes that may wait never hold the last slot, if
 * hosts have two slots or more and the service has several classes.
 */
AdmissionOptions MakeAdmissionOptions(const Service& aService,
                                      std::uint64_t aSeed);

} // namespace heatherplank
