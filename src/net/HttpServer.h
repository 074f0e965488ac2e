#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/net/Http.h"

namespace heatherplank {

/** A small HTTP/1.1 server on Beast: each request goes to one handler, which
 * answers now or later.
 */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
  /** Sends the answer; callable once, from any thread. Dropping it closes the
   * connection without an answer.
   */
  using Respond = std::function<void(HttpResponse)>;
  /** Called on the server's executor, one at a time for a connection. */
  using Handler = std::function<void(HttpRequest, Respond)>;

  /** Called for each request that does not parse; it was answered with 400. */
  using Refused = std::function<void()>;

  /** Binds and listens at once; port 0 takes a free one (see Local). Fails with
   * System if the address can't be bound. aRefused may be empty.
   */
  static Result<std::shared_ptr<HttpServer>> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aListen,
    Handler aHandler, Refused aRefused = {});

  ~HttpServer();

  /** The address that it listens at, with the real port. */
  Address Local() const;

  /** Takes no new connection and closes the idle ones. Thread safe. */
  void Stop();

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

/** An answer to aRequest with this status, type and body, keep-alive as
 * asked.
 */
HttpResponse MakeResponse(const HttpRequest& aRequest, http::status aStatus,
                          std::string_view aContentType, std::string aBody);

} // namespace heatherplank
