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

/** The HTTP port for people and tools: /metrics (Prometheus), /metrics.json,
 * /healthz, /readyz, and what the process mounts besides. Thread safe once
 * started.
 */
class AdminServer
{
public:
  /** Says whether the process is ready, and if not, why. */
  using Readiness = std::function<Result<void>()>;

  AdminServer(MetricsRegistry& aMetrics, Readiness aReadiness);
  ~AdminServer();

  /** Answers requests whose path begins with aPrefix; the longest prefix
   * wins. Precondition: not started. */
  void Mount(std::string aPrefix, HttpServer::Handler aHandler);

  /** Mounts /fault/cut and /fault/heal for experiments with partitions.
   * Precondition: not started; aCuts outlives the server. */
  void MountFaults(CutList& aCuts);

  /** Listens, at each address that it is called with; System if the address
   * can't be bound. */
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
