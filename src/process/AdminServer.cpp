#include "src/process/AdminServer.h"

#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "src/metrics/Metrics.h"
#include "src/net/CutList.h"
#include "src/net/Endpoint.h"

namespace heatherplank {

namespace {

void SendResponse(const HttpRequest& aRequest,
                  const HttpServer::Respond& aRespond, http::status aStatus,
                  std::string aBody, std::string_view aType = "text/plain")
{
  aRespond(MakeResponse(aRequest, aStatus, aType, std::move(aBody)));
}

Result<std::vector<Address>> ReadAddresses(const std::string& aBody)
{
  boost::system::error_code ec;
  auto value = boost::json::parse(aBody, ec);
  const auto* object = ec ? nullptr : value.if_object();
  const auto* list = object ? object->if_contains("addresses") : nullptr;
  std::vector<Address> out;
  if (list == nullptr || !list->is_array()) {
    return Fail(ErrorKind::InvalidInput, "the body has no list \"addresses\"",
                "send {\"addresses\": [\"127.0.0.1:8080\"]}");
  }
  for (const auto& it : list->get_array()) {
    auto parsed = ParseAddress(it.is_string() ? it.get_string().c_str() : "");
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
    out.push_back(*parsed);
  }
  return out;
}

} // namespace

AdminServer::AdminServer(MetricsRegistry& aMetrics, Readiness aReadiness)
  : mMetrics(aMetrics)
  , mReadiness(std::move(aReadiness))
{
  Mount("/metrics", [this](const HttpRequest& aRequest,
                           const HttpServer::Respond& aRespond) {
    SendResponse(aRequest, aRespond, http::status::ok, mMetrics.ToPrometheus(),
                 "text/plain; version=0.0.4");
  });
  Mount("/metrics.json", [this](const HttpRequest& aRequest,
                                const HttpServer::Respond& aRespond) {
    SendResponse(aRequest, aRespond, http::status::ok, mMetrics.ToJson(),
                 "application/json");
  });
  Mount("/healthz",
        [](const HttpRequest& aRequest, const HttpServer::Respond& aRespond) {
          SendResponse(aRequest, aRespond, http::status::ok, "alive\n");
        });
  Mount("/readyz", [this](const HttpRequest& aRequest,
                          const HttpServer::Respond& aRespond) {
    auto ready = mReadiness();
    SendResponse(aRequest, aRespond,
                 ready ? http::status::ok : http::status::service_unavailable,
                 ready ? "ready\n" : ready.error().Describe() + "\n");
  });
}

AdminServer::~AdminServer() = default;

void AdminServer::Mount(std::string aPrefix, HttpServer::Handler aHandler)
{
  mMounts[std::move(aPrefix)] = std::move(aHandler);
}

void AdminServer::MountFaults(CutList& aCuts)
{
  Mount("/fault/cut", [&aCuts](const HttpRequest& aRequest,
                               const HttpServer::Respond& aRespond) {
    auto addresses = ReadAddresses(aRequest.body());
    if (!addresses) {
      SendResponse(aRequest, aRespond, http::status::bad_request,
                   addresses.error().Describe() + "\n");
      return;
    }
    aCuts.Set(*addresses);
    SendResponse(aRequest, aRespond, http::status::ok, "cut\n");
  });
  Mount("/fault/heal", [&aCuts](const HttpRequest& aRequest,
                                const HttpServer::Respond& aRespond) {
    aCuts.Set({});
    SendResponse(aRequest, aRespond, http::status::ok, "healed\n");
  });
}

Result<void> AdminServer::Start(const boost::asio::any_io_executor& aExecutor,
                                const Address& aListen)
{
  auto server = HttpServer::Make(
    aExecutor, aListen,
    [this](HttpRequest aRequest, HttpServer::Respond aRespond) {
      Handle(std::move(aRequest), std::move(aRespond));
    },
    [this] {
      mMetrics.GetCounter("admin_refused_total", "reason=\"malformed\"").Add();
    });
  if (!server) {
    return tl::unexpected(server.error());
  }
  mServers.push_back(*server);
  return {};
}

void AdminServer::Stop()
{
  for (const auto& it : mServers) {
    it->Stop();
  }
}

void AdminServer::Handle(HttpRequest aRequest,
                         HttpServer::Respond aRespond) const
{
  std::string path(aRequest.target());
  path = path.substr(0, path.find('?'));
  for (const auto& [prefix, handler] : mMounts) {
    if (path.starts_with(prefix)) {
      handler(std::move(aRequest), std::move(aRespond));
      return;
    }
  }
  SendResponse(aRequest, aRespond, http::status::not_found,
               "no such endpoint; see docs/ADMIN.md\n");
}

} // namespace heatherplank
