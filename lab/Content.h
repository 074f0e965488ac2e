#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace heatherplank::lab {

/** The content that a request asks its backend server to return. */
struct ContentSpec
{
  std::string mService;
  std::string mRequestId;
  /** Empty if the request may be repeated. */
  std::string mKey;
  std::size_t mBytes = 0;
};

/** Returns the body of an answer: one line that names service, request and key,
 * and a pattern derived from them, mBytes in total. Thread safe.
 */
std::string MakeContent(const ContentSpec& aSpec);

/** The kind of mismatch found in an answer's body. */
enum class ContentFault
{
  None,
  WrongService,
  WrongAnswer,
};

/** Compares a body with the requested content. For a request with a key, the
 * answer to another request with the same key is valid. Thread safe.
 */
ContentFault CheckContent(std::string_view aBody, const ContentSpec& aSpec);

/** Assembles an answer from parts that arrive in any order. Not thread safe. */
class Reassembly
{
public:
  /** Adds a part with its "bytes A-B/TOTAL". False if the range is invalid or
   * contradicts an earlier part.
   */
  bool Add(std::string_view aContentRange, std::string_view aPart);

  /** True if at least one part was added and none is missing. */
  bool Whole() const;

  /** The first missing range, both ends included; none if the answer is whole
   * or no part was added. */
  std::optional<std::pair<std::size_t, std::size_t>> Missing() const;

  /** Returns the body. Precondition: Whole(). */
  std::string Take();

private:
  std::map<std::size_t, std::string> mParts;
  std::size_t mTotal = 0;
};

} // namespace heatherplank::lab
