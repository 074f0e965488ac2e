#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace heatherplank {

/** Plays recorded traces into the decision code on a simulated clock and writes
 * a line to aOut for each trace and for each expectation that is not met.
 * Returns the exit status: 0 if all expectations are met, 1 if one is not, 2 if
 * a trace can't be read or played. Precondition: at least one path. Thread
 * safe.
 */
int RunReplay(std::span<const std::string> aTraces, std::ostream& aOut);

} // namespace heatherplank
