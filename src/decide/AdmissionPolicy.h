#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/HostLoad.h"
#include "include/heatherplank/Types.h"
#include "src/decide/AdmissionOptions.h"
#include "src/decide/Reasons.h"
#include "src/decide/Request.h"

namespace heatherplank {

/** The operation that the driver performs on a request. */
enum class ActionKind : std::uint8_t
{
  /** Run it now; it holds a slot until OnDone. */
  Dispatch,
  /** Answer "not run" now, with reason and retry time; the policy drops the
   * request. */
  Refuse,
  /** Forward it to mTarget, which decides anew; the policy drops the request.
   */
  Forward,
  /** Its deadline passed before the driver called the policy. Handled as
   * Refuse, but its caller has probably gone. */
  Expire,
};

/** One decision. */
struct Action
{
  ActionKind mKind = ActionKind::Dispatch;
  RequestId mId = 0;
  /** For Refuse and Expire. */
  RefusalReason mReason = RefusalReason::QueueFull;
  /** For Forward. */
  RetryReason mForwardReason = RetryReason::LessLoadedHost;
  /** For Refuse and Expire: delay until the queue is expected to have room. */
  Duration mRetryAfter{};
  /** For Forward. */
  HostId mTarget;
};

using Actions = std::vector<Action>;

/** Decides on one host which requests are run, queued, forwarded or refused.
 *
 * A driver passes events in the order in which they happen, with times that
 * never decrease, and performs the actions that each event appends to aOut, in
 * order. Each request ends in exactly one of: Refuse, Expire, Forward, an
 * OnCancel that returns true, or Dispatch followed by OnDone. Performs no I/O,
 * takes no lock and reads no clock. Not thread safe.
 */
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;

  /** A request arrived. Preconditions: its id is not in use, its class exists.
   */
  virtual void OnRequest(const Request& aRequest, Time aNow, Actions& aOut) = 0;

  /** A dispatched request ended; its slot is free. aServiceTime is the time
   * since it was sent to the backend server (zero if it was not sent). An
   * unknown id is ignored. */
  virtual void OnDone(RequestId aId, RunResult aResult, Duration aServiceTime,
                      Time aNow, Actions& aOut) = 0;

  /** The caller cancelled a request. True: it was queued and won't run; answer
   * "not run". False: it runs and OnDone is still due, or the id is unknown. */
  virtual bool OnCancel(RequestId aId, Time aNow, Actions& aOut) = 0;

  /** The number of slots changed; running requests continue. */
  virtual void OnSlots(std::uint32_t aSlots, Time aNow, Actions& aOut) = 0;

  /** The rules changed; the number of slots is set by OnSlots alone. Classes
   * are matched by name; requests queued or running in a removed class move to
   * the last class. From now on Request::mClass is an index into
   * aOptions.mClasses. Precondition: aOptions has a class. */
  virtual void OnOptions(const AdmissionOptions& aOptions, Time aNow,
                         Actions& aOut) = 0;

  /** New load reports of the other hosts that can take this host's requests. */
  virtual void OnPeers(std::span<const Candidate> aPeers, Time aNow,
                       Actions& aOut) = 0;

  /** The host drains from now on: queued and new requests are forwarded or
   * refused; running requests continue. */
  virtual void OnDrain(Time aNow, Actions& aOut) = 0;

  /** Time passed; due at NextWakeUp, harmless at any other time. */
  virtual void OnTick(Time aNow, Actions& aOut) = 0;

  /** The latest time at which OnTick is due; none if nothing is queued. */
  virtual std::optional<Time> NextWakeUp() const = 0;

  /** The load to report to other hosts (mAge is zero). */
  virtual HostLoad Load() const = 0;
};

/** Makes an admission policy by name: "reservation" (the default), "priority"
 * (strict priority, bounded queues) or "fifo" (one queue, no admission
 * control). InvalidInput for another name or for options without slots or
 * classes.
 */
Result<std::unique_ptr<AdmissionPolicy>> MakeAdmissionPolicy(
  std::string_view aName, const AdmissionOptions& aOptions);

} // namespace heatherplank
