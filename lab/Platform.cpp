#include "lab/Platform.h"

#include <charconv>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "src/net/Endpoint.h"

namespace heatherplank::lab {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxValue = 1000000;
constexpr std::string_view kObjects = "/v1/objects";

/** The percent-decoded path and query of a request. */
struct Target
{
  std::string mPath;
  std::map<std::string, std::string> mQuery;
};

std::string Decode(std::string_view aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned code = 0;
    if (aText[i] == '%' && i + 2 < aText.size() &&
        std::from_chars(&aText[i + 1], &aText[i + 1] + 2, code, 16).ec ==
          std::errc()) {
      out.push_back(static_cast<char>(code));
      i += 2;
    } else {
      out.push_back(aText[i]);
    }
  }
  return out;
}

Target ParseTarget(std::string_view aTarget)
{
  Target target;
  auto mark = aTarget.find('?');
  target.mPath = Decode(aTarget.substr(0, mark));
  while (mark != std::string_view::npos) {
    aTarget.remove_prefix(mark + 1);
    mark = aTarget.find('&');
    auto pair = aTarget.substr(0, mark);
    auto equals = pair.find('=');
    if (equals != std::string_view::npos) {
      target.mQuery[Decode(pair.substr(0, equals))] =
        Decode(pair.substr(equals + 1));
    }
  }
  return target;
}

std::uint64_t ReadNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::string MakeTag(std::uint64_t aVersion)
{
  return "\"" + std::to_string(aVersion) + "\"";
}

HttpResponse Plain(const HttpRequest& aRequest, http::status aStatus)
{
  return MakeResponse(aRequest, aStatus, "application/octet-stream", "");
}

HttpResponse Tagged(const HttpRequest& aRequest, http::status aStatus,
                    std::uint64_t aVersion, std::string aBody = {})
{
  auto response = MakeResponse(aRequest, aStatus, "application/octet-stream",
                               std::move(aBody));
  response.set(http::field::etag, MakeTag(aVersion));
  return response;
}

} // namespace

Result<std::unique_ptr<Platform>> Platform::Make(
  const boost::asio::any_io_executor& aExecutor, const PlatformSpec& aSpec,
  std::uint64_t aSeed)
{
  std::unique_ptr<Platform> platform(new Platform(aExecutor, aSpec, aSeed));
  auto server = HttpServer::Make(
    aExecutor, *ParseAddress("127.0.0.1:0"),
    [self = platform.get()](const HttpRequest& aRequest,
                            const HttpServer::Respond& aRespond) {
      self->Handle(aRequest, aRespond);
    });
  if (!server) {
    return tl::unexpected(server.error());
  }
  platform->mServer = *server;
  return platform;
}

Platform::Platform(const boost::asio::any_io_executor& aExecutor,
                   const PlatformSpec& aSpec, std::uint64_t aSeed)
  : mExecutor(aExecutor)
  , mSpec(aSpec)
  , mRandom(aSeed)
{
}

Platform::~Platform()
{
  if (mServer) {
    mServer->Stop();
  }
}

void Platform::SetDown(bool aDown)
{
  mDown = aDown;
  if (aDown) {
    mWatches.clear();
  }
}

void Platform::Handle(const HttpRequest& aRequest,
                      const HttpServer::Respond& aRespond)
{
  if (mDown) {
    ++mCalls["down"];
    return;
  }
  auto target = ParseTarget(
    std::string_view(aRequest.target().data(), aRequest.target().size()));
  bool write = aRequest.method() != http::verb::get;
  if (OverLimit(write)) {
    ++mCalls["limited"];
    auto response = Plain(aRequest, http::status::too_many_requests);
    response.set(http::field::retry_after, "1");
    Later(aRespond, std::move(response));
    return;
  }
  if (target.mPath == kObjects && !write) {
    List(target.mQuery["prefix"], aRequest, aRespond);
    return;
  }
  if (!target.mPath.starts_with(std::string(kObjects) + "/")) {
    Later(aRespond, Plain(aRequest, http::status::not_found));
    return;
  }
  std::string key = target.mPath.substr(kObjects.size() + 1);
  if (write) {
    Write(key, aRequest, aRespond);
  } else if (target.mQuery.contains("after")) {
    BeginWatch(key, ReadNumber(target.mQuery["after"]),
               std::chrono::milliseconds(ReadNumber(target.mQuery["wait_ms"])),
               aRequest, aRespond);
  } else {
    Read(key, aRequest, aRespond);
  }
}

bool Platform::OverLimit(bool aWrite)
{
  auto now = std::chrono::steady_clock::now();
  if (now - mSecond >= std::chrono::seconds(1)) {
    mSecond = now;
    mReads = 0;
    mWrites = 0;
  }
  return aWrite ? ++mWrites > mSpec.mWritesPerSecond
                : ++mReads > mSpec.mReadsPerSecond;
}

void Platform::Read(const std::string& aKey, const HttpRequest& aRequest,
                    const HttpServer::Respond& aRespond)
{
  ++mCalls["get"];
  auto found = mObjects.find(aKey);
  if (found == mObjects.end()) {
    Later(aRespond, Plain(aRequest, http::status::not_found));
    return;
  }
  Later(aRespond, Tagged(aRequest, http::status::ok, found->second.mVersion,
                         found->second.mValue));
}

bool Platform::Allowed(const HttpRequest& aRequest) const
{
  auto path = ParseTarget(
    std::string_view(aRequest.target().data(), aRequest.target().size()));
  auto found = mObjects.find(path.mPath.substr(kObjects.size() + 1));
  bool exists = found != mObjects.end();
  if (aRequest.count(http::field::if_none_match) > 0 && exists) {
    return false;
  }
  if (aRequest.count(http::field::if_match) > 0) {
    return exists &&
           aRequest[http::field::if_match] == MakeTag(found->second.mVersion);
  }
  return true;
}

void Platform::Write(const std::string& aKey, const HttpRequest& aRequest,
                     const HttpServer::Respond& aRespond)
{
  bool remove = aRequest.method() == http::verb::delete_;
  ++mCalls[remove ? "delete" : "put"];
  auto found = mObjects.find(aKey);
  if (!Allowed(aRequest)) {
    ++mCalls["conflict"];
    auto status = http::status::precondition_failed;
    Later(aRespond, found == mObjects.end()
                      ? Plain(aRequest, status)
                      : Tagged(aRequest, status, found->second.mVersion));
    return;
  }
  if (remove && found == mObjects.end()) {
    Later(aRespond, Plain(aRequest, http::status::not_found));
    return;
  }
  if (aRequest.body().size() > kMaxValue) {
    Later(aRespond, Plain(aRequest, http::status::payload_too_large));
    return;
  }
  ++mVersion;
  if (remove) {
    mObjects.erase(found);
  } else {
    mObjects[aKey] = { aRequest.body(), mVersion };
    EndWatches(aKey);
  }
  if (std::uniform_real_distribution<>()(mRandom) < mLostShare) {
    ++mCalls["lost"];
    return;
  }
  Later(aRespond, Tagged(aRequest, http::status::ok, mVersion));
}

void Platform::List(const std::string& aPrefix, const HttpRequest& aRequest,
                    const HttpServer::Respond& aRespond)
{
  ++mCalls["list"];
  json::array names;
  for (auto it = mObjects.lower_bound(aPrefix);
       it != mObjects.end() && it->first.starts_with(aPrefix); ++it) {
    names.push_back(
      json::object{ { "key", it->first }, { "version", it->second.mVersion } });
  }
  Later(aRespond, MakeResponse(aRequest, http::status::ok, "application/json",
                               json::serialize(names)));
}

void Platform::BeginWatch(const std::string& aKey, std::uint64_t aAfter,
                          Duration aWait, const HttpRequest& aRequest,
                          const HttpServer::Respond& aRespond)
{
  ++mCalls["watch"];
  auto timer = std::make_unique<boost::asio::steady_timer>(mExecutor, aWait);
  auto id = ++mNextWatch;
  timer->async_wait([this, id](boost::system::error_code aEc) {
    auto found = mWatches.find(id);
    if (aEc || found == mWatches.end()) {
      return;
    }
    auto& watch = found->second;
    watch.mRespond(Plain(watch.mRequest, http::status::not_modified));
    mWatches.erase(found);
  });
  mWatches[id] = { aKey, aAfter, aRequest, aRespond, std::move(timer) };
  EndWatches(aKey);
}

void Platform::EndWatches(const std::string& aKey)
{
  auto found = mObjects.find(aKey);
  if (found == mObjects.end()) {
    return;
  }
  for (auto it = mWatches.begin(); it != mWatches.end();) {
    auto& watch = it->second;
    if (watch.mKey != aKey || watch.mAfter >= found->second.mVersion) {
      ++it;
      continue;
    }
    Later(watch.mRespond, Tagged(watch.mRequest, http::status::ok,
                                 found->second.mVersion, found->second.mValue));
    it = mWatches.erase(it);
  }
}

void Platform::Later(const HttpServer::Respond& aRespond,
                     HttpResponse aResponse)
{
  auto timer =
    std::make_shared<boost::asio::steady_timer>(mExecutor, mSpec.mDelay);
  timer->async_wait(
    [timer, aRespond, response = std::move(aResponse)](
      boost::system::error_code) mutable { aRespond(std::move(response)); });
}

} // namespace heatherplank::lab
