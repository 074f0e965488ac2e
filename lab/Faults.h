#pragma once

#include <set>
#include <string>

#include "lab/World.h"

namespace heatherplank::lab {

/** Injects faults into a world, and performs the operators' actions. Not thread
 * safe: used only on the thread of the executor.
 */
class Faults
{
public:
  /** Precondition: aWorld is prepared and outlives it. */
  explicit Faults(World* aWorld)
    : mWorld(aWorld)
  {
  }

  /** Returns InvalidInput if a fault is not known or its target does not exist.
   */
  Result<void> Check(const FaultSpec& aFault) const;

  /** Injects a fault now. Precondition: Check succeeded. A target with "*" is
   * processed one name after another. */
  Awaitable<void> Play(FaultSpec aFault);

  /** Makes the fabric use exactly the balancers that run and are not frozen. */
  void SpreadPackets();

  /** Returns the names that a target matches, in order. */
  std::vector<std::string> Names(std::string_view aTarget) const;

private:
  Awaitable<void> PlayOne(FaultSpec aFault, std::string aName);
  void PlayBackend(const FaultSpec& aFault, const std::string& aName);
  Awaitable<void> Restart(std::string aName);
  Awaitable<void> PlayPlatform(const FaultSpec& aFault);

  World* mWorld;
  /** Processes that were stopped or frozen by a fault. */
  std::set<std::string> mGone;
};

} // namespace heatherplank::lab
