#pragma once

#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "src/wire/LoadCodec.h"

namespace heatherplank {

/** The load of the other hosts of the service, as their agents told it last.
 * Thread safe, by its own lock.
 */
class PeerLoads
{
public:
  /** Takes figures; those of an older incarnation or sequence are dropped. */
  void OnLoad(const LoadMessage& aMessage, Time aNow);

  /** Keeps the figures of these members only. */
  void Retain(std::span<const Member> aMembers);

  /** The figures of a host with their present age. A host that was not heard
   * from counts as idle with figures an hour old. */
  HostLoad Find(HostId aHost, Time aNow) const;

private:
  struct Entry
  {
    LoadMessage mMessage;
    Time mHeardAt;
  };

  mutable std::mutex mLock;
  std::unordered_map<HostId, Entry> mEntries;
};

} // namespace heatherplank
