#include <boost/asio/io_context.hpp>

#include "lab/Platform.h"
#include "src/net/HttpClient.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace heatherplank::lab;

TEST_GROUP(LabPlatform)
{
  boost::asio::io_context mContext;
  PlatformSpec mSpec;
  std::unique_ptr<Platform> mPlatform =
    Platform::Make(mContext.get_executor(), mSpec, 1).value();
  std::shared_ptr<HttpClient> mClient =
    HttpClient::Make(mContext.get_executor(), mPlatform->Local(), 2);

  static HttpRequest MakeRequest(http::verb aVerb, std::string_view aTarget,
                                 std::string_view aBody = {})
  {
    HttpRequest request(aVerb, std::string(aTarget), 11);
    request.set(http::field::host, "platform");
    request.body() = std::string(aBody);
    return request;
  }

  /** "STATUS ETAG BODY", or the error's kind. */
  std::string Call(HttpRequest aRequest)
  {
    std::string seen;
    mClient->Send(std::move(aRequest), std::chrono::seconds(5),
                  [&](const Result<HttpResponse>& aResult) {
                    seen = Describe(aResult);
                    mContext.stop();
                  });
    mContext.restart();
    mContext.run();
    return seen;
  }

  static std::string Describe(const Result<HttpResponse>& aResult)
  {
    if (!aResult) {
      return std::string(ToString(aResult.error().mKind));
    }
    return std::to_string(aResult->result_int()) + " " +
           std::string((*aResult)[http::field::etag]) + " " + aResult->body();
  }

  std::string Put(std::string_view aValue, http::field aCondition,
                  std::string_view aVersion)
  {
    auto request = MakeRequest(http::verb::put, "/v1/objects/a%2Fb", aValue);
    request.set(aCondition, std::string(aVersion));
    return Call(std::move(request));
  }

  std::string Get(std::string_view aTarget)
  {
    return Call(MakeRequest(http::verb::get, aTarget));
  }
};

TEST(LabPlatform, WritesOnlyWhereTheConditionHolds)
{
  STRCMP_EQUAL("404  ", Get("/v1/objects/a/b").c_str());
  STRCMP_EQUAL("412  ", Put("x", http::field::if_match, "\"1\"").c_str());
  STRCMP_EQUAL("200 \"1\" ", Put("x", http::field::if_none_match, "*").c_str());
  STRCMP_EQUAL("412 \"1\" ", Put("y", http::field::if_none_match, "*").c_str());
  STRCMP_EQUAL("200 \"2\" ", Put("y", http::field::if_match, "\"1\"").c_str());
  STRCMP_EQUAL("412 \"2\" ", Put("z", http::field::if_match, "\"1\"").c_str());
  STRCMP_EQUAL("200 \"2\" y", Get("/v1/objects/a/b").c_str());
  STRCMP_EQUAL("200  [{\"key\":\"a/b\",\"version\":2}]",
               Get("/v1/objects?prefix=a/").c_str());
  CHECK_EQUAL(3, mPlatform->Calls().at("conflict"));
}

TEST(LabPlatform, WatchesUntilAVersionComesOrTimeIsUp)
{
  Put("x", http::field::if_none_match, "*");
  STRCMP_EQUAL("200 \"1\" x",
               Get("/v1/objects/a/b?after=0&wait_ms=5000").c_str());
  STRCMP_EQUAL("304  ", Get("/v1/objects/a/b?after=1&wait_ms=20").c_str());
  std::string seen;
  mClient->Send(
    MakeRequest(http::verb::get, "/v1/objects/a/b?after=1&wait_ms=5000"),
    std::chrono::seconds(5),
    [&](const Result<HttpResponse>& aResult) { seen = Describe(aResult); });
  while (mPlatform->Calls().at("watch") < 3) {
    mContext.restart();
    mContext.run_one();
  }
  Put("y", http::field::if_match, "\"1\"");
  while (seen.empty()) {
    mContext.restart();
    mContext.run_one();
  }
  STRCMP_EQUAL("200 \"2\" y", seen.c_str());
}

// The answer to a write is lost after the write has taken effect: the writer
// sees a broken connection, and only a read tells that it did.
TEST(LabPlatform, LosesTheAnswerButNotTheWrite)
{
  mPlatform->LoseAnswers(1);
  STRCMP_EQUAL("timeout", Put("x", http::field::if_none_match, "*").c_str());
  STRCMP_EQUAL("200 \"1\" x", Get("/v1/objects/a/b").c_str());
}

TEST(LabPlatform, DoesNothingWhileItIsDown)
{
  mPlatform->SetDown(true);
  STRCMP_EQUAL("timeout", Put("x", http::field::if_none_match, "*").c_str());
  mPlatform->SetDown(false);
  STRCMP_EQUAL("404  ", Get("/v1/objects/a/b").c_str());
}

TEST(LabPlatform, RefusesWhatIsOverItsRate)
{
  mPlatform =
    Platform::Make(mContext.get_executor(), { 300, 2, {} }, 1).value();
  mClient = HttpClient::Make(mContext.get_executor(), mPlatform->Local(), 2);
  STRCMP_EQUAL("404  ", Get("/v1/objects/a/b").c_str());
  STRCMP_EQUAL("404  ", Get("/v1/objects/a/b").c_str());
  STRCMP_EQUAL("429  ", Get("/v1/objects/a/b").c_str());
}
