#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/decide/AdmissionOptions.h"
#include "src/decide/HostLoad.h"
#include "src/decide/Reasons.h"
#include "src/decide/Request.h"

namespace heatherplank {

/** What the driver has to do with a request. */
enum class ActionKind : std::uint8_t
{
  /** Run it now; it holds a slot until OnDone. */
  Dispatch,
  /** Answer "not run" now, with reason and retry time; it is forgotten. */
  Refuse,
  /** Send it to mTarget, which decides anew; it is forgotten here. */
  HandOn,
  /** Its deadline passed unseen (the driver was late); as Refuse, but its
   * caller has probably gone. */
  Expire,
};

/** One decision. */
struct Action
{
  ActionKind mKind = ActionKind::Dispatch;
  RequestId mId = 0;
  /** With Refuse and Expire. */
  RefusalReason mReason = RefusalReason::QueueFull;
  /** With HandOn. */
  RetryReason mHandOnReason = RetryReason::LighterHost;
  /** With Refuse and Expire: when the queue should have room, from now. */
  Duration mRetryAfter{};
  /** With HandOn. */
  HostId mTarget;
};

using Actions = std::vector<Action>;

/** Decides at one host which requests run, wait, go elsewhere or are refused.
 *
 * A driver feeds events in the order in which they happen, with times that
 * never step back, and carries out the actions that each event appends to
 * aOut, in their order. Each request that arrived ends in exactly one of:
 * Refuse, Expire, HandOn, a true OnCancel, or Dispatch followed by OnDone. The
 * code performs no I/O, holds no lock and reads no clock. Not thread safe.
 */
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;

  /** A request came. Preconditions: its id is not known, its class exists. */
  virtual void OnRequest(const Request& aRequest, Time aNow, Actions& aOut) = 0;

  /** A dispatched request ended; its slot is free. aServiceTime is the time
   * since it was sent to the backend server (zero if it never was). An unknown
   * id is ignored. */
  virtual void OnDone(RequestId aId, RunResult aResult, Duration aServiceTime,
                      Time aNow, Actions& aOut) = 0;

  /** The caller withdrew a request. True: it was waiting, and will not run;
   * answer "not run". False: it runs or is unknown; OnDone is still due. */
  virtual bool OnCancel(RequestId aId, Time aNow, Actions& aOut) = 0;

  /** The number of slots changed; requests that run are not cut. */
  virtual void OnSlots(std::uint32_t aSlots, Time aNow, Actions& aOut) = 0;

  /** The rules changed; the slots do not, see OnSlots. Classes are matched by
   * name, and what waits or runs in one that is gone goes over to the last
   * one. From now on Request::mClass is an index into aOptions.mClasses.
   * Precondition: aOptions has a class. */
  virtual void OnOptions(const AdmissionOptions& aOptions, Time aNow,
                         Actions& aOut) = 0;

  /** Fresh figures of the other hosts that could take this host's requests.
   */
  virtual void OnPeers(std::span<const Candidate> aPeers, Time aNow,
                       Actions& aOut) = 0;

  /** The host drains from now on: what waits goes elsewhere or is refused, and
   * so does what still arrives; what runs is not cut. */
  virtual void OnDrain(Time aNow, Actions& aOut) = 0;

  /** Time went by; due at NextWakeUp, harmless at any other time. */
  virtual void OnTick(Time aNow, Actions& aOut) = 0;

  /** When OnTick is due at the latest; none if nothing waits. */
  virtual std::optional<Time> NextWakeUp() const = 0;

  /** The figures to tell other hosts (mAge is zero). */
  virtual HostLoad Load() const = 0;
};

/** Makes an admission policy by name: "reservation" (ours), "priority" (strict
 * priority, bounded queues) or "fifo" (one queue, no admission). InvalidInput
 * for another name or for options without slots or classes.
 */
Result<std::unique_ptr<AdmissionPolicy>> MakeAdmissionPolicy(
  std::string_view aName, const AdmissionOptions& aOptions);

} // namespace heatherplank
