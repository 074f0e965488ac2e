#include "lab/soak/TcpProxy.h"

#include <array>
#include <deque>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "src/net/Endpoint.h"

namespace heatherplank::lab {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/** One proxied connection: a socket to the client and one to the server. */
struct Connection : std::enable_shared_from_this<Connection>
{
  Connection(const asio::any_io_executor& aExecutor, const ProxyFaults& aFaults)
    : mClient(aExecutor)
    , mServer(aExecutor)
    , mFaults(aFaults)
  {
  }

  void Pump(tcp::socket& aFrom, tcp::socket& aTo, const bool& aDrops)
  {
    auto buffer = std::make_shared<std::array<char, 16384>>();
    aFrom.async_read_some(
      asio::buffer(*buffer),
      [self = shared_from_this(), this, &aFrom, &aTo, &aDrops,
       buffer](error_code aEc, std::size_t aCount) {
        if (aEc) {
          Close();
          return;
        }
        if (aDrops || mIsSilent) {
          Pump(aFrom, aTo, aDrops);
          return;
        }
        auto timer = std::make_shared<asio::steady_timer>(aFrom.get_executor());
        timer->expires_after(mFaults.mDelay);
        timer->async_wait([self, this, &aFrom, &aTo, &aDrops, buffer, timer,
                           aCount](error_code) {
          if (mIsSilent) {
            Pump(aFrom, aTo, aDrops);
            return;
          }
          asio::async_write(aTo, asio::buffer(*buffer, aCount),
                            [self, this, &aFrom, &aTo, &aDrops,
                             buffer](error_code aWriteEc, std::size_t) {
                              if (aWriteEc) {
                                Close();
                              } else {
                                Pump(aFrom, aTo, aDrops);
                              }
                            });
        });
      });
  }

  void Close()
  {
    error_code ec;
    mClient.close(ec);
    mServer.close(ec);
  }

  void Reset()
  {
    error_code ec;
    mClient.set_option(asio::socket_base::linger(true, 0), ec);
    mServer.set_option(asio::socket_base::linger(true, 0), ec);
    Close();
  }

  tcp::socket mClient;
  tcp::socket mServer;
  const ProxyFaults& mFaults;
  bool mIsSilent = false;
};

} // namespace

struct TcpProxy::Impl : std::enable_shared_from_this<Impl>
{
  Impl(const asio::any_io_executor& aExecutor, const Address& aServer)
    : mAcceptor(aExecutor)
    , mServer(ToEndpoint<tcp>(aServer))
  {
  }

  void Accept()
  {
    auto connection =
      std::make_shared<Connection>(mAcceptor.get_executor(), mFaults);
    mAcceptor.async_accept(
      connection->mClient,
      [self = shared_from_this(), this, connection](error_code aEc) {
        if (aEc == asio::error::operation_aborted) {
          return;
        }
        if (aEc || mFaults.mResetsNewConnections) {
          connection->Reset();
        } else {
          Connect(connection);
        }
        Accept();
      });
  }

  void Connect(const std::shared_ptr<Connection>& aConnection)
  {
    std::erase_if(mConnections, [](const auto& aIt) { return aIt.expired(); });
    mConnections.push_back(aConnection);
    aConnection->mServer.async_connect(
      mServer, [self = shared_from_this(), this, aConnection](error_code aEc) {
        if (aEc) {
          aConnection->Reset();
          return;
        }
        aConnection->Pump(aConnection->mClient, aConnection->mServer,
                          mFaults.mDropsRequests);
        aConnection->Pump(aConnection->mServer, aConnection->mClient,
                          mFaults.mDropsResponses);
      });
  }

  tcp::acceptor mAcceptor;
  tcp::endpoint mServer;
  ProxyFaults mFaults;
  std::vector<std::weak_ptr<Connection>> mConnections;
};

TcpProxy::TcpProxy(const asio::any_io_executor& aExecutor,
                   const Address& aServer)
  : mImpl(std::make_shared<Impl>(aExecutor, aServer))
{
}

TcpProxy::~TcpProxy()
{
  error_code ec;
  mImpl->mAcceptor.close(ec);
  ResetAll();
}

Result<void> TcpProxy::Listen(const Address& aAddress)
{
  error_code ec;
  auto endpoint = ToEndpoint<tcp>(aAddress);
  mImpl->mAcceptor.open(endpoint.protocol(), ec);
  mImpl->mAcceptor.bind(endpoint, ec);
  if (!ec) {
    mImpl->mAcceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return Fail(ErrorKind::System, "the proxy can't listen: " + ec.message(),
                "free the port");
  }
  mImpl->Accept();
  return {};
}

Address TcpProxy::Local() const
{
  return FromEndpoint(mImpl->mAcceptor.local_endpoint());
}

void TcpProxy::SetFaults(const ProxyFaults& aFaults)
{
  mImpl->mFaults = aFaults;
}

void TcpProxy::ResetAll()
{
  for (const auto& it : mImpl->mConnections) {
    if (auto connection = it.lock()) {
      connection->Reset();
    }
  }
}

void TcpProxy::SilenceAll()
{
  for (const auto& it : mImpl->mConnections) {
    if (auto connection = it.lock()) {
      connection->mIsSilent = true;
    }
  }
}

} // namespace heatherplank::lab
