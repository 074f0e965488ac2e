#include "src/base/EntryParser.h"

#include <algorithm>
#include <optional>

namespace heatherplank {

namespace json = boost::json;

namespace {

/** How much of an odd entry is reported. */
constexpr std::size_t kReportedLength = 160;

/** Reads a JSON text token by token, without a stack. Brackets of both kinds
 * count alike; the parser checks them. */
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : mText(aText)
  {
  }

  std::size_t Position() const { return mPosition; }
  bool IsAtEnd() const { return mPosition >= mText.size(); }
  char Current() const { return IsAtEnd() ? '\0' : mText[mPosition]; }

  void SkipSpace()
  {
    mPosition =
      std::min(mText.find_first_not_of(" \t\r\n", mPosition), mText.size());
  }

  /** Skips a character if it is the next one after space. */
  bool Skip(char aExpected)
  {
    SkipSpace();
    if (Current() != aExpected) {
      return false;
    }
    ++mPosition;
    return true;
  }

  /** Skips a string, whose first quote is next. */
  void SkipString()
  {
    ++mPosition;
    while (!IsAtEnd() && Current() != '"') {
      mPosition += Current() == '\\' ? 2 : 1;
    }
    mPosition = std::min(mPosition + 1, mText.size());
  }

  /** Skips one value; returns its text, empty if there is none. */
  std::string_view SkipValue()
  {
    SkipSpace();
    std::size_t begin = mPosition;
    std::size_t depth = 0;
    while (!IsAtEnd()) {
      char it = Current();
      bool isClosing = it == ']' || it == '}';
      if (depth == 0 && (isClosing || it == ',' || it == ':')) {
        break;
      }
      if (it == '"') {
        SkipString();
        continue;
      }
      depth += it == '[' || it == '{' ? 1 : 0;
      depth -= isClosing ? 1 : 0;
      ++mPosition;
    }
    return mText.substr(begin, mPosition - begin);
  }

private:
  std::string_view mText;
  std::size_t mPosition = 0;
};

json::value Parse(std::string_view aText, json::error_code& aError)
{
  return json::parse(json::string_view(aText.data(), aText.size()), aError);
}

/** Parses one value, if necessary without its deeply nested parts. */
std::optional<json::value> ParseValue(std::string_view aText,
                                      const OnOddEntry& aOnOdd)
{
  json::error_code ec;
  auto value = Parse(aText, ec);
  if (!ec) {
    return value;
  }
  aOnOdd(ec.message(), aText.substr(0, kReportedLength));
  value = Parse(ReplaceDeepValues(aText, kMaxEntryDepth), ec);
  return ec ? std::nullopt : std::optional(std::move(value));
}

/** Parses the entries of a list, whose text begins with a bracket. Leaves out
 * those that can't be parsed. */
json::array ParseList(std::string_view aText, const OnOddEntry& aOnOdd)
{
  json::array out;
  Scanner scanner(aText);
  scanner.Skip('[');
  do {
    auto text = scanner.SkipValue();
    if (auto value = text.empty() ? std::nullopt : ParseValue(text, aOnOdd)) {
      out.push_back(std::move(*value));
    }
  } while (scanner.Skip(','));
  return out;
}

/** Parses a member's value of the outermost object. */
std::optional<json::value> ParseMember(std::string_view aText,
                                       const OnOddEntry& aOnOdd)
{
  if (aText.front() == '[') {
    return json::value(ParseList(aText, aOnOdd));
  }
  return ParseValue(aText, aOnOdd);
}

std::optional<json::value> ParseObject(std::string_view aText,
                                       const OnOddEntry& aOnOdd)
{
  Scanner scanner(aText);
  if (!scanner.Skip('{')) {
    return std::nullopt;
  }
  json::object out;
  do {
    json::error_code ec;
    auto name = Parse(scanner.SkipValue(), ec);
    bool isNamed = !ec && name.is_string() && scanner.Skip(':');
    auto text = scanner.SkipValue();
    if (!isNamed || text.empty()) {
      return std::nullopt;
    }
    auto value = ParseMember(text, aOnOdd);
    if (!value) {
      return std::nullopt;
    }
    out[name.get_string()] = std::move(*value);
  } while (scanner.Skip(','));
  return scanner.Skip('}') ? std::optional(json::value(std::move(out)))
                           : std::nullopt;
}

} // namespace

std::string ReplaceDeepValues(std::string_view aText, std::size_t aMaxDepth)
{
  std::string out;
  std::size_t depth = 0;
  Scanner scanner(aText);
  while (!scanner.IsAtEnd()) {
    std::size_t begin = scanner.Position();
    char it = scanner.Current();
    if (it == '"') {
      scanner.SkipString();
    } else if ((it == '[' || it == '{') && depth == aMaxDepth) {
      scanner.SkipValue();
      out += "null";
      continue;
    } else {
      scanner.Skip(it);
      depth += it == '[' || it == '{' ? 1 : 0;
      depth -= (it == ']' || it == '}') && depth > 0 ? 1 : 0;
    }
    out += aText.substr(begin, scanner.Position() - begin);
  }
  return out;
}

json::value ParseWithOddEntries(std::string_view aText,
                                const OnOddEntry& aOnOdd,
                                json::error_code& aError)
{
  auto value = Parse(aText, aError);
  if (!aError) {
    return value;
  }
  if (auto object = ParseObject(aText, aOnOdd)) {
    aError = {};
    return std::move(*object);
  }
  return nullptr;
}

} // namespace heatherplank
