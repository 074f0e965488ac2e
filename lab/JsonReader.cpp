#include "lab/JsonReader.h"

namespace heatherplank::lab {

JsonReader::JsonReader(const boost::json::value& aFrom, std::string aWhere)
  : mFrom(aFrom.if_object())
  , mWhere(std::move(aWhere))
{
  if (!mFrom) {
    Complain("is not an object");
  }
}

const boost::json::value* JsonReader::Find(std::string_view aKey)
{
  mKnown.emplace(aKey);
  return mFrom ? mFrom->if_contains(aKey) : nullptr;
}

void JsonReader::Complain(std::string_view aMessage)
{
  if (mFault.empty()) {
    mFault = mWhere + ": " + std::string(aMessage);
  }
}

void JsonReader::Read(std::string_view aKey, std::string& aOut)
{
  const auto* found = Find(aKey);
  if (!found) {
    return;
  }
  if (!found->is_string()) {
    Complain(std::string(aKey) + " is not a string");
    return;
  }
  aOut = std::string(found->as_string());
}

void JsonReader::Read(std::string_view aKey, bool& aOut)
{
  const auto* found = Find(aKey);
  if (!found) {
    return;
  }
  if (!found->is_bool()) {
    Complain(std::string(aKey) + " is not true or false");
    return;
  }
  aOut = found->as_bool();
}

void JsonReader::Read(std::string_view aKey, double& aOut)
{
  const auto* found = Find(aKey);
  if (!found) {
    return;
  }
  boost::system::error_code ec;
  auto number = found->to_number<double>(ec);
  if (ec || number < 0) {
    Complain(std::string(aKey) + " is not a number from 0 up");
    return;
  }
  aOut = number;
}

void JsonReader::Read(std::string_view aKey, std::size_t& aOut)
{
  double number = static_cast<double>(aOut);
  Read(aKey, number);
  aOut = static_cast<std::size_t>(number);
}

void JsonReader::Read(std::string_view aKey, Duration& aOut)
{
  using Milliseconds = std::chrono::duration<double, std::milli>;
  double number = Milliseconds(aOut).count();
  Read(aKey, number);
  aOut = std::chrono::duration_cast<Duration>(Milliseconds(number));
}

std::string JsonReader::Fault() const
{
  if (!mFault.empty() || !mFrom) {
    return mFault;
  }
  for (const auto& it : *mFrom) {
    if (!mKnown.contains(std::string_view(it.key()))) {
      return mWhere + ": unknown key " + std::string(it.key());
    }
  }
  return {};
}

} // namespace heatherplank::lab
