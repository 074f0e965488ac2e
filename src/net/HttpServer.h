#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/net/Http.h"

namespace heatherplank {

/** A small HTTP/1.1 server on Beast. One handler receives all requests and
 * responds synchronously or later.
 */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
  /** Sends the response; callable once, from any thread. Destroying it uncalled
   * closes the connection without a response.
   */
  using Respond = std::function<void(HttpResponse)>;
  /** Called on the server's executor, one call at a time per connection. */
  using Handler = std::function<void(HttpRequest, Respond)>;

  /** Called for each request that can't be parsed, before the 400 response. */
  using OnMalformed = std::function<void()>;

  /** Binds and listens; port 0 selects a free port (see Local). Fails with
   * System if aListen can't be bound. aOnMalformed may be empty.
   */
  static Result<std::shared_ptr<HttpServer>> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aListen,
    Handler aHandler, OnMalformed aOnMalformed = {});

  ~HttpServer();

  /** The listening address, with the actual port. */
  Address Local() const;

  /** Stops accepting and closes idle connections. Thread safe. */
  void Stop();

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

/** Builds a response to aRequest, with keep-alive as in the request. */
HttpResponse MakeResponse(const HttpRequest& aRequest, http::status aStatus,
                          std::string_view aContentType, std::string aBody);

} // namespace heatherplank
