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

/** Reads and checks a configuration as operators write it (docs/ADMIN.md has
 * the format). Null if anything is wrong; then aFaults holds every fault:
 * unknown keys, wrong types and ranges, names or addresses that stand twice or
 * are not known, and names whose hashes collide. With aVersion 0 the version
 * is that of the text's key "version" (0 if there is none). Thread safe.
 */
ConfigurationPtr ParseConfiguration(std::string_view aText,
                                    std::uint64_t aVersion,
                                    JsonFaults& aFaults);

/** As above, with the faults as one error that names aFile. Thread safe. */
Result<ConfigurationPtr> ParseConfiguration(std::string_view aText,
                                            std::uint64_t aVersion,
                                            const std::string& aFile);

/** Reads the part that holds all but the services into aOut. Thread safe. */
void ReadGeneralPart(std::string_view aText, Configuration& aOut,
                     JsonFaults& aFaults);

/** Reads a part with services, checked against the data centres but not
 * against other parts. Thread safe. */
std::vector<Service> ReadServicePart(
  std::string_view aText, const std::vector<std::string>& aDataCentres,
  JsonFaults& aFaults);

/** The canonical JSON of a service: every key present, keys in a fixed order,
 * so that equal services give equal bytes. Thread safe.
 */
boost::json::value ToJson(const Service& aService);

/** All of a configuration that is not a service; canonical. Thread safe. */
boost::json::object GeneralToJson(const Configuration& aConfiguration);

/** {"services": [...]}, canonical, in the order of their names. Thread safe. */
boost::json::object ServicesToJson(std::vector<const Service*> aServices);

/** The canonical JSON of a whole configuration, with the version unless it is
 * 0. ParseConfiguration reads it back. Thread safe.
 */
boost::json::value ToJson(const Configuration& aConfiguration);

/** The same on many indented lines, for people. Thread safe. */
std::string ToPrettyText(const boost::json::value& aValue);

/** Fills the lookup tables of a configuration. Not thread safe. */
void IndexAddresses(Configuration& aConfiguration);

} // namespace heatherplank
