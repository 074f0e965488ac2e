#pragma once

#include <cstdint>
#include <string>

namespace heatherplank::lab {

/** One run of the soak. */
struct SoakOptions
{
  std::string mBin;
  std::uint64_t mSeed = 1;
  int mBalancers = 3;
  int mHosts = 6;
  /** How long faults go on, s. */
  int mSeconds = 6;
  /** Harms clocks, links between our processes and the fabric too. Without it a
   * seed plays as it did before these were added, which kept seeds rely on. */
  bool mWide = false;
  /** Where logs go; kept if the run fails. */
  std::string mFolder;
};

/** Plays seeded faults against real balancers and agents as separate processes
 * and checks what callers and hosts see. Prints one JSON line. Gives true if
 * every promise held. */
bool RunSoak(const SoakOptions& aOptions);

} // namespace heatherplank::lab
