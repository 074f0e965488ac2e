#pragma once

#include <set>
#include <string>

#include "lab/World.h"

namespace heatherplank::lab {

/** Plays faults and operators' deeds on a world. Not thread safe: belongs to
 * an executor of one thread.
 */
class Faults
{
public:
  /** Precondition: aWorld is prepared and outlives it. */
  explicit Faults(World* aWorld)
    : mWorld(aWorld)
  {
  }

  /** InvalidInput if a fault has no meaning or an unknown target. */
  Result<void> Check(const FaultSpec& aFault) const;

  /** Plays a fault now. Precondition: Check found nothing. A target with "*"
   * takes its steps' time. */
  Awaitable<void> Play(FaultSpec aFault);

  /** Sends packets to the balancers that run and are not frozen. */
  void SpreadPackets();

  /** Names that a target stands for, in order. */
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
