#pragma once

#include "include/heatherplank/Configuration.h"
#include "src/settings/JsonReader.h"

namespace heatherplank {

/** Adds the faults that concern several services: no service at all, and
 * drained hosts that are unknown or listed twice. Thread safe.
 */
void CheckServicesAndDrains(const Configuration& aConfiguration,
                            JsonFaults& aFaults);

/** Adds a fault for each address or host that two services share, and for hosts
 * whose names have the same hash. Thread safe.
 */
void CheckUniqueness(const Configuration& aConfiguration, JsonFaults& aFaults);

} // namespace heatherplank
