#include "src/settings/JsonText.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/stream_parser.hpp>

#include "src/settings/JsonReader.h"

namespace heatherplank {

namespace json = boost::json;

namespace {

/** Deeper nesting is rejected, so that malicious text can't exhaust the stack.
 */
constexpr std::size_t kMaxDepth = 32;

json::parse_options Options()
{
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  options.max_depth = kMaxDepth;
  return options;
}

/** Collects duplicate keys within one object. Implements Boost.JSON's handler
 * interface, which defines the names of these functions and constants.
 */
// NOLINTBEGIN(readability-identifier-naming)
struct DuplicateFinder
{
  static constexpr std::size_t max_object_size = -1;
  static constexpr std::size_t max_array_size = -1;
  static constexpr std::size_t max_key_size = -1;
  static constexpr std::size_t max_string_size = -1;

  using Code = json::error_code;
  using View = json::string_view;

  std::vector<std::set<std::string>> mOpenObjects;
  std::string mKey;
  std::vector<std::string> mDuplicates;

  bool on_document_begin(Code&) { return true; }
  bool on_document_end(Code&) { return true; }
  bool on_object_begin(Code&)
  {
    mOpenObjects.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t, Code&)
  {
    mOpenObjects.pop_back();
    return true;
  }
  bool on_array_begin(Code&) { return true; }
  bool on_array_end(std::size_t, Code&) { return true; }
  bool on_key_part(View aPart, std::size_t, Code&)
  {
    mKey += aPart;
    return true;
  }
  bool on_key(View aPart, std::size_t, Code&)
  {
    mKey += aPart;
    if (!mOpenObjects.back().insert(mKey).second) {
      mDuplicates.push_back(mKey);
    }
    mKey.clear();
    return true;
  }
  bool on_string_part(View, std::size_t, Code&) { return true; }
  bool on_string(View, std::size_t, Code&) { return true; }
  bool on_number_part(View, Code&) { return true; }
  bool on_int64(std::int64_t, View, Code&) { return true; }
  bool on_uint64(std::uint64_t, View, Code&) { return true; }
  bool on_double(double, View, Code&) { return true; }
  bool on_bool(bool, Code&) { return true; }
  bool on_null(Code&) { return true; }
  bool on_comment_part(View, Code&) { return true; }
  bool on_comment(View, Code&) { return true; }
};
// NOLINTEND(readability-identifier-naming)

std::string LineOf(std::string_view aText, std::size_t aOffset)
{
  auto end = aText.begin() + static_cast<std::ptrdiff_t>(aOffset);
  return std::to_string(1 + std::count(aText.begin(), end, '\n'));
}

void FindDuplicates(std::string_view aText, JsonFaults& aFaults)
{
  json::basic_parser<DuplicateFinder> parser(Options());
  json::error_code ec;
  parser.write_some(false, aText.data(), aText.size(), ec);
  for (const auto& it : parser.handler().mDuplicates) {
    aFaults.Add(it, "duplicate key in one object", "keep one of them");
  }
}

} // namespace

std::optional<json::value> ParseJsonText(std::string_view aText,
                                         JsonFaults& aFaults)
{
  json::stream_parser parser({}, Options());
  json::error_code ec;
  std::size_t read = parser.write_some(aText.data(), aText.size(), ec);
  auto rest = aText.substr(std::min(read, aText.size()));
  if (!ec && rest.find_first_not_of(" \t\r\n") != std::string_view::npos) {
    ec = json::error::extra_data;
  }
  if (!ec) {
    parser.finish(ec);
  }
  if (ec) {
    aFaults.Add("line " + LineOf(aText, std::min(read, aText.size())),
                "not JSON: " + ec.message(),
                "fix the syntax there or just before");
    return std::nullopt;
  }
  FindDuplicates(aText, aFaults);
  return parser.release();
}

} // namespace heatherplank
