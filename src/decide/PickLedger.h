#pragma once

#include <cstdint>
#include <map>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/HostLoad.h"

namespace heatherplank {

/** Adds the picks made locally since the last load report to a host's reported
 * load.
 *
 * Guards against: a burst of new flows between two load reports. Without the
 * picks, the host that was least loaded in the last report would get the whole
 * burst. Picks count until a newer report arrives, and for at most a second,
 * since a request takes less.
 *
 * Not thread safe.
 */
class PickLedger
{
public:
  /** Requests per slot on the host, including local picks. */
  double Load(const Candidate& aCandidate, Time aNow);

  /** Records that the host was picked. */
  void RecordPick(const Candidate& aCandidate);

private:
  struct Entry
  {
    Time mReportedAt;
    std::uint32_t mPicks = 0;
  };

  std::map<HostId, Entry> mEntries;
};

} // namespace heatherplank
