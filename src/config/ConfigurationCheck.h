#pragma once

#include "include/heatherplank/Configuration.h"
#include "src/settings/JsonReader.h"

namespace heatherplank {

/** Notes faults that show only in the whole: no service at all, and drained
 * hosts that are unknown or stand twice. Thread safe.
 */
void CheckWhole(const Configuration& aConfiguration, JsonFaults& aFaults);

/** Notes addresses and hosts that two services share, and services or hosts
 * whose names have the same hash. Thread safe.
 */
void CheckUnique(const Configuration& aConfiguration, JsonFaults& aFaults);

} // namespace heatherplank
