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

struct Job
{
  HttpClient::Ticket mTicket = 0;
  HttpRequest mRequest;
  Time mDeadline;
  HttpClient::Done mDone;
  /** Bytes may have left for the server. */
  bool mWritten = false;
};

/** What the operations on one TCP connection refer to. Each handler holds it,
 * and another connection gets another one: after a cancellation the handlers
 * of the old operations are still to come, and would find its parts in use. */
struct Wire
{
  explicit Wire(const asio::any_io_executor& aExecutor)
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
    , mWire(std::make_shared<Wire>(aExecutor))
  {
  }

  asio::steady_timer mTimer;
  std::shared_ptr<Wire> mWire;
  std::optional<Job> mJob;
  /** Stands on every pending operation; a late one of an older job is
   * dropped. */
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
  std::deque<Job> mWaiting;
  std::atomic<Ticket> mNextTicket{ 1 };

  void Submit(Job aJob)
  {
    mWaiting.push_back(std::move(aJob));
    StartIdle();
  }

  void StartIdle()
  {
    DropLate();
    for (auto& it : mConnections) {
      if (mWaiting.empty()) {
        return;
      }
      if (!it->mJob) {
        it->mJob = std::move(mWaiting.front());
        mWaiting.pop_front();
        Begin(*it);
      }
    }
  }

  /** What waited past its deadline was never written. */
  void DropLate()
  {
    auto now = std::chrono::steady_clock::now();
    while (!mWaiting.empty() && mWaiting.front().mDeadline <= now) {
      Job job = std::move(mWaiting.front());
      mWaiting.pop_front();
      job.mDone(NotWritten("no free connection in time"));
    }
  }

  void Begin(Connection& aConnection)
  {
    auto generation = ++aConnection.mGeneration;
    aConnection.mTimer.expires_at(aConnection.mJob->mDeadline);
    aConnection.mTimer.async_wait([self = shared_from_this(), &aConnection,
                                   generation](beast::error_code aEc) {
      if (!aEc && aConnection.mGeneration == generation) {
        self->GiveUp(aConnection, "no answer in time");
      }
    });
    auto wire = aConnection.mWire;
    if (wire->mConnected && !ClosedByServer(*wire)) {
      Write(aConnection);
      return;
    }
    wire = Renew(aConnection);
    wire->mStream.async_connect(mServer,
                                [self = shared_from_this(), &aConnection, wire,
                                 generation](beast::error_code aEc) {
                                  if (aConnection.mGeneration == generation) {
                                    self->OnConnected(aConnection, aEc);
                                  }
                                });
  }

  void OnConnected(Connection& aConnection, beast::error_code aEc)
  {
    if (aEc) {
      Finish(aConnection, NotWritten(aEc.message()), false);
      return;
    }
    Wire& wire = *aConnection.mWire;
    beast::error_code ec;
    wire.mStream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    wire.mConnected = true;
    Write(aConnection);
  }

  std::shared_ptr<Wire> Renew(Connection& aConnection)
  {
    aConnection.mWire->mStream.close();
    aConnection.mWire = std::make_shared<Wire>(mStrand);
    return aConnection.mWire;
  }

  /** A server may close an idle connection at any time. Written to it, a
   * request would count as perhaps run although nobody read it; nothing may be
   * waiting to be read on an idle connection, not even its end. */
  static bool ClosedByServer(Wire& aWire)
  {
    auto& socket = aWire.mStream.socket();
    char byte = 0;
    beast::error_code ec;
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    return ec != asio::error::would_block;
  }

  void Write(Connection& aConnection)
  {
    auto generation = aConnection.mGeneration;
    auto wire = aConnection.mWire;
    aConnection.mJob->mWritten = true;
    wire->mRequest = std::move(aConnection.mJob->mRequest);
    http::async_write(wire->mStream, wire->mRequest,
                      [self = shared_from_this(), &aConnection, wire,
                       generation](beast::error_code aEc, std::size_t) {
                        if (aConnection.mGeneration != generation) {
                          return;
                        }
                        if (aEc) {
                          self->GiveUp(aConnection, aEc.message());
                          return;
                        }
                        self->Read(aConnection);
                      });
  }

  void Read(Connection& aConnection)
  {
    auto generation = aConnection.mGeneration;
    auto wire = aConnection.mWire;
    wire->mParser.emplace();
    wire->mParser->body_limit(kMaxBody);
    http::async_read(wire->mStream, wire->mBuffer, *wire->mParser,
                     [self = shared_from_this(), &aConnection, wire,
                      generation](beast::error_code aEc, std::size_t) {
                       if (aConnection.mGeneration != generation) {
                         return;
                       }
                       if (aEc) {
                         self->GiveUp(aConnection, aEc.message());
                         return;
                       }
                       HttpResponse response = wire->mParser->release();
                       bool keep = response.keep_alive();
                       self->Finish(aConnection, std::move(response), keep);
                     });
  }

  void GiveUp(Connection& aConnection, const std::string& aWhy)
  {
    bool written = aConnection.mJob && aConnection.mJob->mWritten;
    Finish(aConnection, written ? Unknown(aWhy) : NotWritten(aWhy), false);
  }

  void Finish(Connection& aConnection, Result<HttpResponse> aResult, bool aKeep)
  {
    ++aConnection.mGeneration;
    aConnection.mTimer.cancel();
    if (!aKeep) {
      Renew(aConnection);
    }
    Job job = std::move(*aConnection.mJob);
    aConnection.mJob.reset();
    job.mDone(std::move(aResult));
    StartIdle();
  }

  void CancelNow(Ticket aTicket)
  {
    for (auto& it : mConnections) {
      if (it->mJob && it->mJob->mTicket == aTicket) {
        GiveUp(*it, "cancelled");
        return;
      }
    }
    for (auto it = mWaiting.begin(); it != mWaiting.end(); ++it) {
      if (it->mTicket == aTicket) {
        Job job = std::move(*it);
        mWaiting.erase(it);
        job.mDone(NotWritten("cancelled"));
        return;
      }
    }
  }

  Result<HttpResponse> NotWritten(const std::string& aWhy) const
  {
    return Fail(ErrorKind::Unavailable,
                "no request went to " + FromEndpoint(mServer).ToString() +
                  ": " + aWhy,
                "check that the server runs there, then try again");
  }

  Result<HttpResponse> Unknown(const std::string& aWhy) const
  {
    return Fail(ErrorKind::Timeout,
                "no answer from " + FromEndpoint(mServer).ToString() + ": " +
                  aWhy,
                "the request may have taken effect; read back before trying "
                "again");
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
  Job job;
  job.mTicket = mImpl->mNextTicket++;
  job.mRequest = std::move(aRequest);
  job.mRequest.prepare_payload();
  job.mDeadline = std::chrono::steady_clock::now() + aTimeout;
  job.mDone = std::move(aDone);
  auto ticket = job.mTicket;
  asio::post(mImpl->mStrand, [impl = mImpl, job = std::move(job)]() mutable {
    impl->Submit(std::move(job));
  });
  return ticket;
}

void HttpClient::Cancel(Ticket aTicket)
{
  asio::post(mImpl->mStrand,
             [impl = mImpl, aTicket] { impl->CancelNow(aTicket); });
}

} // namespace heatherplank
