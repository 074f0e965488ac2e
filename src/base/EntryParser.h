#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace heatherplank {

/** Parses JSON documents whose entries come from several writers, so that an
 * odd entry of one does not take those of the others with it.
 *
 * Guards against: another writer leaves an entry that a parser refuses, for
 * example because it is nested too deeply. If the whole document were refused,
 * nobody would see the other entries again.
 *
 * Both functions use memory in proportion to the text, and no recursion but the
 * parser's own, whose depth is limited. Thread safe. */

/** Called with the reason and the beginning of an entry that was left out, or
 * of which deeply nested parts were. */
using OnOddEntry =
  std::function<void(std::string_view aWhy, std::string_view aText)>;

/** Values at a greater depth are replaced by null if the text can't be parsed
 * as it is; less than the parser's limit of 32. */
inline constexpr std::size_t kMaxEntryDepth = 24;

/** Parses a text. If that fails, replaces its deeply nested values by null, and
 * leaves out the entries of lists in the outermost object that can't be parsed
 * by themselves. Sets aError if the text is malformed beyond that. */
boost::json::value ParseWithOddEntries(std::string_view aText,
                                       const OnOddEntry& aOnOdd,
                                       boost::json::error_code& aError);

/** Copies a text with the arrays and objects at a depth above aMaxDepth
 * replaced by null. The text need not be valid. */
std::string ReplaceDeepValues(std::string_view aText, std::size_t aMaxDepth);

} // namespace heatherplank
