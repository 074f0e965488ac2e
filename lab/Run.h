#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab/Faults.h"
#include "lab/Load.h"
#include "lab/World.h"

namespace heatherplank::lab {

/** How the lab is called. */
struct RunOptions
{
  std::string mScenario;
  /** Path of the heatherplank binary. */
  std::string mBin;
  /** Leaves the folder with settings and logs behind. */
  bool mKeep = false;
};

/** Exit codes of the lab. */
enum class RunResult : int
{
  Met = 0,
  Unmet = 1,
  Usage = 2,
  Failed = 3,
  Interrupted = 130,
};

/** Plays a scenario: starts everything, plays load and faults, prints the
 * report with the JSON object as the last line of standard output, and ends
 * all that it started, also when it is interrupted. Call it from the main
 * thread, once.
 */
RunResult RunScenario(const RunOptions& aOptions);

} // namespace heatherplank::lab
