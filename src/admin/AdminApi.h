#pragma once

#include <memory>

#include "include/heatherplank/ObjectStore.h"
#include "src/admin/AdminTokens.h"
#include "src/net/HttpServer.h"

namespace heatherplank {

class MetricsRegistry;

/** The administration API: the operator's commands over HTTP. docs/ADMIN.md
 * lists paths and responses. Handlers block on the platform, so they run on a
 * dedicated thread with a short queue; further requests are rejected.
 */
class AdminApi
{
public:
  /** Maximum number of pending requests, including the one being served. */
  static constexpr std::size_t kMaxPending = 16;

  /** Path prefix under which the API is served. */
  static constexpr const char* kPrefix = "/v1/";

  /** aStore and aMetrics must outlive the API. */
  AdminApi(AdminTokens aTokens, ObjectStore& aStore, MetricsRegistry& aMetrics);

  /** Waits for the request that is being served. */
  ~AdminApi();

  /** Serves a request. Responds 401 to a missing or unknown token, 403 to a
   * role without permission and 429 if too many requests are pending; counts
   * each rejection in admin_refused_total by reason. Thread safe.
   */
  void Handle(HttpRequest aRequest, HttpServer::Respond aRespond);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
