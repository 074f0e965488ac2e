#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "include/heatherplank/Configuration.h"
#include "src/settings/JsonReader.h"

namespace heatherplank {

/** Parses and validates a configuration in the operators' format (described in
 * docs/ADMIN.md). Null if it is invalid; aFaults then has every fault: unknown
 * keys, wrong types and ranges, duplicate or unknown names or addresses, and
 * names whose hashes collide. With aVersion 0 the version is taken from the
 * text's key "version" (0 if it is missing). Thread safe.
 */
ConfigurationPtr ParseConfiguration(std::string_view aText,
                                    std::uint64_t aVersion,
                                    JsonFaults& aFaults);

/** As above, with all faults in one InvalidInput error that names aFile. Thread
 * safe. */
Result<ConfigurationPtr> ParseConfiguration(std::string_view aText,
                                            std::uint64_t aVersion,
                                            const std::string& aFile);

/** Reads the general part (everything except the services) into aOut. Thread
 * safe.
 */
void ReadGeneralPart(std::string_view aText, Configuration& aOut,
                     JsonFaults& aFaults);

/** Reads a part with services. Checks them against aDataCentres but not against
 * the services of other parts. Thread safe. */
std::vector<Service> ReadServicePart(
  std::string_view aText, const std::vector<std::string>& aDataCentres,
  JsonFaults& aFaults);

/** The canonical JSON of a service: every key is present, except a rule's empty
 * method and path_prefix, and keys are in a fixed order, so that equal services
 * give equal bytes. Thread safe.
 */
boost::json::value ToJson(const Service& aService);

/** Canonical JSON of everything except the services. Thread safe. */
boost::json::object GeneralToJson(const Configuration& aConfiguration);

/** Canonical {"services": [...]}, sorted by name. Thread safe. */
boost::json::object ServicesToJson(std::vector<const Service*> aServices);

/** The canonical JSON of a whole configuration, with the version unless it is
 * 0. ParseConfiguration reads it back. Thread safe.
 */
boost::json::value ToJson(const Configuration& aConfiguration);

/** Formats JSON on indented lines, for reading by operators. Thread safe. */
std::string ToPrettyText(const boost::json::value& aValue);

/** Rebuilds the index from address to service. Not thread safe. */
void IndexAddresses(Configuration& aConfiguration);

} // namespace heatherplank
