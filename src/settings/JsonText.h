#pragma once

#include <optional>
#include <string_view>

#include <boost/json/value.hpp>

namespace heatherplank {

class JsonFaults;

/** Parses text as JSON with comments and trailing commas. None after a syntax
 * error, which is noted with its line. A key that stands twice in one object
 * is a fault too, since the parser itself would keep the last one silently.
 * Thread safe.
 */
std::optional<boost::json::value> ParseJsonText(std::string_view aText,
                                                JsonFaults& aFaults);

} // namespace heatherplank
