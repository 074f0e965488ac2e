#pragma once

#include <iosfwd>
#include <string_view>

#include "include/heatherplank/Error.h"

namespace heatherplank::replay {

/** How a trace went. */
struct TraceResult
{
  int mExpectations = 0;
  int mFailed = 0;
};

/** Plays a trace: JSON objects, one a line, as docs/DECISIONS.md lists them.
 * Writes a line to aOut for each outcome that did not come: the trace, the
 * line's number, what was expected and what came. Gives InvalidInput for a
 * trace that can't be played; the message names trace and line.
 *
 * Pure but for aOut; thread safe.
 */
Result<TraceResult> PlayTrace(std::string_view aName, std::string_view aText,
                              std::ostream& aOut);

} // namespace heatherplank::replay
