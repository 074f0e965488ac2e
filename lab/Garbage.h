#pragma once

#include <string>

#include "lab/Run.h"

namespace heatherplank::lab {

/** Sends 10,000 seeded invalid inputs (random bytes, truncated, corrupted and
 * oversized messages) to each port of a real balancer and a real agent. Met if
 * both processes survive, count refusals and use no more memory than after a
 * tenth of the inputs. Prints one JSON object as its last line. Call it once.
 */
RunResult RunGarbage(const std::string& aBin);

} // namespace heatherplank::lab
