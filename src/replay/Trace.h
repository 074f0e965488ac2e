#pragma once

#include <iosfwd>
#include <string_view>

#include "include/heatherplank/Error.h"

namespace heatherplank::replay {

/** The number of expectations in a trace, and of those that were not met. */
struct TraceResult
{
  int mExpectations = 0;
  int mFailed = 0;
};

/** Plays a trace: one JSON object per line, as listed in docs/DECISIONS.md.
 * Writes a line to aOut for each expectation that is not met, with the trace's
 * name, the line number, the expected and the actual figure. Returns
 * InvalidInput for a trace that can't be played; the message names trace and
 * line.
 *
 * No I/O except to aOut and no clock access; thread safe.
 */
Result<TraceResult> PlayTrace(std::string_view aName, std::string_view aText,
                              std::ostream& aOut);

} // namespace heatherplank::replay
