#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab/Faults.h"
#include "lab/Load.h"
#include "lab/World.h"

namespace heatherplank::lab {

/** Command line options of the lab. */
struct RunOptions
{
  std::string mScenario;
  /** Path of the heatherplank binary. */
  std::string mBin;
  /** Keeps the folder with settings and logs. */
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

/** Runs a scenario: starts the processes, generates load and faults, prints the
 * report with a JSON object as the last line of standard output, and ends all
 * processes that it started, also when interrupted. Call it once, from the main
 * thread.
 */
RunResult RunScenario(const RunOptions& aOptions);

} // namespace heatherplank::lab
