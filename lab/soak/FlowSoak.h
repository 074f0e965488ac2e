#pragma once

#include <cstdint>
#include <string>

namespace heatherplank::lab {

/** Options of one soak run. */
struct SoakOptions
{
  std::string mBin;
  std::uint64_t mSeed = 1;
  int mBalancers = 3;
  int mHosts = 6;
  /** Duration of the fault phase, s. */
  int mSeconds = 6;
  /** Adds faults of clocks, of links between balancers and agents, and of the
   * fabric. Off by default: the seeds recorded before these faults existed must
   * still produce the same runs. */
  bool mWide = false;
  /** Adds a restore of the store from a copy. Off by default, as mWide. */
  bool mRestoresStore = false;
  /** All open connections to the store go silent at random times and just
   * before the check of changed routes. Off by default, as mWide. */
  bool mSilencesStore = false;
  /** Another writer leaves odd objects in the kinds that balancers read. Off by
   * default, as mWide. */
  bool mWritesOddEntries = false;
  /** Adds flows that stay open for many requests, and draws from the faults
   * that leave hosts and agents running: balancers restarted in turn, added,
   * killed. With mWide, from all faults. Off by default, as mWide. */
  bool mLongFlows = false;
  /** A route leaves one of its two services. Needs mLongFlows. */
  bool mRouteLeavesService = false;
  /** All processes and hosts lose power once. Needs mLongFlows. */
  bool mLosesPower = false;
  /** Checks that flows lost with their hosts are reset. Needs mLosesPower. */
  bool mChecksResets = false;
  /** Folder for logs and settings files; removed unless the run fails. */
  std::string mFolder;
};

/** Injects faults chosen by the seed into real balancer and agent processes and
 * checks what callers and hosts observe. Prints one JSON line. Returns true if
 * no check was violated. */
bool RunSoak(const SoakOptions& aOptions);

} // namespace heatherplank::lab
