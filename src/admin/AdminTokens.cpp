#include "src/admin/AdminTokens.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/settings/JsonReader.h"

namespace heatherplank {

namespace {

constexpr std::size_t kMinTokenBytes = 16;
constexpr std::array<std::string_view, 2> kRoles{ "read-only", "operator" };
constexpr std::string_view kScheme = "Bearer ";

/** Always compares every byte: if a comparison stopped at the first difference,
 * its duration would reveal how much of a guessed token is right. */
bool IsEqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  unsigned difference = aLeft.size() == aRight.size() ? 0 : 1;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    auto right = aRight.empty() ? '\0' : aRight[i % aRight.size()];
    difference |=
      static_cast<unsigned char>(aLeft[i]) ^ static_cast<unsigned char>(right);
  }
  return difference == 0;
}

} // namespace

Result<AdminTokens> AdminTokens::Parse(std::string_view aText,
                                       const std::string& aFile)
{
  AdminTokens out;
  JsonFaults faults(aFile);
  auto read = [&](JsonReader& aReader) {
    Entry entry;
    entry.mUser.mName = aReader.RequiredString("name");
    entry.mUser.mRole =
      aReader.Choice("role", kRoles, "read-only") == "operator"
        ? AdminRole::Operator
        : AdminRole::ReadOnly;
    entry.mToken = aReader.RequiredString("token");
    if (entry.mToken.size() < kMinTokenBytes) {
      aReader.AddFault("token", "fewer than 16 characters",
                       "use a random one, such as from `openssl rand -hex 32`");
    }
    if (std::ranges::find(out.mEntries, entry.mToken, &Entry::mToken) !=
        out.mEntries.end()) {
      aReader.AddFault("token", "is listed twice",
                       "give each name its own token");
    }
    out.mEntries.push_back(std::move(entry));
  };
  ReadJsonDocument(aText, faults, [&](JsonReader& aReader) {
    aReader.Objects("tokens", read);
  });
  if (!faults.IsEmpty()) {
    return tl::unexpected(faults.ToError());
  }
  return out;
}

Result<AdminTokens> AdminTokens::Read(const std::string& aFile)
{
  auto text = ReadFile(aFile);
  if (!text) {
    return tl::unexpected(text.error());
  }
  return Parse(*text, aFile);
}

std::optional<AdminUser> AdminTokens::Find(
  std::string_view aAuthorization) const
{
  std::optional<AdminUser> out;
  if (!aAuthorization.starts_with(kScheme)) {
    return out;
  }
  std::string_view token = aAuthorization.substr(kScheme.size());
  for (const auto& it : mEntries) {
    if (IsEqualConstantTime(token, it.mToken)) {
      out = it.mUser;
    }
  }
  return out;
}

} // namespace heatherplank
