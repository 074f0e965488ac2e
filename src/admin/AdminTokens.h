#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"

namespace heatherplank {

/** Permissions of the holder of a token. */
enum class AdminRole : std::uint8_t
{
  /** Read configuration, status and report. */
  ReadOnly,
  /** Change the configuration too. */
  Operator,
};

/** The holder of a token. */
struct AdminUser
{
  std::string mName;
  AdminRole mRole = AdminRole::ReadOnly;
};

/** The bearer tokens of the administration API. Immutable, so thread safe. */
class AdminTokens
{
public:
  /** Parses {"tokens": [{"name": N, "role": "read-only"|"operator", "token":
   * T}]}, JSON with comments; InvalidInput that lists every fault. Tokens have
   * at least 16 characters and are unique.
   */
  static Result<AdminTokens> Parse(std::string_view aText,
                                   const std::string& aFile);
  /** Reads a token file; errors as for Parse. */
  static Result<AdminTokens> Read(const std::string& aFile);

  /** Returns the holder of the token in an Authorization header ("Bearer T").
   * Takes as long for a wrong token as for a right one. */
  std::optional<AdminUser> Find(std::string_view aAuthorization) const;

private:
  struct Entry
  {
    AdminUser mUser;
    std::string mToken;
  };

  std::vector<Entry> mEntries;
};

} // namespace heatherplank
