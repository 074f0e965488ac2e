#pragma once

#include <memory>

#include "include/heatherplank/ObjectStore.h"
#include "src/admin/AdminTokens.h"
#include "src/net/HttpServer.h"

namespace heatherplank {

class MetricsRegistry;

/** The administration API: what the operator's commands do, over HTTP. Paths
 * and answers stand in docs/ADMIN.md. Its work blocks on the platform, so it
 * has a thread of its own and a short queue; what does not fit is refused.
 */
class AdminApi
{
public:
  /** Requests that may wait while one is served. */
  static constexpr std::size_t kMaxWaiting = 16;

  /** The path prefix to mount it at. */
  static constexpr const char* kPrefix = "/v1/";

  /** aStore and aMetrics outlive it. */
  AdminApi(AdminTokens aTokens, ObjectStore& aStore, MetricsRegistry& aMetrics);

  /** Waits for the request that is being served. */
  ~AdminApi();

  /** Serves a request. A missing or unknown token gets 401, a role that may
   * not do it 403; each refusal counts in admin_refused_total by reason.
   * Thread safe.
   */
  void Handle(HttpRequest aRequest, HttpServer::Respond aRespond);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
