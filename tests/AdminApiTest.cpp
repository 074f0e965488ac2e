#include "src/admin/AdminApi.h"

#include <fstream>
#include <future>
#include <iterator>
#include <string>

#include "src/metrics/Metrics.h"
#include "tests/FakeObjectStore.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

constexpr const char* kTokens = R"({"tokens": [
  {"name": "ana", "role": "operator", "token": "0123456789abcdef-ana"},
  {"name": "ben", "role": "read-only", "token": "0123456789abcdef-ben"}]})";
constexpr const char* kAna = "0123456789abcdef-ana";
constexpr const char* kBen = "0123456789abcdef-ben";

std::string Sample()
{
  std::ifstream in(HEATHERPLANK_SOURCE_DIR "/examples/lakeside.json");
  return { std::istreambuf_iterator<char>(in), {} };
}

} // namespace

TEST_GROUP(AdminApi)
{
  FakeObjectStore mStore;
  MetricsRegistry mMetrics;
  AdminApi mApi{ AdminTokens::Parse(kTokens, "tokens").value(), mStore,
                 mMetrics };

  HttpResponse Call(http::verb aVerb, const char* aPath, const char* aToken,
                    const std::string& aBody = "", const char* aIfMatch = "")
  {
    HttpRequest request(aVerb, aPath, 11);
    if (*aToken != '\0') {
      request.set(http::field::authorization, std::string("Bearer ") + aToken);
    }
    if (*aIfMatch != '\0') {
      request.set(http::field::if_match, aIfMatch);
    }
    request.body() = aBody;
    auto answer = std::make_shared<std::promise<HttpResponse>>();
    mApi.Handle(request, [answer](HttpResponse aResponse) {
      answer->set_value(std::move(aResponse));
    });
    return answer->get_future().get();
  }

  void Expect(unsigned aStatus, const char* aBody, const HttpResponse& aAnswer)
  {
    LONGS_EQUAL(aStatus, aAnswer.result_int());
    STRCMP_CONTAINS(aBody, aAnswer.body().c_str());
  }
};

TEST(AdminApi, RejectsAndCountsRequestsWithoutTokenOrRole)
{
  using enum http::verb;
  Expect(401, "\"token\"", Call(get, "/v1/config", ""));
  Expect(401, "\"token\"", Call(get, "/v1/config", "0123456789abcdef-anb"));
  Expect(401, "\"token\"", Call(get, "/v1/config", "0123456789abcdef"));
  Expect(403, "role operator", Call(put, "/v1/config", kBen, Sample()));
  Expect(403, "role operator", Call(delete_, "/v1/drains/x", kBen));
  LONGS_EQUAL(
    3, mMetrics.GetCounter("admin_refused_total", "reason=\"token\"").Value());
  LONGS_EQUAL(
    2, mMetrics.GetCounter("admin_refused_total", "reason=\"role\"").Value());
  CHECK_TRUE(mStore.mObjects.empty());
}

TEST(AdminApi, ServesTheOperatorCommands)
{
  using enum http::verb;
  Expect(404, "no configuration yet", Call(get, "/v1/config", kBen));
  Expect(400, "\"path\":\"data_centres\"", Call(post, "/v1/check", kBen, "{}"));
  Expect(400, "\"faults\"", Call(put, "/v1/config", kAna, "{"));
  Expect(200, "\"version\":1,\"author\":\"ana\"",
         Call(put, "/v1/config", kAna, Sample()));
  auto got = Call(get, "/v1/config", kBen);
  Expect(200, "\"version\":1,", got);
  STRCMP_EQUAL("\"1\"", std::string(got[http::field::etag]).c_str());
  Expect(200, "\"version\":2",
         Call(put, "/v1/policy", kAna, R"({"name": "random"})"));
  Expect(400, R"(use \"random\")",
         Call(put, "/v1/policy", kAna, R"({"name": "x"})"));
  Expect(200, "\"version\":3", Call(put, "/v1/drains/cover-desk-1", kAna));
  Expect(200, "\"drained_hosts\":[\"cover-desk-1\"]",
         Call(get, "/v1/config", kBen));
  Expect(200, "\"version\":4", Call(delete_, "/v1/drains/cover-desk-1", kAna));
  Expect(200, "two-choices", Call(get, "/v1/config?version=1", kBen));
  Expect(409, "not kept any more", Call(get, "/v1/config?version=99", kBen));
  Expect(409, "--if-version 4",
         Call(put, "/v1/policy", kAna, R"({"name": "rendezvous"})", "\"3\""));
  Expect(200, "\"accepted_version\":4", Call(get, "/v1/status", kBen));
  Expect(200, "\"policies\":[]", Call(get, "/v1/report", kBen));
  Expect(404, "docs/ADMIN.md", Call(get, "/v1/nothing", kBen));
}

TEST(AdminApi, TokenFileErrorsNameEachFault)
{
  auto faults = AdminTokens::Parse(
    R"({"tokens": [{"name": "a", "role": "root", "token": "short"},
        {"token": "0123456789abcdef"}]})",
    "tokens.json");
  std::string text = faults.error().Describe();
  STRCMP_CONTAINS("tokens.json: tokens[0].role: found \"root\"", text.c_str());
  STRCMP_CONTAINS("tokens[0].token: fewer than 16", text.c_str());
  STRCMP_CONTAINS("tokens[1].name: missing", text.c_str());
}
