#include "src/store/HttpObjectStore.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "src/net/Endpoint.h"
#include "src/net/HttpServer.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

/** The platform's reply to a request. */
struct Reply
{
  unsigned mStatus = 200;
  std::string mEtag;
  std::string mBody;
  /** The connection is closed without a response. */
  bool mClosesConnection = false;
  /** The request never gets a response. */
  bool mNeverResponds = false;
};

template<typename T>
std::string Describe(const Result<T>& aResult)
{
  return aResult.has_value() ? "ok"
                             : std::string(ToString(aResult.error().mKind));
}

template<>
std::string Describe(const Result<std::optional<Object>>& aResult)
{
  if (!aResult.has_value()) {
    return std::string(ToString(aResult.error().mKind));
  }
  return aResult->has_value() ? "newer" : "none";
}

/** A platform that gives each request the same reply. */
class OneReplyPlatform
{
public:
  explicit OneReplyPlatform(Reply aReply)
    : mReply(std::move(aReply))
  {
    mServer = HttpServer::Make(
                mContext.get_executor(), ParseAddress("127.0.0.1:0").value(),
                [this](HttpRequest aRequest, HttpServer::Respond aRespond) {
                  Serve(std::move(aRequest), std::move(aRespond));
                })
                .value();
    HttpObjectStore::Options options;
    options.mTimeout = std::chrono::milliseconds(200);
    mStore.emplace(mContext.get_executor(), mServer->Local(), options);
  }

  ~OneReplyPlatform()
  {
    mServer->Stop();
    mPending.clear();
  }

  /** Runs until the call that aStart starts is done; describes its result. */
  template<typename T, typename Start>
  std::string Outcome(Start aStart)
  {
    std::optional<std::string> out;
    aStart(*mStore, [&](const Result<T>& aResult) { out = Describe(aResult); });
    while (!out) {
      mContext.run_one();
    }
    return *out;
  }

  void SetEra(const char* aEra) { mEra = aEra; }

  /** The last request received. */
  HttpRequest mLastRequest;

private:
  void Serve(HttpRequest aRequest, HttpServer::Respond aRespond)
  {
    mLastRequest = std::move(aRequest);
    if (mReply.mNeverResponds) {
      mPending.push_back(std::move(aRespond));
      return;
    }
    if (mReply.mClosesConnection) {
      return;
    }
    auto response =
      MakeResponse(mLastRequest, http::int_to_status(mReply.mStatus),
                   "application/json", mReply.mBody);
    if (!mReply.mEtag.empty()) {
      response.set(http::field::etag, mReply.mEtag);
    }
    if (!mEra.empty()) {
      response.set("Content-Era", mEra);
    }
    aRespond(std::move(response));
  }

  Reply mReply;
  /** The store's era in each reply; none if empty. */
  std::string mEra;
  boost::asio::io_context mContext;
  std::shared_ptr<HttpServer> mServer;
  std::optional<HttpObjectStore> mStore;
  std::vector<HttpServer::Respond> mPending;
};

using Names = std::vector<ObjectName>;
using Change = std::optional<Object>;

} // namespace

TEST_GROUP(HttpObjectStore){};

TEST(HttpObjectStore, MapsEachReplyToAnOutcome)
{
  struct Case
  {
    const char* mName;
    Reply mReply;
    const char* mGet;
    const char* mPut;
    const char* mWatch;
    const char* mList;
  };
  const Case cases[] = {
    { "success", { 200, "\"9\"", "[]" }, "ok", "ok", "newer", "ok" },
    { "no version",
      { 200, "", "[]" },
      "malformed",
      "timeout",
      "malformed",
      "ok" },
    { "garbage version",
      { 200, "\"x9\"", "{" },
      "malformed",
      "timeout",
      "malformed",
      "malformed" },
    { "version 0",
      { 200, "\"0\"", "[1]" },
      "malformed",
      "timeout",
      "malformed",
      "malformed" },
    { "watch ends",
      { 304, "", "" },
      "malformed",
      "malformed",
      "none",
      "malformed" },
    { "absent",
      { 404, "", "" },
      "not_found",
      "not_found",
      "not_found",
      "not_found" },
    { "conflict",
      { 409, "", "" },
      "conflict",
      "conflict",
      "conflict",
      "conflict" },
    { "lost race",
      { 412, "\"9\"", "" },
      "conflict",
      "conflict",
      "conflict",
      "conflict" },
    { "oversized",
      { 413, "", "" },
      "too_large",
      "too_large",
      "too_large",
      "too_large" },
    { "over the rate",
      { 429, "", "" },
      "unavailable",
      "unavailable",
      "unavailable",
      "unavailable" },
    { "outage",
      { 503, "", "" },
      "unavailable",
      "unavailable",
      "unavailable",
      "unavailable" },
    { "failure", { 500, "", "" }, "timeout", "timeout", "timeout", "timeout" },
    { "forbidden",
      { 403, "", "" },
      "forbidden",
      "forbidden",
      "forbidden",
      "forbidden" },
    { "unexpected status",
      { 302, "", "" },
      "malformed",
      "malformed",
      "malformed",
      "malformed" },
    { "lost response",
      { 200, "", "", true },
      "timeout",
      "timeout",
      "timeout",
      "timeout" },
    { "no response",
      { 200, "", "", false, true },
      "timeout",
      "timeout",
      "timeout",
      "timeout" },
    { "value above the size limit",
      { 200, "\"9\"", std::string(1000001, 'x') },
      "malformed",
      "ok",
      "malformed",
      "malformed" },
  };
  for (const auto& it : cases) {
    OneReplyPlatform platform(it.mReply);
    STRCMP_EQUAL_TEXT(it.mGet,
                      platform
                        .Outcome<Object>([](auto& aStore, auto aDone) {
                          aStore.Get("k", aDone);
                        })
                        .c_str(),
                      it.mName);
    STRCMP_EQUAL_TEXT(it.mPut,
                      platform
                        .Outcome<StoreVersion>([](auto& aStore, auto aDone) {
                          aStore.Put("k", "v", WriteCondition::Always(), aDone);
                        })
                        .c_str(),
                      it.mName);
    STRCMP_EQUAL_TEXT(it.mWatch,
                      platform
                        .Outcome<Change>([](auto& aStore, auto aDone) {
                          aStore.Watch("k", { 3 }, Duration(0), aDone);
                        })
                        .c_str(),
                      it.mName);
    STRCMP_EQUAL_TEXT(it.mList,
                      platform
                        .Outcome<Names>([](auto& aStore, auto aDone) {
                          aStore.List("k", aDone);
                        })
                        .c_str(),
                      it.mName);
  }
}

TEST(HttpObjectStore, EncodesKeysAndConditionsPerContract)
{
  OneReplyPlatform platform({ 200, "\"9\"", "[]" });
  platform.Outcome<StoreVersion>([](auto& aStore, auto aDone) {
    aStore.Put("a/b c%", "v", WriteCondition::IfVersion({ 7 }), aDone);
  });
  STRCMP_EQUAL("/v1/objects/a/b%20c%25",
               std::string(platform.mLastRequest.target()).c_str());
  STRCMP_EQUAL(
    "\"7\"", std::string(platform.mLastRequest[http::field::if_match]).c_str());
  platform.Outcome<StoreVersion>([](auto& aStore, auto aDone) {
    aStore.Delete("k", WriteCondition::IfAbsent(), aDone);
  });
  STRCMP_EQUAL(
    "*",
    std::string(platform.mLastRequest[http::field::if_none_match]).c_str());
  platform.Outcome<Change>([](auto& aStore, auto aDone) {
    aStore.Watch("k", { 4 }, std::chrono::seconds(20), aDone);
  });
  STRCMP_EQUAL("/v1/objects/k?after=4&wait_ms=20000",
               std::string(platform.mLastRequest.target()).c_str());
}

// Guards against a watcher that reverts to an older value: a stale replica of
// the platform responds to a watch with a version that the watcher has already
// seen.
TEST(HttpObjectStore, WatchIgnoresAStaleVersion)
{
  OneReplyPlatform platform({ 200, "\"9\"", "old" });
  for (std::uint64_t after : { 8, 9, 10 }) {
    auto outcome = platform.Outcome<Change>([&](auto& aStore, auto aDone) {
      aStore.Watch("k", { after }, Duration(0), aDone);
    });
    STRCMP_EQUAL(after < 9 ? "newer" : "none", outcome.c_str());
  }
}

TEST(HttpObjectStore, RejectsAnOversizedValueWithoutSendingIt)
{
  OneReplyPlatform platform({ 200, "\"9\"", "" });
  auto outcome = platform.Outcome<StoreVersion>([](auto& aStore, auto aDone) {
    aStore.Put("k", std::string(ObjectStore::kMaxObjectSize + 1, 'x'),
               WriteCondition::Always(), aDone);
  });
  STRCMP_EQUAL("too_large", outcome.c_str());
  CHECK_TRUE(platform.mLastRequest.target().empty());
}

// Guards against a reader that is set back, or a writer that overwrites another
// write, after the platform was restored from a copy and assigned revisions
// again.
TEST(HttpObjectStore, VersionsOfAnEarlierEraAreNotComparedByRevision)
{
  OneReplyPlatform platform({ 200, "\"9\"", "text" });
  auto watchAfter = [&](StoreVersion aAfter) {
    return platform.Outcome<Change>([&](auto& aStore, auto aDone) {
      aStore.Watch("k", aAfter, Duration(0), aDone);
    });
  };
  auto putIf = [&](StoreVersion aVersion) {
    return platform.Outcome<StoreVersion>([&](auto& aStore, auto aDone) {
      aStore.Put("k", "v", WriteCondition::IfVersion(aVersion), aDone);
    });
  };
  platform.SetEra("2");
  STRCMP_EQUAL("newer", watchAfter({ 40, 1 }).c_str());
  STRCMP_EQUAL("none", watchAfter({ 9, 2 }).c_str());
  STRCMP_EQUAL("conflict", putIf({ 9, 1 }).c_str());
  STRCMP_EQUAL("ok", putIf({ 9, 2 }).c_str());
  platform.SetEra("1");
  STRCMP_EQUAL("timeout", watchAfter({ 8, 2 }).c_str());
}
