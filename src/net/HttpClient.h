#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/net/Http.h"

namespace heatherplank {

/** Sends HTTP/1.1 requests to one server over a fixed number of keep-alive
 * connections. Requests beyond that are queued. Nothing is retried: the caller
 * decides whether a request without a response may be sent again.
 */
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
  /** Called once, on the client's executor. Unavailable: the request was not
   * written. Timeout: all or part of it may have been written, and its effect
   * is unknown.
   */
  using Done = std::function<void(Result<HttpResponse>)>;
  /** Identifies a request for Cancel. */
  using Ticket = std::uint64_t;

  static std::shared_ptr<HttpClient> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aServer,
    std::size_t aConnections);

  ~HttpClient();

  /** Sends a request. aDone receives the response, or an error at the latest
   * after aTimeout. Thread safe.
   */
  Ticket Send(HttpRequest aRequest, Duration aTimeout, Done aDone);

  /** Cancels a request: closes its connection, and its callback receives
   * Timeout, or Unavailable if nothing was written. No effect on a completed
   * request. Thread safe.
   */
  void Cancel(Ticket aTicket);

  /** Closes the connections that carry no request; the next requests open new
   * ones. Call it when a server did not respond in time over another
   * connection: idle ones may have gone silent too. Takes effect before
   * requests that are sent later. Thread safe. */
  void CloseIdleConnections();

private:
  struct Impl;
  explicit HttpClient(std::shared_ptr<Impl> aImpl);
  std::shared_ptr<Impl> mImpl;
};

} // namespace heatherplank
