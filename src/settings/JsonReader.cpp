#include "src/settings/JsonReader.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <limits>
#include <numeric>
#include <optional>
#include <utility>

#include <boost/json/serialize.hpp>

#include "src/settings/JsonText.h"

namespace heatherplank {

namespace json = boost::json;

namespace {

/** Longer values are truncated, so that a message stays one readable line. */
constexpr std::size_t kMaxShownBytes = 60;
/** Maximum edit distance of a known key suggested for an unknown one. */
constexpr std::size_t kMaxSuggestionDistance = 3;

std::string Show(const json::value& aValue)
{
  std::string text = json::serialize(aValue);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

/** Levenshtein distance. */
std::size_t EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      std::size_t substitute =
        diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substitute });
    }
  }
  return row.back();
}

template<typename Range>
std::string Join(const Range& aNames)
{
  std::string out;
  for (const auto& it : aNames) {
    out += out.empty() ? "" : ", ";
    out += it;
  }
  return out;
}

std::optional<std::int64_t> ToInteger(const json::value& aValue)
{
  if (aValue.is_int64()) {
    return aValue.get_int64();
  }
  if (aValue.is_uint64() &&
      aValue.get_uint64() <=
        std::uint64_t{ std::numeric_limits<std::int64_t>::max() }) {
    return static_cast<std::int64_t>(aValue.get_uint64());
  }
  return std::nullopt;
}

} // namespace

JsonFaults::JsonFaults(std::string aFile)
  : mFile(std::move(aFile))
{
}

void JsonFaults::Add(std::string aPath, std::string aFound, std::string aRemedy)
{
  mFaults.push_back(
    { std::move(aPath), std::move(aFound), std::move(aRemedy) });
}

std::string JsonFaults::Describe() const
{
  std::string out;
  for (const auto& it : mFaults) {
    out += out.empty() ? "" : "\n";
    out += mFile + ": " + (it.mPath.empty() ? "" : it.mPath + ": ") +
           it.mFound + "; " + it.mRemedy;
  }
  return out;
}

Error JsonFaults::ToError() const
{
  return { ErrorKind::InvalidInput, Describe(), "" };
}

JsonReader::JsonReader(const json::object& aObject, std::string aPath,
                       JsonFaults& aFaults)
  : mObject(&aObject)
  , mPath(std::move(aPath))
  , mFaults(&aFaults)
{
}

std::string JsonReader::PathOf(std::string_view aKey) const
{
  return mPath.empty() ? std::string(aKey) : mPath + "." + std::string(aKey);
}

void JsonReader::AddFault(std::string_view aKey, std::string aFound,
                          std::string aRemedy) const
{
  mFaults->Add(PathOf(aKey), std::move(aFound), std::move(aRemedy));
}

std::vector<std::string> JsonReader::Keys() const
{
  std::vector<std::string> out;
  out.reserve(mObject->size());
  for (const auto& it : *mObject) {
    out.emplace_back(it.key());
  }
  return out;
}

const json::value* JsonReader::Find(std::string_view aKey)
{
  mKnown.emplace(aKey);
  return mObject->if_contains(aKey);
}

const json::value* JsonReader::Require(std::string_view aKey)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    AddFault(aKey, "missing", "add the key");
  }
  return value;
}

void JsonReader::AddTypeFault(std::string_view aKey, const json::value& aValue,
                              std::string_view aExpected) const
{
  AddFault(aKey, "found " + Show(aValue), "give " + std::string(aExpected));
}

std::string JsonReader::RequiredString(std::string_view aKey)
{
  return Require(aKey) == nullptr ? "" : String(aKey, "");
}

std::string JsonReader::String(std::string_view aKey, std::string aFallback)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return aFallback;
  }
  if (!value->is_string() || value->get_string().empty()) {
    AddTypeFault(aKey, *value, "a string that is not empty");
    return aFallback;
  }
  return std::string(value->get_string());
}

std::string JsonReader::Choice(std::string_view aKey,
                               std::span<const std::string_view> aAllowed,
                               std::string aFallback)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return aFallback;
  }
  if (!value->is_string() ||
      std::ranges::find(aAllowed, std::string_view(value->get_string())) ==
        aAllowed.end()) {
    AddTypeFault(aKey, *value, "one of: " + Join(aAllowed));
    return aFallback;
  }
  return std::string(value->get_string());
}

bool JsonReader::Bool(std::string_view aKey, bool aFallback)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return aFallback;
  }
  if (!value->is_bool()) {
    AddTypeFault(aKey, *value, "true or false");
    return aFallback;
  }
  return value->get_bool();
}

std::int64_t JsonReader::Integer(std::string_view aKey, std::int64_t aMin,
                                 std::int64_t aMax, std::int64_t aFallback)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return aFallback;
  }
  auto number = ToInteger(*value);
  if (!number || *number < aMin || *number > aMax) {
    AddTypeFault(aKey, *value,
                 "a whole number from " + std::to_string(aMin) + " to " +
                   std::to_string(aMax));
    return aFallback;
  }
  return *number;
}

std::int64_t JsonReader::RequiredInteger(std::string_view aKey,
                                         std::int64_t aMin, std::int64_t aMax)
{
  return Require(aKey) == nullptr ? aMin : Integer(aKey, aMin, aMax, aMin);
}

double JsonReader::Number(std::string_view aKey, double aMin, double aMax,
                          double aFallback)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return aFallback;
  }
  double number = value->is_number() ? value->to_number<double>() : aMin - 1;
  if (!(number >= aMin && number <= aMax)) {
    AddTypeFault(aKey, *value,
                 "a number from " + json::serialize(json::value(aMin)) +
                   " to " + json::serialize(json::value(aMax)));
    return aFallback;
  }
  return number;
}

std::vector<std::string> JsonReader::Strings(std::string_view aKey)
{
  std::vector<std::string> out;
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return out;
  }
  if (!value->is_array()) {
    AddTypeFault(aKey, *value, "a list of strings");
    return out;
  }
  std::size_t n = 0;
  for (const auto& it : value->get_array()) {
    if (it.is_string() && !it.get_string().empty()) {
      out.emplace_back(it.get_string());
    } else {
      AddTypeFault(std::string(aKey) + "[" + std::to_string(n) + "]", it,
                   "a string that is not empty");
    }
    ++n;
  }
  return out;
}

bool JsonReader::Object(std::string_view aKey, const Visit& aVisit)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_object()) {
    AddTypeFault(aKey, *value, "an object");
    return false;
  }
  JsonReader reader(value->get_object(), PathOf(aKey), *mFaults);
  aVisit(reader);
  reader.Finish();
  return true;
}

void JsonReader::Objects(std::string_view aKey, const Visit& aVisit)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    AddTypeFault(aKey, *value, "a list of objects");
    return;
  }
  std::size_t n = 0;
  for (const auto& it : value->get_array()) {
    std::string key = std::string(aKey) + "[" + std::to_string(n++) + "]";
    if (!it.is_object()) {
      AddTypeFault(key, it, "an object");
      continue;
    }
    JsonReader reader(it.get_object(), PathOf(key), *mFaults);
    aVisit(reader);
    reader.Finish();
  }
}

void JsonReader::Finish()
{
  for (const auto& it : *mObject) {
    std::string_view key = it.key();
    if (mKnown.contains(key)) {
      continue;
    }
    auto nearest =
      std::ranges::min_element(mKnown, {}, [key](const std::string& aKnown) {
        return EditDistance(key, aKnown);
      });
    bool near = nearest != mKnown.end() &&
                EditDistance(key, *nearest) <= kMaxSuggestionDistance;
    AddFault(key, "unknown key",
             near ? "did you mean \"" + *nearest + "\"?"
                  : "remove it; known keys: " + Join(mKnown));
  }
}

void ReadJsonDocument(std::string_view aText, JsonFaults& aFaults,
                      const JsonReader::Visit& aVisit)
{
  auto value = ParseJsonText(aText, aFaults);
  if (!value) {
    return;
  }
  if (!value->is_object()) {
    aFaults.Add("", "found " + Show(*value), "give one object, {...}");
    return;
  }
  JsonReader reader(value->get_object(), "", aFaults);
  aVisit(reader);
  reader.Finish();
}

Result<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(in),
                    std::istreambuf_iterator<char>() };
  if (!in.is_open() || in.bad()) {
    return Fail(ErrorKind::InvalidInput,
                aPath + ": can't be read: " + std::strerror(errno),
                "give the path of a file that this user may read");
  }
  return text;
}

} // namespace heatherplank
