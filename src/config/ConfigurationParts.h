#pragma once

#include <string>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/Error.h"

namespace heatherplank {

/** Returns the number of service parts for aServices services, if the previous
 * version had aPrevious service parts (0: no previous version). The number
 * changes only when it is off the best one by more than a factor of four, since
 * a change means that all parts are written and sent again. Thread safe.
 */
std::size_t ChoosePartCount(std::size_t aServices, std::size_t aPrevious);

/** Splits a configuration into parts of at most ObjectStore::kMaxObjectSize
 * bytes: the general part, then the services by id. Makes more service parts
 * than aPartCount if one would be too large; TooLarge if a part still exceeds
 * the limit. Thread safe.
 */
Result<std::vector<std::string>> SplitConfiguration(
  const Configuration& aConfiguration, std::size_t aPartCount);

} // namespace heatherplank
