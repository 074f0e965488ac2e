#pragma once

#include <string_view>

#include <boost/json/value.hpp>

#include "include/heatherplank/Configuration.h"
#include "src/settings/JsonReader.h"

namespace heatherplank {

/** Reads and checks a configuration as operators write it (docs/ADMIN.md has
 * the format). Null if anything is wrong; then aFaults holds every fault:
 * unknown keys, wrong types and ranges, names or addresses that stand twice or
 * are not known, and names whose hashes collide. Thread safe.
 */
ConfigurationPtr ParseConfiguration(std::string_view aText,
                                    std::uint64_t aVersion,
                                    JsonFaults& aFaults);

/** As above, with the faults as one error that names aFile. Thread safe. */
Result<ConfigurationPtr> ParseConfiguration(std::string_view aText,
                                            std::uint64_t aVersion,
                                            const std::string& aFile);

/** The canonical JSON of a service: every key present, keys in a fixed order,
 * so that equal services give equal bytes. Thread safe.
 */
boost::json::value ToJson(const Service& aService);

/** The canonical JSON of a configuration without its version; services in the
 * order of their names. ParseConfiguration reads it back. Thread safe.
 */
boost::json::value ToJson(const Configuration& aConfiguration);

/** The same on many indented lines, for people. Thread safe. */
std::string ToPrettyText(const boost::json::value& aValue);

/** Fills the lookup tables of a configuration. Not thread safe. */
void IndexAddresses(Configuration& aConfiguration);

} // namespace heatherplank
