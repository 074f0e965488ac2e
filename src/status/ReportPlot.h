#pragma once

#include <map>
#include <string>

#include "include/heatherplank/Configuration.h"
#include "src/status/PolicyFigures.h"

namespace heatherplank {

/** Draws how policies fared, one bar a policy for the score, the imbalance and
 * the median latency, as an SVG document. aFigures is by policy. Thread safe.
 */
std::string DrawReport(const std::map<std::string, PolicyFigures>& aFigures,
                       const PolicyChoice& aWeights);

} // namespace heatherplank
