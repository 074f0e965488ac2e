#include <algorithm>
#include <array>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include "src/config/ConfigurationParser.h"

namespace heatherplank {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 4> kImportances{ "low", "normal", "high",
                                                        "critical" };
/** A list or object is written on one line if it fits into this many bytes,
 * indentation included. */
constexpr std::size_t kMaxOneLineBytes = 72;

json::value ToJson(const ExpectedHost& aHost)
{
  return { { "name", aHost.mName },
           { "data_centre", aHost.mDataCentre },
           { "weight", aHost.mWeight } };
}

json::value ToJson(const Rule& aRule)
{
  json::object out;
  out["name"] = aRule.mName;
  if (!aRule.mMethod.empty()) {
    out["method"] = aRule.mMethod;
  }
  if (!aRule.mPathPrefix.empty()) {
    out["path_prefix"] = aRule.mPathPrefix;
  }
  out["importance"] = kImportances[static_cast<std::size_t>(aRule.mImportance)];
  out["never_repeat"] = aRule.mNeverRepeat;
  out["may_wait"] = aRule.mMayWait;
  out["deadline_ms"] =
    std::chrono::duration_cast<std::chrono::milliseconds>(aRule.mDeadline)
      .count();
  out["queue_limit"] = aRule.mQueueLimit;
  return out;
}

json::value ToJson(const PolicyChoice& aPolicy)
{
  return { { "name", aPolicy.mName },
           { "broken_flows_weight", aPolicy.mBrokenFlowsWeight },
           { "imbalance_weight", aPolicy.mImbalanceWeight } };
}

template<typename T>
json::array ToList(const std::vector<T>& aItems)
{
  json::array out;
  for (const auto& it : aItems) {
    out.push_back(ToJson(it));
  }
  return out;
}

void Print(const json::value& aValue, std::size_t aIndent, std::string& aOut);

void PrintItems(const json::object& aObject, const std::string& aPad,
                std::size_t aIndent, std::string& aOut)
{
  const char* separator = "\n";
  for (const auto& it : aObject) {
    aOut += separator + aPad + json::serialize(json::value(it.key())) + ": ";
    Print(it.value(), aIndent, aOut);
    separator = ",\n";
  }
}

void PrintItems(const json::array& aArray, const std::string& aPad,
                std::size_t aIndent, std::string& aOut)
{
  const char* separator = "\n";
  for (const auto& it : aArray) {
    aOut += separator + aPad;
    Print(it, aIndent, aOut);
    separator = ",\n";
  }
}

void Print(const json::value& aValue, std::size_t aIndent, std::string& aOut)
{
  std::string line = json::serialize(aValue);
  if (!aValue.is_structured() || line.size() + aIndent <= kMaxOneLineBytes) {
    aOut += line;
    return;
  }
  std::string pad(aIndent + 2, ' ');
  bool isObject = aValue.is_object();
  aOut += isObject ? "{" : "[";
  if (isObject) {
    PrintItems(aValue.get_object(), pad, aIndent + 2, aOut);
  } else {
    PrintItems(aValue.get_array(), pad, aIndent + 2, aOut);
  }
  aOut += "\n" + std::string(aIndent, ' ') + (isObject ? "}" : "]");
}

} // namespace

json::value ToJson(const Service& aService)
{
  json::array addresses;
  for (const auto& it : aService.mAddresses) {
    addresses.emplace_back(it.ToString());
  }
  return { { "name", aService.mName },
           { "addresses", std::move(addresses) },
           { "slots_per_host", aService.mSlotsPerHost },
           { "hosts", ToList(aService.mHosts) },
           { "rules", ToList(aService.mRules) } };
}

json::object GeneralToJson(const Configuration& aConfiguration)
{
  json::object out;
  out["data_centres"] = json::value_from(aConfiguration.mDataCentres);
  out["policy"] = ToJson(aConfiguration.mPolicy);
  out["drained_hosts"] = json::value_from(aConfiguration.mDrainedHosts);
  return out;
}

json::object ServicesToJson(std::vector<const Service*> aServices)
{
  std::ranges::sort(aServices, {}, &Service::mName);
  json::array list;
  for (const auto* it : aServices) {
    list.push_back(ToJson(*it));
  }
  json::object out;
  out["services"] = std::move(list);
  return out;
}

json::value ToJson(const Configuration& aConfiguration)
{
  std::vector<const Service*> services;
  for (const auto& it : aConfiguration.mServices) {
    services.push_back(&it.second);
  }
  json::object out;
  if (aConfiguration.mVersion != 0) {
    out["version"] = aConfiguration.mVersion;
  }
  json::object general = GeneralToJson(aConfiguration);
  out.insert(general.begin(), general.end());
  json::object list = ServicesToJson(std::move(services));
  out.insert(list.begin(), list.end());
  return out;
}

std::string ToPrettyText(const json::value& aValue)
{
  std::string out;
  Print(aValue, 0, out);
  return out + "\n";
}

} // namespace heatherplank
