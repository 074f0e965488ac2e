#pragma once

#include <string>

#include "lab/Run.h"

namespace heatherplank::lab {

/** Throws 10,000 seeded inputs (garbage, truncated and damaged messages,
 * oversized ones) at each port of a real balancer and a real agent. Met if both
 * live, count refusals and hold no more memory than after a tenth of the
 * inputs. Prints one JSON object as its last line. Call it once.
 */
RunResult RunGarbage(const std::string& aBin);

} // namespace heatherplank::lab
