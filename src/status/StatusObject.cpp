#include "src/status/StatusObject.h"

#include <limits>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

namespace heatherplank {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

json::object ToJson(const ProcessStatus& aProcess)
{
  json::object out;
  out["name"] = aProcess.mName;
  out["role"] = aProcess.mRole;
  out["data_centre"] = aProcess.mDataCentre;
  out["version"] = aProcess.mVersion;
  out["since_ms"] = aProcess.mInForceSinceMs;
  out["seen_ms"] = aProcess.mLastReportMs;
  if (!aProcess.mAdmin.empty()) {
    out["admin"] = aProcess.mAdmin;
  }
  return out;
}

ProcessStatus ReadProcess(JsonReader& aReader)
{
  ProcessStatus out;
  out.mName = aReader.RequiredString("name");
  out.mRole = aReader.RequiredString("role");
  out.mDataCentre = aReader.RequiredString("data_centre");
  out.mVersion = static_cast<std::uint64_t>(
    aReader.RequiredInteger("version", 0, kMaxInteger));
  out.mInForceSinceMs = aReader.RequiredInteger("since_ms", 0, kMaxInteger);
  out.mLastReportMs = aReader.RequiredInteger("seen_ms", 0, kMaxInteger);
  out.mAdmin = aReader.String("admin", "");
  return out;
}

void ReadStatus(JsonReader& aReader, StatusObject& aOut)
{
  aReader.Objects("processes", [&](JsonReader& aPart) {
    ProcessStatus process = ReadProcess(aPart);
    aOut.mProcesses[process.mName] = process;
  });
  aReader.Objects("policies", [&](JsonReader& aPart) {
    PolicyFigures figures = ReadPolicyFigures(aPart);
    aOut.mFigures[figures.mName] = figures;
  });
  aOut.mWrites = aReader.Strings("writes");
}

} // namespace

std::string StatusKey(std::string_view aDataCentre, std::uint32_t aShard)
{
  return std::string(kStatusPrefix) + std::string(aDataCentre) + "/" +
         std::to_string(aShard);
}

std::string SerializeStatus(const StatusObject& aStatus)
{
  json::array processes;
  for (const auto& it : aStatus.mProcesses) {
    processes.push_back(ToJson(it.second));
  }
  json::array policies;
  for (const auto& it : aStatus.mFigures) {
    policies.push_back(ToJson(it.second));
  }
  json::object out;
  out["processes"] = std::move(processes);
  out["policies"] = std::move(policies);
  out["writes"] = json::value_from(aStatus.mWrites);
  return json::serialize(out);
}

Result<StatusObject> ParseStatus(std::string_view aText)
{
  StatusObject out;
  JsonFaults faults("a status object");
  ReadJsonDocument(aText, faults,
                   [&](JsonReader& aReader) { ReadStatus(aReader, out); });
  if (faults.IsEmpty()) {
    return out;
  }
  return Fail(ErrorKind::Malformed, faults.Describe(),
              "make sure that only heatherplank writes keys below status/");
}

} // namespace heatherplank
