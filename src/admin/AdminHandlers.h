#pragma once

#include <memory>
#include <optional>
#include <string>

#include "src/admin/AdminTokens.h"
#include "src/config/ConfigurationStore.h"
#include "src/net/Http.h"
#include "src/store/SyncObjectStore.h"

namespace heatherplank {

/** What each path of the administration API does. Blocks on the platform; not
 * thread safe.
 */
class AdminHandlers
{
public:
  /** aStore outlives it. */
  explicit AdminHandlers(ObjectStore& aStore);

  /** Serves a request of a user who may make it. */
  HttpResponse Serve(const HttpRequest& aRequest, const AdminUser& aUser);

  /** True for requests that change nothing. Thread safe. */
  static bool IsRead(const HttpRequest& aRequest);

private:
  using Edit =
    std::function<Result<ConfigurationPtr>(const Configuration& aNewest)>;

  HttpResponse Check(const HttpRequest& aRequest) const;
  HttpResponse GetConfiguration(const HttpRequest& aRequest);
  HttpResponse PutConfiguration(const HttpRequest& aRequest,
                                const AdminUser& aUser);
  HttpResponse PutPolicy(const HttpRequest& aRequest, const AdminUser& aUser);
  HttpResponse ApplyEdit(const HttpRequest& aRequest, const AdminUser& aUser,
                         const Edit& aEdit);
  HttpResponse Commit(const HttpRequest& aRequest,
                      const ConfigurationChange& aChange);
  HttpResponse GetStatus(const HttpRequest& aRequest);
  HttpResponse GetReport(const HttpRequest& aRequest);

  SyncObjectStore mCalls;
  ConfigurationStore mConfigurations;
};

} // namespace heatherplank
