#pragma once

#include <memory>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/json.hpp>

#include "include/heatherplank/Types.h"
#include "review/standins/Record.h"
#include "src/net/HttpClient.h"

namespace heatherplank::review {

/** Another writer of pings. Its pings lack "Address" and "born", so they name
 * no host to use. */
class ForeignWriter
{
public:
  ForeignWriter(const boost::asio::any_io_executor& aExecutor,
                const Address& aControl, Record& aRecord, std::string aService)
    : mClient(HttpClient::Make(aExecutor, aControl, 1))
    , mRecord(aRecord)
    , mService(std::move(aService))
  {
  }

  void Ping()
  {
    boost::json::object body{ { "Service", mService }, { "Zone", "munster-a" },
                              { "Version", "v1" },     { "Slots", 2 },
                              { "State", "ready" },    { "ColdLeftMs", 0 },
                              { "Seq", ++mPings } };
    std::string text = boost::json::serialize(body);
    HttpRequest request(http::verb::put, "/api/instances/i-other", 11);
    request.set(http::field::host, "agent");
    request.set(http::field::content_type, "application/json");
    request.body() = text;
    request.prepare_payload();
    mRecord.Line("another writer sends PUT /api/instances/i-other " + text);
    mClient->Send(std::move(request), std::chrono::seconds(1),
                  [this](const Result<HttpResponse>& aAnswer) {
                    mRecord.Line("another writer has the answer " +
                                 (aAnswer
                                    ? std::to_string(aAnswer->result_int())
                                    : std::string("none")));
                  });
  }

private:
  std::shared_ptr<HttpClient> mClient;
  Record& mRecord;
  const std::string mService;
  int mPings = 0;
};

} // namespace heatherplank::review
