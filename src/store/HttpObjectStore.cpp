#include "src/store/HttpObjectStore.h"

#include <atomic>
#include <cctype>
#include <charconv>
#include <utility>

#include <boost/json/parse.hpp>

namespace heatherplank {

namespace json = boost::json;

namespace {

constexpr std::string_view kObjectsPath = "/v1/objects/";
/** The store's era (StoreVersion), in each response of a store that has one. */
constexpr std::string_view kEraHeader = "Content-Era";

/** Percent-encodes a key except for slashes, as the contract specifies. */
std::string EncodeKey(std::string_view aKey)
{
  static constexpr std::string_view kHex = "0123456789ABCDEF";
  static constexpr std::string_view kUnreserved = "-._~/";
  std::string out;
  for (char it : aKey) {
    auto c = static_cast<unsigned char>(it);
    if (std::isalnum(c) != 0 ||
        kUnreserved.find(it) != std::string_view::npos) {
      out += it;
      continue;
    }
    out += '%';
    out += kHex[c >> 4U];
    out += kHex[c & 15U];
  }
  return out;
}

HttpRequest MakeRequest(http::verb aVerb, const std::string& aTarget)
{
  HttpRequest request(aVerb, aTarget, 11);
  request.set(http::field::host, "platform");
  return request;
}

void SetCondition(HttpRequest& aRequest, const WriteCondition& aCondition)
{
  if (aCondition.mKind == WriteCondition::Kind::IfAbsent) {
    aRequest.set(http::field::if_none_match, "*");
  }
  if (aCondition.mKind == WriteCondition::Kind::IfVersion) {
    aRequest.set(http::field::if_match,
                 "\"" + std::to_string(aCondition.mVersion.mRevision) + "\"");
  }
}

std::uint64_t EraOf(const HttpResponse& aResponse)
{
  std::string_view text = aResponse[kEraHeader];
  std::uint64_t era = 0;
  const char* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, era);
  return parsed.ec == std::errc() && parsed.ptr == end ? era : 0;
}

/** Parses the version in a response: its era, and its ETag, a quoted number. */
std::optional<StoreVersion> VersionOf(const HttpResponse& aResponse)
{
  std::string_view tag = aResponse[http::field::etag];
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  tag = tag.substr(1, tag.size() - 2);
  std::uint64_t revision = 0;
  auto [end, ec] =
    std::from_chars(tag.data(), tag.data() + tag.size(), revision);
  if (ec != std::errc() || end != tag.data() + tag.size() || revision == 0) {
    return std::nullopt;
  }
  return StoreVersion{ revision, EraOf(aResponse) };
}

tl::unexpected<Error> MalformedResponse(const std::string& aDefect)
{
  return Fail(ErrorKind::Malformed, "the platform's response " + aDefect,
              "check that --platform is the address of the object API");
}

/** Maps a status other than success to an error. A 5xx other than 503 may come
 * from a server that failed after the write took effect, so its effect is
 * unknown; by contract, 429 and 503 mean that nothing was done.
 */
tl::unexpected<Error> ErrorFromStatus(const HttpResponse& aResponse,
                                      std::string_view aKey)
{
  std::string status = std::to_string(aResponse.result_int());
  std::string key(aKey);
  switch (aResponse.result_int()) {
    case 404:
      return Fail(ErrorKind::NotFound, "object " + key + " not found",
                  "write it first, or check the key");
    case 409:
    case 412:
      return Fail(ErrorKind::Conflict, "the version of " + key + " has changed",
                  "read it again and reapply the change");
    case 401:
    case 403:
      return Fail(ErrorKind::Forbidden, "the platform denies access to " + key,
                  "grant this process access to it");
    case 413:
      return Fail(ErrorKind::TooLarge, key + " is too large for the platform",
                  "split the value");
    case 429:
    case 503:
      return Fail(ErrorKind::Unavailable,
                  "the platform rejected the request: HTTP " + status,
                  "try again later");
    default:
      break;
  }
  if (aResponse.result_int() >= 500) {
    return Fail(
      ErrorKind::Timeout, "the platform failed: HTTP " + status,
      "the write may have taken effect; read it back before retrying");
  }
  return MalformedResponse("has the unexpected status " + status);
}

Result<Object> ToObject(const HttpResponse& aResponse, std::string_view aKey)
{
  if (aResponse.result() != http::status::ok) {
    return ErrorFromStatus(aResponse, aKey);
  }
  auto version = VersionOf(aResponse);
  if (!version) {
    return MalformedResponse("has no valid version of " + std::string(aKey));
  }
  if (aResponse.body().size() > ObjectStore::kMaxObjectSize) {
    return MalformedResponse("is larger than an object may be");
  }
  return Object{ std::string(aKey), aResponse.body(), *version };
}

/** Returns the version that a write produced. A success without a version does
 * not prove what was done, so the write's effect is unknown. */
Result<StoreVersion> ToVersion(const HttpResponse& aResponse,
                               std::string_view aKey)
{
  if (aResponse.result() != http::status::ok) {
    return ErrorFromStatus(aResponse, aKey);
  }
  auto version = VersionOf(aResponse);
  if (!version) {
    return Fail(
      ErrorKind::Timeout,
      "the platform returned no version for " + std::string(aKey),
      "the write may have taken effect; read it back before retrying");
  }
  return *version;
}

/** Returns the object of a watch's response, or nullopt if nothing is newer:
 * the status is 304, or a stale replica returned a version that is not above
 * aAfter and would set the reader back.
 */
Result<std::optional<Object>> ToChange(const HttpResponse& aResponse,
                                       std::string_view aKey,
                                       StoreVersion aAfter)
{
  if (aResponse.result() == http::status::not_modified) {
    return std::optional<Object>();
  }
  auto object = ToObject(aResponse, aKey);
  if (!object) {
    return tl::unexpected(object.error());
  }
  if (object->mVersion <= aAfter) {
    return std::optional<Object>();
  }
  return std::optional<Object>(std::move(*object));
}

std::optional<ObjectName> ToName(const json::value& aValue, std::uint64_t aEra)
{
  const auto* entry = aValue.if_object();
  const auto* key = entry != nullptr ? entry->if_contains("key") : nullptr;
  const auto* version =
    entry != nullptr ? entry->if_contains("version") : nullptr;
  if (key == nullptr || !key->is_string() || version == nullptr ||
      !version->is_int64() || version->get_int64() <= 0) {
    return std::nullopt;
  }
  return ObjectName{ std::string(key->get_string()),
                     { static_cast<std::uint64_t>(version->get_int64()),
                       aEra } };
}

Result<std::vector<ObjectName>> ToNames(const HttpResponse& aResponse,
                                        std::string_view aPrefix)
{
  if (aResponse.result() != http::status::ok) {
    return ErrorFromStatus(aResponse, aPrefix);
  }
  json::error_code ec;
  auto value = json::parse(aResponse.body(), ec);
  if (ec || !value.is_array()) {
    return MalformedResponse("is not a JSON array");
  }
  std::vector<ObjectName> out;
  for (const auto& it : value.get_array()) {
    auto name = ToName(it, EraOf(aResponse));
    if (!name) {
      return MalformedResponse(
        "has a list entry without a valid key and version");
    }
    out.push_back(std::move(*name));
  }
  return out;
}

/** Wraps aDone: converts a response with aRead and passes errors through. A
 * response of an era below aNewestEra is an error; otherwise raises it. */
template<typename T, typename Read>
HttpClient::Done ConvertThen(
  std::shared_ptr<std::atomic<std::uint64_t>> aNewestEra,
  ObjectStore::Done<T> aDone, Read aRead)
{
  return [newest = std::move(aNewestEra), done = std::move(aDone),
          read = std::move(aRead)](const Result<HttpResponse>& aResult) {
    if (!aResult) {
      done(tl::unexpected(aResult.error()));
      return;
    }
    std::uint64_t era = EraOf(*aResult);
    std::uint64_t seen = newest->load();
    while (seen < era && !newest->compare_exchange_weak(seen, era)) {
    }
    if (era < seen) {
      done(Fail(ErrorKind::Timeout,
                "the platform was restored from a copy since this response",
                "read it back before retrying"));
      return;
    }
    done(read(*aResult));
  };
}

/** A condition on a version of an earlier era can't hold: its revision may
 * belong to another write by now. */
bool CanHold(const WriteCondition& aCondition, std::uint64_t aNewestEra)
{
  return aCondition.mKind != WriteCondition::Kind::IfVersion ||
         aCondition.mVersion.mEra == aNewestEra;
}

tl::unexpected<Error> ConditionOutdated(std::string_view aKey)
{
  return Fail(ErrorKind::Conflict,
              "the platform was restored from a copy since " +
                std::string(aKey) + " was read",
              "read it again and reapply the change");
}

} // namespace

HttpObjectStore::HttpObjectStore(const boost::asio::any_io_executor& aExecutor,
                                 const Address& aPlatform,
                                 const Options& aOptions)
  : mOptions(aOptions)
  , mCalls(HttpClient::Make(aExecutor, aPlatform, aOptions.mConnections))
  , mWatches(HttpClient::Make(aExecutor, aPlatform, aOptions.mWatches))
{
}

void HttpObjectStore::Get(std::string_view aKey, Done<Object> aDone)
{
  auto request =
    MakeRequest(http::verb::get, std::string(kObjectsPath) + EncodeKey(aKey));
  auto read = [key = std::string(aKey)](const HttpResponse& aResponse) {
    return ToObject(aResponse, key);
  };
  mCalls->Send(std::move(request), mOptions.mTimeout,
               ConvertThen<Object>(mNewestEra, std::move(aDone), read));
}

void HttpObjectStore::Put(std::string_view aKey, std::string aValue,
                          WriteCondition aCondition, Done<StoreVersion> aDone)
{
  if (aValue.size() > kMaxObjectSize) {
    aDone(Fail(ErrorKind::TooLarge,
               std::string(aKey) + " would hold " +
                 std::to_string(aValue.size()) + " bytes",
               "split it into objects of at most " +
                 std::to_string(kMaxObjectSize)));
    return;
  }
  if (!CanHold(aCondition, mNewestEra->load())) {
    aDone(ConditionOutdated(aKey));
    return;
  }
  auto request =
    MakeRequest(http::verb::put, std::string(kObjectsPath) + EncodeKey(aKey));
  SetCondition(request, aCondition);
  request.body() = std::move(aValue);
  auto read = [key = std::string(aKey)](const HttpResponse& aResponse) {
    return ToVersion(aResponse, key);
  };
  mCalls->Send(std::move(request), mOptions.mTimeout,
               ConvertThen<StoreVersion>(mNewestEra, std::move(aDone), read));
}

void HttpObjectStore::Delete(std::string_view aKey, WriteCondition aCondition,
                             Done<StoreVersion> aDone)
{
  if (!CanHold(aCondition, mNewestEra->load())) {
    aDone(ConditionOutdated(aKey));
    return;
  }
  auto request = MakeRequest(http::verb::delete_,
                             std::string(kObjectsPath) + EncodeKey(aKey));
  SetCondition(request, aCondition);
  auto read = [key = std::string(aKey)](const HttpResponse& aResponse) {
    return ToVersion(aResponse, key);
  };
  mCalls->Send(std::move(request), mOptions.mTimeout,
               ConvertThen<StoreVersion>(mNewestEra, std::move(aDone), read));
}

void HttpObjectStore::Watch(std::string_view aKey, StoreVersion aAfter,
                            Duration aWait, Done<std::optional<Object>> aDone)
{
  if (aAfter.IsKnown() && aAfter.mEra != mNewestEra->load()) {
    // The changes since aAfter can't be watched for; read the object instead.
    Get(aKey, [aAfter, done = std::move(aDone)](Result<Object> aObject) {
      done(std::move(aObject).map([&](Object&& aIt) {
        return aIt.mVersion > aAfter ? std::optional(std::move(aIt))
                                     : std::nullopt;
      }));
    });
    return;
  }
  auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(aWait);
  auto request = MakeRequest(http::verb::get,
                             std::string(kObjectsPath) + EncodeKey(aKey) +
                               "?after=" + std::to_string(aAfter.mRevision) +
                               "&wait_ms=" + std::to_string(wait.count()));
  auto read = [key = std::string(aKey), aAfter](const HttpResponse& aResponse) {
    return ToChange(aResponse, key, aAfter);
  };
  mWatches->Send(
    std::move(request), aWait + mOptions.mTimeout,
    ConvertThen<std::optional<Object>>(mNewestEra, std::move(aDone), read));
}

void HttpObjectStore::List(std::string_view aPrefix,
                           Done<std::vector<ObjectName>> aDone)
{
  auto request =
    MakeRequest(http::verb::get, "/v1/objects?prefix=" + EncodeKey(aPrefix));
  auto read = [prefix = std::string(aPrefix)](const HttpResponse& aResponse) {
    return ToNames(aResponse, prefix);
  };
  mCalls->Send(
    std::move(request), mOptions.mTimeout,
    ConvertThen<std::vector<ObjectName>>(mNewestEra, std::move(aDone), read));
}

} // namespace heatherplank
