#pragma once

#include <optional>
#include <string_view>

#include <boost/json/value.hpp>

namespace heatherplank {

class JsonFaults;

/** Parses text as JSON with comments and trailing commas. Returns nullopt after
 * a syntax error, which is recorded with its line. Duplicate keys in one object
 * are faults too, since the parser would silently use the last value.
 * Thread safe.
 */
std::optional<boost::json::value> ParseJsonText(std::string_view aText,
                                                JsonFaults& aFaults);

} // namespace heatherplank
