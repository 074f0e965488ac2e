#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace heatherplank::lab {

/** What a request asks its backend server to say. */
struct ContentSpec
{
  std::string mService;
  std::string mRequestId;
  /** Empty if the request may be repeated. */
  std::string mKey;
  std::size_t mBytes = 0;
};

/** The body of an answer: one line that names service, request and key, and a
 * pattern seeded by them up to mBytes. Thread safe.
 */
std::string MakeContent(const ContentSpec& aSpec);

/** What is wrong with an answer's body. */
enum class ContentFault
{
  None,
  WrongService,
  WrongAnswer,
};

/** Checks a body against what was asked. With a key the answer may be that to
 * another request with that key. Thread safe.
 */
ContentFault CheckContent(std::string_view aBody, const ContentSpec& aSpec);

/** Puts the parts of an answer together in any order. Not thread safe. */
class Reassembly
{
public:
  /** Adds a part with its "bytes A-B/TOTAL". False if it makes no sense or
   * contradicts an earlier one.
   */
  bool Add(std::string_view aContentRange, std::string_view aPart);

  /** True once a part came and none is missing. */
  bool Whole() const;

  /** The first missing range, both ends included; none if whole or empty. */
  std::optional<std::pair<std::size_t, std::size_t>> Missing() const;

  /** The body. Precondition: Whole(). */
  std::string Take();

private:
  std::map<std::size_t, std::string> mParts;
  std::size_t mTotal = 0;
};

} // namespace heatherplank::lab
