#include "src/net/HttpClient.h"

#include <deque>
#include <vector>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
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

constexpr std::size_t kMaxBody = std::size_t{ 4 } * 1024 * 1024;

struct PendingRequest
{
  HttpClient::Ticket mTicket = 0;
  HttpRequest mRequest;
  Time mDeadline;
  HttpClient::Done mDone;
  /** Bytes may have been sent to the server. */
  bool mWritten = false;
};

/** The state that operations on one TCP connection use. Each handler shares
 * ownership, and a new connection gets a new Transport: handlers of cancelled
 * operations still run later and must not use the new connection's state. */
struct Transport
{
  explicit Transport(const asio::any_io_executor& aExecutor)
    : mStream(aExecutor)
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  HttpRequest mRequest;
  std::optional<http::response_parser<http::string_body>> mParser;
  bool mConnected = false;
};

struct Connection
{
  explicit Connection(const asio::any_io_executor& aExecutor)
    : mTimer(aExecutor)
    , mTransport(std::make_shared<Transport>(aExecutor))
  {
  }

  asio::steady_timer mTimer;
  std::shared_ptr<Transport> mTransport;
  std::optional<PendingRequest> mActive;
  /** Captured by every pending operation; a handler with an older generation
   * belongs to a finished request and does nothing. */
  std::uint64_t mGeneration = 0;
};

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<Impl>
{
  Impl(const asio::any_io_executor& aExecutor, const Address& aServer,
       std::size_t aConnections)
    : mStrand(asio::make_strand(aExecutor))
    , mServer(ToEndpoint<asio::ip::tcp>(aServer))
  {
    for (std::size_t i = 0; i < aConnections; ++i) {
      mConnections.push_back(std::make_unique<Connection>(mStrand));
    }
  }

  asio::any_io_executor mStrand;
  asio::ip::tcp::endpoint mServer;
  std::vector<std::unique_ptr<Connection>> mConnections;
  std::deque<PendingRequest> mQueue;
  std::atomic<Ticket> mNextTicket{ 1 };

  void Enqueue(PendingRequest aPending)
  {
    mQueue.push_back(std::move(aPending));
    StartIdle();
  }

  void StartIdle()
  {
    FailExpired();
    for (auto& it : mConnections) {
      if (mQueue.empty()) {
        return;
      }
      if (!it->mActive) {
        it->mActive = std::move(mQueue.front());
        mQueue.pop_front();
        Dispatch(*it);
      }
    }
  }

  /** Fails queued requests whose deadline has passed; they were not written. */
  void FailExpired()
  {
    auto now = std::chrono::steady_clock::now();
    while (!mQueue.empty() && mQueue.front().mDeadline <= now) {
      PendingRequest pending = std::move(mQueue.front());
      mQueue.pop_front();
      pending.mDone(NotWritten("no connection became free in time"));
    }
  }

  void Dispatch(Connection& aConnection)
  {
    auto generation = ++aConnection.mGeneration;
    aConnection.mTimer.expires_at(aConnection.mActive->mDeadline);
    aConnection.mTimer.async_wait([self = shared_from_this(), &aConnection,
                                   generation](beast::error_code aEc) {
      if (!aEc && aConnection.mGeneration == generation) {
        self->Abort(aConnection, "no response in time");
      }
    });
    auto transport = aConnection.mTransport;
    if (transport->mConnected && !ClosedByServer(*transport)) {
      Write(aConnection);
      return;
    }
    transport = ResetTransport(aConnection);
    transport->mStream.async_connect(
      mServer, [self = shared_from_this(), &aConnection, transport,
                generation](beast::error_code aEc) {
        if (aConnection.mGeneration == generation) {
          self->OnConnected(aConnection, aEc);
        }
      });
  }

  void OnConnected(Connection& aConnection, beast::error_code aEc)
  {
    if (aEc) {
      Complete(aConnection, NotWritten(aEc.message()), false);
      return;
    }
    Transport& transport = *aConnection.mTransport;
    beast::error_code ec;
    transport.mStream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    transport.mConnected = true;
    Write(aConnection);
  }

  std::shared_ptr<Transport> ResetTransport(Connection& aConnection)
  {
    aConnection.mTransport->mStream.close();
    aConnection.mTransport = std::make_shared<Transport>(mStrand);
    return aConnection.mTransport;
  }

  /** Whether the server closed an idle connection, which it may do at any time.
   * A request written to it would get the error Timeout (effect unknown)
   * although no server read it. An idle connection that is still open has
   * nothing to read, not even end of file. */
  static bool ClosedByServer(Transport& aTransport)
  {
    auto& socket = aTransport.mStream.socket();
    char byte = 0;
    beast::error_code ec;
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec != asio::error::would_block;
  }

  void Write(Connection& aConnection)
  {
    auto generation = aConnection.mGeneration;
    auto transport = aConnection.mTransport;
    aConnection.mActive->mWritten = true;
    transport->mRequest = std::move(aConnection.mActive->mRequest);
    http::async_write(transport->mStream, transport->mRequest,
                      [self = shared_from_this(), &aConnection, transport,
                       generation](beast::error_code aEc, std::size_t) {
                        if (aConnection.mGeneration != generation) {
                          return;
                        }
                        if (aEc) {
                          self->Abort(aConnection, aEc.message());
                          return;
                        }
                        self->Read(aConnection);
                      });
  }

  void Read(Connection& aConnection)
  {
    auto generation = aConnection.mGeneration;
    auto transport = aConnection.mTransport;
    transport->mParser.emplace();
    transport->mParser->body_limit(kMaxBody);
    http::async_read(
      transport->mStream, transport->mBuffer, *transport->mParser,
      [self = shared_from_this(), &aConnection, transport,
       generation](beast::error_code aEc, std::size_t) {
        if (aConnection.mGeneration != generation) {
          return;
        }
        if (aEc) {
          self->Abort(aConnection, aEc.message());
          return;
        }
        HttpResponse response = transport->mParser->release();
        bool keepAlive = response.keep_alive();
        self->Complete(aConnection, std::move(response), keepAlive);
      });
  }

  void Abort(Connection& aConnection, const std::string& aReason)
  {
    bool written = aConnection.mActive && aConnection.mActive->mWritten;
    Complete(aConnection,
             written ? OutcomeUnknown(aReason) : NotWritten(aReason), false);
  }

  void Complete(Connection& aConnection, Result<HttpResponse> aResult,
                bool aKeepAlive)
  {
    ++aConnection.mGeneration;
    aConnection.mTimer.cancel();
    if (!aKeepAlive) {
      ResetTransport(aConnection);
    }
    PendingRequest pending = std::move(*aConnection.mActive);
    aConnection.mActive.reset();
    pending.mDone(std::move(aResult));
    StartIdle();
  }

  void CancelNow(Ticket aTicket)
  {
    for (auto& it : mConnections) {
      if (it->mActive && it->mActive->mTicket == aTicket) {
        Abort(*it, "cancelled");
        return;
      }
    }
    for (auto it = mQueue.begin(); it != mQueue.end(); ++it) {
      if (it->mTicket == aTicket) {
        PendingRequest pending = std::move(*it);
        mQueue.erase(it);
        pending.mDone(NotWritten("cancelled"));
        return;
      }
    }
  }

  void CloseIdle()
  {
    for (auto& it : mConnections) {
      if (!it->mActive) {
        ResetTransport(*it);
      }
    }
  }

  Result<HttpResponse> NotWritten(const std::string& aReason) const
  {
    return Fail(ErrorKind::Unavailable,
                "no request was sent to " + FromEndpoint(mServer).ToString() +
                  ": " + aReason,
                "check that the server is running there, then retry");
  }

  Result<HttpResponse> OutcomeUnknown(const std::string& aReason) const
  {
    return Fail(ErrorKind::Timeout,
                "no response from " + FromEndpoint(mServer).ToString() + ": " +
                  aReason,
                "the request may have taken effect; read back before "
                "retrying");
  }
};

HttpClient::HttpClient(std::shared_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpClient> HttpClient::Make(
  const asio::any_io_executor& aExecutor, const Address& aServer,
  std::size_t aConnections)
{
  return std::shared_ptr<HttpClient>(
    new HttpClient(std::make_shared<Impl>(aExecutor, aServer, aConnections)));
}

HttpClient::Ticket HttpClient::Send(HttpRequest aRequest, Duration aTimeout,
                                    Done aDone)
{
  PendingRequest pending;
  pending.mTicket = mImpl->mNextTicket++;
  pending.mRequest = std::move(aRequest);
  pending.mRequest.prepare_payload();
  pending.mDeadline = std::chrono::steady_clock::now() + aTimeout;
  pending.mDone = std::move(aDone);
  auto ticket = pending.mTicket;
  asio::post(mImpl->mStrand,
             [impl = mImpl, pending = std::move(pending)]() mutable {
               impl->Enqueue(std::move(pending));
             });
  return ticket;
}

void HttpClient::Cancel(Ticket aTicket)
{
  asio::post(mImpl->mStrand,
             [impl = mImpl, aTicket] { impl->CancelNow(aTicket); });
}

void HttpClient::CloseIdleConnections()
{
  asio::post(mImpl->mStrand, [impl = mImpl] { impl->CloseIdle(); });
}

} // namespace heatherplank
