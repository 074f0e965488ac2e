#pragma once

#include <string>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "include/heatherplank/Error.h"

namespace heatherplank {

/** The number of service parts for a configuration of this many services, if
 * the version before had aBefore of them (0: none). It changes only when the
 * parts would become four times too large or too small, since then all of them
 * are written and sent anew. Thread safe.
 */
std::size_t ChoosePartCount(std::size_t aServices, std::size_t aBefore);

/** Splits a configuration into parts of at most ObjectStore::kMaxObjectSize
 * bytes: the general one, then the services by id. More service parts than
 * aPartCount are made if one would be too large; TooLarge if even that does
 * not help. Thread safe.
 */
Result<std::vector<std::string>> SplitConfiguration(
  const Configuration& aConfiguration, std::size_t aPartCount);

} // namespace heatherplank
