#include "src/admin/AdminHandlers.h"

#include <charconv>
#include <chrono>
#include <functional>
#include <random>
#include <string_view>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "src/config/ConfigurationEdit.h"
#include "src/config/ConfigurationParser.h"
#include "src/net/HttpServer.h"
#include "src/status/StatusReader.h"
#include "src/status/StatusView.h"

namespace heatherplank {

namespace json = boost::json;

namespace {

constexpr std::string_view kDrainsPrefix = "/v1/drains/";

http::status ToStatus(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::InvalidInput:
      return http::status::bad_request;
    case ErrorKind::TooLarge:
      return http::status::payload_too_large;
    case ErrorKind::NotFound:
      return http::status::not_found;
    case ErrorKind::Conflict:
      return http::status::conflict;
    case ErrorKind::Unavailable:
      return http::status::service_unavailable;
    case ErrorKind::Timeout:
      return http::status::gateway_timeout;
    default:
      return http::status::internal_server_error;
  }
}

HttpResponse MakeJsonResponse(const HttpRequest& aRequest, http::status aStatus,
                              const json::value& aValue)
{
  return MakeResponse(aRequest, aStatus, "application/json",
                      json::serialize(aValue) + "\n");
}

HttpResponse MakeErrorResponse(const HttpRequest& aRequest, const Error& aError)
{
  json::object out;
  out["error"] = ToString(aError.mKind);
  out["message"] = aError.mMessage;
  out["remedy"] = aError.mRemedy;
  auto response = MakeJsonResponse(aRequest, ToStatus(aError.mKind), out);
  if (aError.mKind == ErrorKind::Unavailable) {
    response.set(http::field::retry_after, "1");
  }
  return response;
}

json::object ToJson(const JsonFaults& aFaults)
{
  json::array list;
  for (const auto& it : aFaults.All()) {
    list.push_back({ { "path", it.mPath },
                     { "found", it.mFound },
                     { "remedy", it.mRemedy } });
  }
  json::object out;
  out["ok"] = aFaults.IsEmpty();
  out["faults"] = std::move(list);
  return out;
}

std::string_view PathOf(const HttpRequest& aRequest)
{
  std::string_view target = aRequest.target();
  return target.substr(0, target.find('?'));
}

/** Parses the N of "?version=N" or of an entity tag; nullopt if not a number.
 */
std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t out = 0;
  auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), out);
  bool whole = ec == std::errc() && end == aText.data() + aText.size();
  return whole ? std::optional(out) : std::nullopt;
}

std::optional<std::uint64_t> ParseIfMatch(const HttpRequest& aRequest)
{
  std::string_view tag = aRequest[http::field::if_match];
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  return ParseNumber(tag.substr(1, tag.size() - 2));
}

SyncObjectStore::Options MakeStoreOptions()
{
  SyncObjectStore::Options out;
  out.mSeed = std::random_device()();
  return out;
}

std::int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

AdminHandlers::AdminHandlers(ObjectStore& aStore)
  : mStore(aStore, MakeStoreOptions())
  , mConfigurations(mStore, ConfigurationStore::Options())
{
}

bool AdminHandlers::IsRead(const HttpRequest& aRequest)
{
  return aRequest.method() == http::verb::get ||
         PathOf(aRequest) == "/v1/check";
}

HttpResponse AdminHandlers::Serve(const HttpRequest& aRequest,
                                  const AdminUser& aUser)
{
  std::string_view path = PathOf(aRequest);
  auto verb = aRequest.method();
  if (path == "/v1/check" && verb == http::verb::post) {
    return Check(aRequest);
  }
  if (path == "/v1/config" && verb == http::verb::get) {
    return GetConfiguration(aRequest);
  }
  if (path == "/v1/config" && verb == http::verb::put) {
    return PutConfiguration(aRequest, aUser);
  }
  if (path == "/v1/policy" && verb == http::verb::put) {
    return PutPolicy(aRequest, aUser);
  }
  if (path.starts_with(kDrainsPrefix) &&
      (verb == http::verb::put || verb == http::verb::delete_)) {
    std::string host(path.substr(kDrainsPrefix.size()));
    return ApplyEdit(aRequest, aUser, [&](const Configuration& aNewest) {
      return WithDrain(aNewest, host, verb == http::verb::put);
    });
  }
  if (path == "/v1/status" && verb == http::verb::get) {
    return GetStatus(aRequest);
  }
  if (path == "/v1/report" && verb == http::verb::get) {
    return GetReport(aRequest);
  }
  return MakeErrorResponse(
    aRequest, { ErrorKind::NotFound,
                "no handler for " + std::string(path) + " with this method",
                "see docs/ADMIN.md" });
}

HttpResponse AdminHandlers::Check(const HttpRequest& aRequest) const
{
  JsonFaults faults("body");
  ParseConfiguration(aRequest.body(), 0, faults);
  return MakeJsonResponse(
    aRequest, faults.IsEmpty() ? http::status::ok : http::status::bad_request,
    ToJson(faults));
}

HttpResponse AdminHandlers::GetConfiguration(const HttpRequest& aRequest)
{
  std::string_view target = aRequest.target();
  static constexpr std::string_view kParameter = "?version=";
  auto at = target.find(kParameter);
  auto version = at == std::string_view::npos
                   ? std::nullopt
                   : ParseNumber(target.substr(at + kParameter.size()));
  auto newest = mConfigurations.Read();
  if (!newest) {
    return MakeErrorResponse(aRequest, newest.error());
  }
  if (!*newest) {
    return MakeErrorResponse(
      aRequest,
      { ErrorKind::NotFound, "no configuration yet", "PUT one to /v1/config" });
  }
  auto found =
    mConfigurations.FindBase(version.value_or(0), (*newest)->mConfiguration);
  if (!found) {
    return MakeErrorResponse(aRequest, found.error());
  }
  auto out =
    MakeJsonResponse(aRequest, http::status::ok, heatherplank::ToJson(**found));
  out.set(http::field::etag, "\"" + std::to_string((*found)->mVersion) + "\"");
  return out;
}

HttpResponse AdminHandlers::PutConfiguration(const HttpRequest& aRequest,
                                             const AdminUser& aUser)
{
  JsonFaults faults("body");
  auto desired = ParseConfiguration(aRequest.body(), 0, faults);
  if (!desired) {
    return MakeJsonResponse(aRequest, http::status::bad_request,
                            ToJson(faults));
  }
  auto newest = mConfigurations.Read();
  if (!newest) {
    return MakeErrorResponse(aRequest, newest.error());
  }
  auto base = mConfigurations.FindBase(
    desired->mVersion, *newest ? (*newest)->mConfiguration : nullptr);
  if (!base) {
    return MakeErrorResponse(aRequest, base.error());
  }
  return Commit(aRequest,
                { *base, desired, aUser.mName, ParseIfMatch(aRequest) });
}

HttpResponse AdminHandlers::PutPolicy(const HttpRequest& aRequest,
                                      const AdminUser& aUser)
{
  JsonFaults faults("body");
  std::string name;
  ReadJsonDocument(aRequest.body(), faults, [&](JsonReader& aReader) {
    name = aReader.RequiredString("name");
  });
  if (!faults.IsEmpty()) {
    return MakeJsonResponse(aRequest, http::status::bad_request,
                            ToJson(faults));
  }
  return ApplyEdit(aRequest, aUser, [&](const Configuration& aNewest) {
    return WithPolicy(aNewest, name);
  });
}

HttpResponse AdminHandlers::ApplyEdit(const HttpRequest& aRequest,
                                      const AdminUser& aUser, const Edit& aEdit)
{
  auto newest = mConfigurations.Read();
  if (!newest) {
    return MakeErrorResponse(aRequest, newest.error());
  }
  if (!*newest) {
    return MakeErrorResponse(
      aRequest,
      { ErrorKind::NotFound, "no configuration yet", "PUT one to /v1/config" });
  }
  ConfigurationPtr base = (*newest)->mConfiguration;
  auto desired = aEdit(*base);
  if (!desired) {
    return MakeErrorResponse(aRequest, desired.error());
  }
  return Commit(aRequest,
                { base, *desired, aUser.mName, ParseIfMatch(aRequest) });
}

HttpResponse AdminHandlers::Commit(const HttpRequest& aRequest,
                                   const ConfigurationChange& aChange)
{
  auto done = mConfigurations.Commit(aChange);
  if (!done) {
    return MakeErrorResponse(aRequest, done.error());
  }
  const auto& head = done->mStored.mHead;
  json::object out;
  out["version"] = head.mVersion;
  out["author"] = head.mAuthor;
  out["time_ms"] = head.mTimeMs;
  out["unchanged"] = done->mUnchanged;
  out["rebased"] = done->mMerged;
  return MakeJsonResponse(aRequest, http::status::ok, out);
}

HttpResponse AdminHandlers::GetStatus(const HttpRequest& aRequest)
{
  auto newest = mConfigurations.ReadNewestHead();
  if (!newest) {
    return MakeErrorResponse(aRequest, newest.error());
  }
  auto status = ReadStatusObjects(mStore);
  if (!status) {
    return MakeErrorResponse(aRequest, status.error());
  }
  return MakeJsonResponse(
    aRequest, http::status::ok,
    heatherplank::ToJson(MakeStatusView(*newest, *status, NowMs())));
}

HttpResponse AdminHandlers::GetReport(const HttpRequest& aRequest)
{
  auto newest = mConfigurations.Read();
  if (!newest) {
    return MakeErrorResponse(aRequest, newest.error());
  }
  auto status = ReadStatusObjects(mStore);
  if (!status) {
    return MakeErrorResponse(aRequest, status.error());
  }
  PolicyChoice policy;
  if (*newest) {
    policy = (*newest)->mConfiguration->mPolicy;
  }
  return MakeJsonResponse(aRequest, http::status::ok,
                          ReportToJson(*status, policy));
}

} // namespace heatherplank
