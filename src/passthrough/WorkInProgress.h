#pragma once

#include <cstdint>
#include <unordered_map>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** What an entry of WorkInProgress counts. */
enum class WorkKind : std::uint8_t
{
  /** A flow that is being opened; the host has no request of it. */
  Opening,
  Request,
};

/** Counts the requests that a host processes or is about to receive, from the
 * packets that its agent sees. An entry ends with the answer or expires: flows
 * that never open and hosts that never answer must not occupy a slot forever.
 * Not thread safe.
 */
class WorkInProgress
{
public:
  /** Counts a flow until End, at most until aExpiresAt. A second call for the
   * same flow replaces the first. */
  void Begin(const FlowKey& aFlow, Time aNow, Time aExpiresAt,
             WorkKind aKind = WorkKind::Request);

  /** The entry of a flow that ended. */
  struct Ended
  {
    /** Duration of the entry; zero if the flow was not counted. */
    Duration mLasted{};
    /** Number of other flows counted when this one began. */
    std::uint32_t mAhead = 0;
    /** Number of requests that began earlier and are still counted. */
    std::uint32_t mOvertaken = 0;
  };

  /** Ends the entry of a flow whose request was answered or will not arrive. */
  Ended End(const FlowKey& aFlow, Time aNow);

  /** Drops expired entries. Call a few times a second. */
  void Expire(Time aNow);

  /** Drops every entry that began before aBefore. */
  void DropOlderThan(Time aBefore);

  std::uint32_t Size() const
  {
    return static_cast<std::uint32_t>(mWork.size());
  }

private:
  struct Work
  {
    Time mBeganAt;
    Time mExpiresAt;
    std::uint32_t mAhead = 0;
    WorkKind mKind = WorkKind::Request;
  };
  std::unordered_map<FlowKey, Work> mWork;
};

} // namespace heatherplank
