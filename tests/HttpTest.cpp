#include <boost/asio/io_context.hpp>

#include "src/net/Endpoint.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpServer.h"

#include <CppUTest/TestHarness.h>

using namespace heatherplank;

namespace {

HttpRequest MakeGet(std::string_view aTarget)
{
  HttpRequest request(http::verb::get, std::string(aTarget), 11);
  request.set(http::field::host, "test");
  return request;
}

} // namespace

TEST_GROUP(Http)
{
  boost::asio::io_context mContext;
  Address mAnyPort = ParseAddress("127.0.0.1:0").value();
};

TEST(Http, SeveralRequestsShareOneKeepAliveConnection)
{
  auto server =
    HttpServer::Make(
      mContext.get_executor(), mAnyPort,
      [](const HttpRequest& aRequest, const HttpServer::Respond& aRespond) {
        aRespond(MakeResponse(aRequest, http::status::ok, "text/plain",
                              std::string(aRequest.target())));
      })
      .value();
  auto client = HttpClient::Make(mContext.get_executor(), server->Local(), 1);
  std::string seen;
  int remaining = 3;
  for (const char* target : { "/a", "/b", "/c" }) {
    client->Send(MakeGet(target), std::chrono::seconds(5),
                 [&](Result<HttpResponse> aResult) {
                   seen += aResult.value().body();
                   if (--remaining == 0) {
                     server->Stop();
                     mContext.stop();
                   }
                 });
  }
  mContext.run();
  STRCMP_EQUAL("/a/b/c", seen.c_str());
}

TEST(Http, CancelDistinguishesUnwrittenFromUnknown)
{
  std::vector<HttpServer::Respond> pending;
  auto server =
    HttpServer::Make(mContext.get_executor(), mAnyPort,
                     [&](const HttpRequest&, HttpServer::Respond aRespond) {
                       pending.push_back(std::move(aRespond));
                     })
      .value();
  auto client = HttpClient::Make(mContext.get_executor(), server->Local(), 1);
  std::vector<ErrorKind> kinds;
  auto done = [&](Result<HttpResponse> aResult) {
    kinds.push_back(aResult.error().mKind);
    if (kinds.size() == 2) {
      mContext.stop();
    }
  };
  auto first = client->Send(MakeGet("/"), std::chrono::seconds(30), done);
  auto second = client->Send(MakeGet("/"), std::chrono::seconds(30), done);
  while (pending.empty()) {
    mContext.run_one();
  }
  client->Cancel(second);
  client->Cancel(first);
  mContext.run();
  pending.clear();
  CHECK_TRUE(kinds[0] == ErrorKind::Unavailable);
  CHECK_TRUE(kinds[1] == ErrorKind::Timeout);
}

TEST(Http, BindErrorNamesTheAddressInUse)
{
  auto handler = [](const HttpRequest&, const HttpServer::Respond&) {};
  auto first =
    HttpServer::Make(mContext.get_executor(), mAnyPort, handler).value();
  auto second =
    HttpServer::Make(mContext.get_executor(), first->Local(), handler);
  CHECK_FALSE(second.has_value());
  CHECK_TRUE(second.error().mMessage.find(first->Local().ToString()) !=
             std::string::npos);
}
