#pragma once

#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Member.h"
#include "src/wire/LoadCodec.h"

namespace heatherplank {

/** The last reported load of each other host of the service. Thread safe. */
class PeerLoads
{
public:
  /** Records a report; one with an older incarnation or sequence is dropped. */
  void OnLoad(const LoadMessage& aMessage, Time aNow);

  /** Removes the reports of hosts that are not in aMembers. */
  void Retain(std::span<const Member> aMembers);

  /** The last reported load of a host, with its age. A host without a report
   * counts as idle, with a report an hour old. */
  HostLoad Find(HostId aHost, Time aNow) const;

private:
  struct Entry
  {
    LoadMessage mMessage;
    Time mReceivedAt;
  };

  mutable std::mutex mLock;
  std::unordered_map<HostId, Entry> mEntries;
};

} // namespace heatherplank
