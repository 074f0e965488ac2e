#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace heatherplank {

/** Plays recorded traces into the decision code on a paused clock and writes a
 * line on each trace, and on each outcome that did not come, to aOut. Gives the
 * exit status: 0 if all outcomes came, 1 if one did not, 2 if a trace can't be
 * read. Precondition: at least one path. Thread safe.
 */
int RunReplay(std::span<const std::string> aTraces, std::ostream& aOut);

} // namespace heatherplank
