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

constexpr std::string_view kDrains = "/v1/drains/";

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

HttpResponse AnswerJson(const HttpRequest& aRequest, http::status aStatus,
                        const json::value& aValue)
{
  return MakeResponse(aRequest, aStatus, "application/json",
                      json::serialize(aValue) + "\n");
}

HttpResponse AnswerError(const HttpRequest& aRequest, const Error& aError)
{
  json::object out;
  out["error"] = ToString(aError.mKind);
  out["message"] = aError.mMessage;
  out["remedy"] = aError.mRemedy;
  auto response = AnswerJson(aRequest, ToStatus(aError.mKind), out);
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

/** The number N of "?version=N" or of the tag "N"; none if it is no number. */
std::optional<std::uint64_t> ToNumber(std::string_view aText)
{
  std::uint64_t out = 0;
  auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), out);
  bool whole = ec == std::errc() && end == aText.data() + aText.size();
  return whole ? std::optional(out) : std::nullopt;
}

std::optional<std::uint64_t> IfMatch(const HttpRequest& aRequest)
{
  std::string_view tag = aRequest[http::field::if_match];
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  return ToNumber(tag.substr(1, tag.size() - 2));
}

SyncObjectStore::Options CallOptions()
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
  : mCalls(aStore, CallOptions())
  , mConfigurations(mCalls, ConfigurationStore::Options())
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
  if (path.starts_with(kDrains) &&
      (verb == http::verb::put || verb == http::verb::delete_)) {
    std::string host(path.substr(kDrains.size()));
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
  return AnswerError(aRequest, { ErrorKind::NotFound,
                                 "nothing is served at " + std::string(path) +
                                   " with this method",
                                 "see docs/ADMIN.md" });
}

HttpResponse AdminHandlers::Check(const HttpRequest& aRequest) const
{
  JsonFaults faults("body");
  ParseConfiguration(aRequest.body(), 0, faults);
  return AnswerJson(
    aRequest, faults.IsEmpty() ? http::status::ok : http::status::bad_request,
    ToJson(faults));
}

HttpResponse AdminHandlers::GetConfiguration(const HttpRequest& aRequest)
{
  std::string_view target = aRequest.target();
  static constexpr std::string_view kVersion = "?version=";
  auto at = target.find(kVersion);
  auto wanted = at == std::string_view::npos
                  ? std::nullopt
                  : ToNumber(target.substr(at + kVersion.size()));
  auto newest = mConfigurations.Read();
  if (!newest) {
    return AnswerError(aRequest, newest.error());
  }
  if (!*newest) {
    return AnswerError(aRequest, { ErrorKind::NotFound, "no configuration yet",
                                   "PUT one to /v1/config" });
  }
  auto found =
    mConfigurations.FindBase(wanted.value_or(0), (*newest)->mConfiguration);
  if (!found) {
    return AnswerError(aRequest, found.error());
  }
  auto out =
    AnswerJson(aRequest, http::status::ok, heatherplank::ToJson(**found));
  out.set(http::field::etag, "\"" + std::to_string((*found)->mVersion) + "\"");
  return out;
}

HttpResponse AdminHandlers::PutConfiguration(const HttpRequest& aRequest,
                                             const AdminUser& aUser)
{
  JsonFaults faults("body");
  auto wanted = ParseConfiguration(aRequest.body(), 0, faults);
  if (!wanted) {
    return AnswerJson(aRequest, http::status::bad_request, ToJson(faults));
  }
  auto newest = mConfigurations.Read();
  if (!newest) {
    return AnswerError(aRequest, newest.error());
  }
  auto base = mConfigurations.FindBase(
    wanted->mVersion, *newest ? (*newest)->mConfiguration : nullptr);
  if (!base) {
    return AnswerError(aRequest, base.error());
  }
  return Commit(aRequest, { *base, wanted, aUser.mName, IfMatch(aRequest) });
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
    return AnswerJson(aRequest, http::status::bad_request, ToJson(faults));
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
    return AnswerError(aRequest, newest.error());
  }
  if (!*newest) {
    return AnswerError(aRequest, { ErrorKind::NotFound, "no configuration yet",
                                   "PUT one to /v1/config" });
  }
  ConfigurationPtr base = (*newest)->mConfiguration;
  auto wanted = aEdit(*base);
  if (!wanted) {
    return AnswerError(aRequest, wanted.error());
  }
  return Commit(aRequest, { base, *wanted, aUser.mName, IfMatch(aRequest) });
}

HttpResponse AdminHandlers::Commit(const HttpRequest& aRequest,
                                   const ConfigurationChange& aChange)
{
  auto done = mConfigurations.Commit(aChange);
  if (!done) {
    return AnswerError(aRequest, done.error());
  }
  const auto& head = done->mStored.mHead;
  json::object out;
  out["version"] = head.mVersion;
  out["author"] = head.mAuthor;
  out["time_ms"] = head.mTimeMs;
  out["unchanged"] = done->mUnchanged;
  out["rebased"] = done->mRebased;
  return AnswerJson(aRequest, http::status::ok, out);
}

HttpResponse AdminHandlers::GetStatus(const HttpRequest& aRequest)
{
  auto newest = mConfigurations.ReadNewestHead();
  if (!newest) {
    return AnswerError(aRequest, newest.error());
  }
  auto status = ReadStatusObjects(mCalls);
  if (!status) {
    return AnswerError(aRequest, status.error());
  }
  return AnswerJson(
    aRequest, http::status::ok,
    heatherplank::ToJson(MakeStatusView(*newest, *status, NowMs())));
}

HttpResponse AdminHandlers::GetReport(const HttpRequest& aRequest)
{
  auto newest = mConfigurations.Read();
  if (!newest) {
    return AnswerError(aRequest, newest.error());
  }
  auto status = ReadStatusObjects(mCalls);
  if (!status) {
    return AnswerError(aRequest, status.error());
  }
  PolicyChoice policy;
  if (*newest) {
    policy = (*newest)->mConfiguration->mPolicy;
  }
  return AnswerJson(aRequest, http::status::ok, ReportToJson(*status, policy));
}

} // namespace heatherplank
