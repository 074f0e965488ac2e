#pragma once

#include <map>
#include <string>

#include "include/heatherplank/Configuration.h"
#include "src/status/PolicyFigures.h"

namespace heatherplank {

/** Draws the score, the imbalance and the median latency of each policy as bar
 * charts in an SVG document. aFigures is keyed by policy name. Thread safe.
 */
std::string DrawReport(const std::map<std::string, PolicyFigures>& aFigures,
                       const PolicyChoice& aWeights);

} // namespace heatherplank
