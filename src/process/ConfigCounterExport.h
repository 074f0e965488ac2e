#pragma once

#include "src/config/ConfigActions.h"

namespace heatherplank {

class MetricsRegistry;

/** Adds what was counted since aExported to the metrics, and brings aExported
 * up to date. Not thread safe.
 */
void ExportConfigCounters(const ConfigCounters& aNow, ConfigCounters& aExported,
                          MetricsRegistry& aMetrics);

} // namespace heatherplank
