#pragma once

#include <memory>
#include <optional>
#include <string>

#include "src/admin/AdminTokens.h"
#include "src/config/ConfigurationStore.h"
#include "src/net/Http.h"
#include "src/store/SyncObjectStore.h"

namespace heatherplank {

/** Request handlers of the administration API. Calls block on the platform. Not
 * thread safe.
 */
class AdminHandlers
{
public:
  /** aStore must outlive the handlers. */
  explicit AdminHandlers(ObjectStore& aStore);

  /** Serves a request. Precondition: aUser has the permission for it. */
  HttpResponse Serve(const HttpRequest& aRequest, const AdminUser& aUser);

  /** Returns true for requests that change nothing. Thread safe. */
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

  SyncObjectStore mStore;
  ConfigurationStore mConfigurations;
};

} // namespace heatherplank
