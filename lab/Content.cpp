#include "lab/Content.h"

#include <charconv>
#include <vector>

#include "include/heatherplank/Types.h"

namespace heatherplank::lab {

namespace {

/** Splits a text at each aAt. */
std::vector<std::string_view> Split(std::string_view aText, char aAt)
{
  std::vector<std::string_view> parts;
  while (true) {
    auto at = aText.find(aAt);
    parts.push_back(aText.substr(0, at));
    if (at == std::string_view::npos) {
      return parts;
    }
    aText.remove_prefix(at + 1);
  }
}

std::optional<std::size_t> ReadNumber(std::string_view aText)
{
  std::size_t number = 0;
  auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (ec != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::string MakeContent(const ContentSpec& aSpec)
{
  std::string line =
    aSpec.mService + "|" + aSpec.mRequestId + "|" + aSpec.mKey + "\n";
  std::uint64_t hash = HashBytes(line);
  std::string body = std::move(line);
  body.reserve(aSpec.mBytes);
  while (body.size() < aSpec.mBytes) {
    hash = MixHash(hash, body.size());
    body.push_back(static_cast<char>('a' + hash % 26));
  }
  return body;
}

ContentFault CheckContent(std::string_view aBody, const ContentSpec& aSpec)
{
  auto line = Split(aBody.substr(0, aBody.find('\n')), '|');
  if (line.size() != 3) {
    return ContentFault::WrongAnswer;
  }
  if (line[0] != aSpec.mService) {
    return ContentFault::WrongService;
  }
  ContentSpec spec = aSpec;
  if (!aSpec.mKey.empty()) {
    spec.mRequestId = std::string(line[1]);
  }
  return aBody == MakeContent(spec) ? ContentFault::None
                                    : ContentFault::WrongAnswer;
}

bool Reassembly::Add(std::string_view aContentRange, std::string_view aPart)
{
  constexpr std::string_view kUnit = "bytes ";
  if (!aContentRange.starts_with(kUnit)) {
    return false;
  }
  auto sides = Split(aContentRange.substr(kUnit.size()), '/');
  auto ends = Split(sides[0], '-');
  if (sides.size() != 2 || ends.size() != 2) {
    return false;
  }
  auto total = ReadNumber(sides[1]);
  auto first = ReadNumber(ends[0]);
  auto last = ReadNumber(ends[1]);
  if (!total || !first || !last || *last >= *total || *first > *last) {
    return false;
  }
  bool same = mParts.empty() || mTotal == *total;
  if (!same || *last - *first + 1 != aPart.size()) {
    return false;
  }
  mTotal = *total;
  auto& part = mParts[*first];
  if (part.size() < aPart.size()) {
    part = aPart;
  }
  return true;
}

std::optional<std::pair<std::size_t, std::size_t>> Reassembly::Missing() const
{
  std::size_t end = 0;
  for (const auto& [first, part] : mParts) {
    if (first > end) {
      return std::pair{ end, first - 1 };
    }
    end = std::max(end, first + part.size());
  }
  if (end < mTotal) {
    return std::pair{ end, mTotal - 1 };
  }
  return std::nullopt;
}

bool Reassembly::Whole() const
{
  return !mParts.empty() && !Missing();
}

std::string Reassembly::Take()
{
  std::string body;
  for (const auto& [first, part] : mParts) {
    if (first + part.size() > body.size()) {
      body.resize(first);
      body += part;
    }
  }
  mParts.clear();
  return body;
}

} // namespace heatherplank::lab
