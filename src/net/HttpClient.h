#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/net/Http.h"

namespace heatherplank {

/** HTTP/1.1 requests to one server, over a few kept connections; more at once
 * wait their turn. Nothing is retried: whether an unanswered request may be
 * sent again is the caller's decision.
 */
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
  /** Called once, on the client's executor. Unavailable: the request was never
   * written. Timeout: it was or may have been written, its effect is unknown.
   */
  using Done = std::function<void(Result<HttpResponse>)>;
  /** Identifies a request for Cancel. */
  using Ticket = std::uint64_t;

  static std::shared_ptr<HttpClient> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aServer,
    std::size_t aConnections);

  ~HttpClient();

  /** Sends a request; the answer, or the failure after aTimeout, goes to
   * aDone. Thread safe.
   */
  Ticket Send(HttpRequest aRequest, Duration aTimeout, Done aDone);

  /** Gives a request up: closes its connection, and aDone gets Timeout (or
   * Unavailable if it was not written yet). Nothing happens if it is done.
   * Thread safe.
   */
  void Cancel(Ticket aTicket);

private:
  struct Impl;
  explicit HttpClient(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace heatherplank
