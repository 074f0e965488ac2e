#pragma once

#include <cstdint>
#include <map>

#include "include/heatherplank/Clock.h"
#include "src/decide/HostLoad.h"

namespace heatherplank {

/** Adds to a host's figures what this chooser gave it since they were taken.
 *
 * Load it answers: a burst of new flows between two exchanges of figures.
 * Without it the host that was lightest at the last exchange gets the whole
 * burst. Picks count until figures newer than them arrive, and for a second at
 * most, since a request takes less.
 *
 * Not thread safe.
 */
class PickLedger
{
public:
  /** Requests a slot at the host, own picks included. */
  double Load(const Candidate& aCandidate, Time aNow);

  /** Notes that the host was picked. */
  void Note(const Candidate& aCandidate);

private:
  struct Entry
  {
    Time mFiguresAt;
    std::uint32_t mPicks = 0;
  };

  std::map<HostId, Entry> mEntries;
};

} // namespace heatherplank
