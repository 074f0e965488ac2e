#include "src/config/ConfigurationHead.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <limits>
#include <optional>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include "src/settings/JsonReader.h"

namespace heatherplank {

namespace json = boost::json;

namespace {

constexpr std::size_t kHexDigits = 16;
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

std::string ToHex(std::uint64_t aValue)
{
  std::array<char, kHexDigits + 1> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx",
                static_cast<unsigned long long>(aValue));
  return buf.data();
}

std::optional<std::uint64_t> FromHex(std::string_view aText)
{
  std::uint64_t value = 0;
  auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value, 16);
  bool whole = ec == std::errc() && end == aText.data() + aText.size();
  return whole && aText.size() == kHexDigits ? std::optional(value)
                                             : std::nullopt;
}

/** WRITER-HASH, each in hexadecimal. */
std::string ToText(const PartRef& aPart)
{
  return ToHex(aPart.mWriter) + "-" + aPart.mHash.ToString();
}

std::optional<PartRef> FromText(std::string_view aText)
{
  if (aText.size() != 3 * kHexDigits + 1 || aText[kHexDigits] != '-') {
    return std::nullopt;
  }
  auto writer = FromHex(aText.substr(0, kHexDigits));
  auto high = FromHex(aText.substr(kHexDigits + 1, kHexDigits));
  auto low = FromHex(aText.substr(2 * kHexDigits + 1));
  if (!writer || !high || !low) {
    return std::nullopt;
  }
  return PartRef{ { *high, *low }, *writer };
}

void ReadHead(JsonReader& aReader, ConfigurationHead& aOut)
{
  aOut.mVersion = static_cast<std::uint64_t>(
    aReader.RequiredInteger("version", 1, kMaxInteger));
  aOut.mAuthor = aReader.RequiredString("author");
  aOut.mTimeMs = aReader.RequiredInteger("time_ms", 0, kMaxInteger);
  auto nonce = FromHex(aReader.RequiredString("nonce"));
  if (!nonce) {
    aReader.AddFault("nonce", "not 16 hexadecimal digits", "");
  }
  aOut.mNonce = nonce.value_or(0);
  for (const auto& it : aReader.Strings("parts")) {
    auto part = FromText(it);
    if (!part) {
      aReader.AddFault("parts", "found \"" + it + "\"", "");
      return;
    }
    aOut.mParts.push_back(*part);
  }
  if (aOut.mParts.size() < 2) {
    aReader.AddFault("parts", "fewer than two parts", "");
  }
}

} // namespace

std::string PartHash::ToString() const
{
  return ToHex(mHigh) + ToHex(mLow);
}

PartHash HashPart(std::string_view aBytes)
{
  auto hash = XXH3_128bits(aBytes.data(), aBytes.size());
  return { hash.high64, hash.low64 };
}

std::string config_keys::Part(const PartRef& aPart)
{
  return std::string(kParts) + ToText(aPart);
}

std::string config_keys::History(std::uint64_t aVersion)
{
  return std::string(kHistory) + std::to_string(aVersion);
}

std::string SerializeHead(const ConfigurationHead& aHead)
{
  json::array parts;
  for (const auto& it : aHead.mParts) {
    parts.emplace_back(ToText(it));
  }
  json::object out;
  out["version"] = aHead.mVersion;
  out["author"] = aHead.mAuthor;
  out["time_ms"] = aHead.mTimeMs;
  out["nonce"] = ToHex(aHead.mNonce);
  out["parts"] = std::move(parts);
  return json::serialize(out);
}

Result<ConfigurationHead> ParseHead(std::string_view aText)
{
  ConfigurationHead out;
  JsonFaults faults("the platform's configuration head");
  ReadJsonDocument(aText, faults,
                   [&](JsonReader& aReader) { ReadHead(aReader, out); });
  if (faults.IsEmpty()) {
    return out;
  }
  return Fail(ErrorKind::Malformed, faults.Describe(),
              "make sure that only heatherplank writes keys below config/");
}

std::string DescribeHead(const ConfigurationHead& aHead)
{
  std::time_t seconds = aHead.mTimeMs / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> buf{};
  std::strftime(buf.data(), buf.size(), "%Y-%m-%d %H:%M:%S UTC", &utc);
  return "version " + std::to_string(aHead.mVersion) + ", written by " +
         aHead.mAuthor + " at " + buf.data();
}

} // namespace heatherplank
