#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/net/HttpServer.h"

namespace heatherplank {

class CutList;
class MetricsRegistry;

/** The HTTP server for operators and monitoring: /metrics (Prometheus),
 * /metrics.json, /healthz, /readyz, and the handlers that the process mounts.
 * Thread safe once started.
 */
class AdminServer
{
public:
  /** Returns an error with the reason if the process is not ready. */
  using Readiness = std::function<Result<void>()>;

  AdminServer(MetricsRegistry& aMetrics, Readiness aReadiness);
  ~AdminServer();

  /** Routes requests whose path starts with aPrefix to aHandler. Prefixes are
   * tried in descending order, so the longest match wins. Precondition: not
   * started. */
  void Mount(std::string aPrefix, HttpServer::Handler aHandler);

  /** Mounts /fault/cut and /fault/heal, which simulate network partitions.
   * Preconditions: not started; aCuts outlives the server. */
  void MountFaults(CutList& aCuts);

  /** Listens at aListen; may be called for several addresses. Fails with System
   * if the address can't be bound. */
  Result<void> Start(const boost::asio::any_io_executor& aExecutor,
                     const Address& aListen);

  void Stop();

private:
  void Handle(HttpRequest aRequest, HttpServer::Respond aRespond) const;

  MetricsRegistry& mMetrics;
  Readiness mReadiness;
  std::map<std::string, HttpServer::Handler, std::greater<>> mMounts;
  std::vector<std::shared_ptr<HttpServer>> mServers;
};

} // namespace heatherplank
