#include "src/net/HttpServer.h"

#include <mutex>
#include <set>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "src/net/Endpoint.h"

namespace heatherplank {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::size_t kMaxHeader = 16384;
/** A platform value holds at most 1 MB; the rest is headroom. */
constexpr std::size_t kMaxBody = std::size_t{ 2 } * 1024 * 1024;
constexpr auto kIdleTimeout = std::chrono::seconds(90);

/** One connection. Pending operations own it. */
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(asio::ip::tcp::socket aSocket, HttpServer::Handler aHandler,
          HttpServer::OnMalformed aOnMalformed)
    : mStream(std::move(aSocket))
    , mHandler(std::move(aHandler))
    , mOnMalformed(std::move(aOnMalformed))
  {
  }

  void Run()
  {
    asio::dispatch(mStream.get_executor(),
                   [self = shared_from_this()] { self->Read(); });
  }

  /** Closes the connection now if it is idle, else after the current response.
   * Thread safe. */
  void CloseIfIdle()
  {
    asio::post(mStream.get_executor(), [self = shared_from_this()] {
      self->mClosing = true;
      if (!self->mResponding) {
        self->Close();
      }
    });
  }

private:
  void Read()
  {
    mParser.emplace();
    mParser->header_limit(kMaxHeader);
    mParser->body_limit(kMaxBody);
    mStream.expires_after(kIdleTimeout);
    http::async_read(
      mStream, mBuffer, *mParser,
      [self = shared_from_this()](beast::error_code aEc, std::size_t) {
        self->OnRead(aEc);
      });
  }

  void OnRead(beast::error_code aEc)
  {
    if (aEc) {
      RejectIfMalformed(aEc);
      return;
    }
    mResponding = true;
    mStream.expires_never();
    auto self = shared_from_this();
    mHandler(mParser->release(), [self](HttpResponse aResponse) {
      asio::dispatch(self->mStream.get_executor(),
                     [self, response = std::move(aResponse)]() mutable {
                       self->Write(std::move(response));
                     });
    });
  }

  void RejectIfMalformed(beast::error_code aEc)
  {
    bool parseError =
      aEc.category() == make_error_code(http::error::bad_method).category() &&
      aEc != http::error::end_of_stream && aEc != http::error::partial_message;
    if (!parseError) {
      Close();
      return;
    }
    if (mOnMalformed) {
      mOnMalformed();
    }
    HttpResponse response(http::status::bad_request, 11);
    response.set(http::field::content_type, "text/plain");
    response.body() = "malformed request; send HTTP/1.1 within the limits\n";
    response.keep_alive(false);
    Write(std::move(response));
  }

  void Write(HttpResponse aResponse)
  {
    mResponse = std::move(aResponse);
    if (mClosing) {
      mResponse.keep_alive(false);
    }
    mResponse.prepare_payload();
    mStream.expires_after(kIdleTimeout);
    http::async_write(
      mStream, mResponse,
      [self = shared_from_this()](beast::error_code aEc, std::size_t) {
        self->OnWritten(aEc);
      });
  }

  void OnWritten(beast::error_code aEc)
  {
    mResponding = false;
    if (aEc || !mResponse.keep_alive() || mClosing) {
      Close();
      return;
    }
    Read();
  }

  void Close()
  {
    beast::error_code ec;
    mStream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    mStream.close();
  }

  beast::tcp_stream mStream;
  HttpServer::Handler mHandler;
  HttpServer::OnMalformed mOnMalformed;
  beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  HttpResponse mResponse;
  bool mResponding = false;
  bool mClosing = false;
};

} // namespace

struct HttpServer::Impl
{
  Impl(const asio::any_io_executor& aExecutor, Handler aHandler,
       OnMalformed aOnMalformed)
    : mExecutor(aExecutor)
    , mAcceptor(asio::make_strand(aExecutor))
    , mHandler(std::move(aHandler))
    , mOnMalformed(std::move(aOnMalformed))
  {
  }

  asio::any_io_executor mExecutor;
  asio::ip::tcp::acceptor mAcceptor;
  Handler mHandler;
  OnMalformed mOnMalformed;
  std::mutex mLock;
  std::set<std::weak_ptr<Session>, std::owner_less<>> mSessions;
  bool mStopped = false;

  void Accept(const std::shared_ptr<HttpServer>& aSelf)
  {
    mAcceptor.async_accept(
      asio::make_strand(mExecutor),
      [aSelf, this](beast::error_code aEc, asio::ip::tcp::socket aSocket) {
        if (aEc == asio::error::operation_aborted) {
          return;
        }
        if (!aEc) {
          Start(std::move(aSocket));
        }
        Accept(aSelf);
      });
  }

  void Start(asio::ip::tcp::socket aSocket)
  {
    beast::error_code ec;
    aSocket.set_option(asio::ip::tcp::no_delay(true), ec);
    auto session =
      std::make_shared<Session>(std::move(aSocket), mHandler, mOnMalformed);
    {
      std::lock_guard lock(mLock);
      std::erase_if(mSessions, [](const auto& aIt) { return aIt.expired(); });
      mSessions.insert(session);
    }
    session->Run();
  }
};

HttpServer::HttpServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

HttpServer::~HttpServer() = default;

Result<std::shared_ptr<HttpServer>> HttpServer::Make(
  const asio::any_io_executor& aExecutor, const Address& aListen,
  Handler aHandler, OnMalformed aOnMalformed)
{
  auto impl = std::make_unique<Impl>(aExecutor, std::move(aHandler),
                                     std::move(aOnMalformed));
  auto endpoint = ToEndpoint<asio::ip::tcp>(aListen);
  beast::error_code ec;
  auto& acceptor = impl->mAcceptor;
  acceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor.bind(endpoint, ec);
  }
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return Fail(ErrorKind::System,
                "can't listen at " + aListen.ToString() + ": " + ec.message(),
                "free the port or change it in the settings");
  }
  std::shared_ptr<HttpServer> server(new HttpServer(std::move(impl)));
  server->mImpl->Accept(server);
  return server;
}

Address HttpServer::Local() const
{
  beast::error_code ec;
  return FromEndpoint(mImpl->mAcceptor.local_endpoint(ec));
}

void HttpServer::Stop()
{
  asio::dispatch(mImpl->mAcceptor.get_executor(), [self = shared_from_this()] {
    beast::error_code ec;
    self->mImpl->mAcceptor.close(ec);
  });
  std::lock_guard lock(mImpl->mLock);
  for (const auto& it : mImpl->mSessions) {
    if (auto session = it.lock()) {
      session->CloseIfIdle();
    }
  }
}

HttpResponse MakeResponse(const HttpRequest& aRequest, http::status aStatus,
                          std::string_view aContentType, std::string aBody)
{
  HttpResponse response(aStatus, aRequest.version());
  response.set(http::field::content_type,
               beast::string_view(aContentType.data(), aContentType.size()));
  response.keep_alive(aRequest.keep_alive());
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

} // namespace heatherplank
