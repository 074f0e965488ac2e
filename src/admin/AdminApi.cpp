#include "src/admin/AdminApi.h"

#include <atomic>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include "src/admin/AdminHandlers.h"
#include "src/metrics/Metrics.h"

namespace heatherplank {

namespace {

HttpResponse Reject(const HttpRequest& aRequest, http::status aStatus,
                    std::string_view aReason, std::string_view aRemedy)
{
  std::string body = "{\"error\":\"";
  body.append(aReason)
    .append("\",\"remedy\":\"")
    .append(aRemedy)
    .append("\"}\n");
  return MakeResponse(aRequest, aStatus, "application/json", std::move(body));
}

} // namespace

struct AdminApi::Impl
{
  Impl(AdminTokens aTokens, ObjectStore& aStore, MetricsRegistry& aMetrics)
    : mTokens(std::move(aTokens))
    , mHandlers(aStore)
    , mMetrics(aMetrics)
  {
  }

  void CountRejection(std::string_view aReason)
  {
    std::string label = "reason=\"" + std::string(aReason) + "\"";
    mMetrics.GetCounter("admin_refused_total", label).Add();
  }

  void Serve(const HttpRequest& aRequest, const AdminUser& aUser,
             const HttpServer::Respond& aRespond)
  {
    aRespond(mHandlers.Serve(aRequest, aUser));
    --mPending;
  }

  AdminTokens mTokens;
  AdminHandlers mHandlers;
  MetricsRegistry& mMetrics;
  std::atomic<std::size_t> mPending{ 0 };
  /** Last, so that it is destroyed before the members that its tasks use. */
  boost::asio::thread_pool mThread{ 1 };
};

AdminApi::AdminApi(AdminTokens aTokens, ObjectStore& aStore,
                   MetricsRegistry& aMetrics)
  : mImpl(std::make_unique<Impl>(std::move(aTokens), aStore, aMetrics))
{
}

AdminApi::~AdminApi()
{
  mImpl->mThread.stop();
  mImpl->mThread.join();
}

void AdminApi::Handle(HttpRequest aRequest, HttpServer::Respond aRespond)
{
  auto user = mImpl->mTokens.Find(aRequest[http::field::authorization]);
  if (!user) {
    mImpl->CountRejection("token");
    auto response = Reject(aRequest, http::status::unauthorized, "token",
                           "send Authorization: Bearer TOKEN with a token of "
                           "the token file");
    response.set(http::field::www_authenticate, "Bearer");
    aRespond(std::move(response));
    return;
  }
  if (user->mRole != AdminRole::Operator && !AdminHandlers::IsRead(aRequest)) {
    mImpl->CountRejection("role");
    aRespond(Reject(aRequest, http::status::forbidden, "role",
                    "use a token with the role operator"));
    return;
  }
  if (++mImpl->mPending > kMaxPending) {
    --mImpl->mPending;
    mImpl->CountRejection("busy");
    auto response = Reject(aRequest, http::status::too_many_requests, "busy",
                           "try again in a second");
    response.set(http::field::retry_after, "1");
    aRespond(std::move(response));
    return;
  }
  mImpl->mMetrics.GetCounter("admin_requests_total").Add();
  boost::asio::post(
    mImpl->mThread,
    [impl = mImpl.get(), request = std::move(aRequest), user = std::move(*user),
     respond = std::move(aRespond)] { impl->Serve(request, user, respond); });
}

} // namespace heatherplank
