#pragma once

#include "src/config/ConfigActions.h"

namespace heatherplank {

class MetricsRegistry;

/** Adds the increases from aExported to aNow to the metrics, then sets
 * aExported to aNow. Not thread safe.
 */
void ExportConfigCounters(const ConfigCounters& aNow, ConfigCounters& aExported,
                          MetricsRegistry& aMetrics);

} // namespace heatherplank
