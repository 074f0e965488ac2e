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

/** One connection through the proxy: two sockets and the bytes between. */
struct Pair : std::enable_shared_from_this<Pair>
{
  Pair(const asio::any_io_executor& aExecutor, const ProxyFaults& aFaults)
    : mClient(aExecutor)
    , mServer(aExecutor)
    , mFaults(aFaults)
  {
  }

  void Pump(tcp::socket& aFrom, tcp::socket& aTo, const bool& aSwallows)
  {
    auto buffer = std::make_shared<std::array<char, 16384>>();
    aFrom.async_read_some(
      asio::buffer(*buffer),
      [self = shared_from_this(), this, &aFrom, &aTo, &aSwallows,
       buffer](error_code aEc, std::size_t aCount) {
        if (aEc) {
          Close();
          return;
        }
        if (aSwallows) {
          Pump(aFrom, aTo, aSwallows);
          return;
        }
        auto timer = std::make_shared<asio::steady_timer>(aFrom.get_executor());
        timer->expires_after(mFaults.mDelay);
        timer->async_wait([self, this, &aFrom, &aTo, &aSwallows, buffer, timer,
                           aCount](error_code) {
          asio::async_write(aTo, asio::buffer(*buffer, aCount),
                            [self, this, &aFrom, &aTo, &aSwallows,
                             buffer](error_code aWriteEc, std::size_t) {
                              if (aWriteEc) {
                                Close();
                              } else {
                                Pump(aFrom, aTo, aSwallows);
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
    auto pair = std::make_shared<Pair>(mAcceptor.get_executor(), mFaults);
    mAcceptor.async_accept(
      pair->mClient, [self = shared_from_this(), this, pair](error_code aEc) {
        if (aEc == asio::error::operation_aborted) {
          return;
        }
        if (aEc || mFaults.mRefuses) {
          pair->Reset();
        } else {
          Connect(pair);
        }
        Accept();
      });
  }

  void Connect(const std::shared_ptr<Pair>& aPair)
  {
    std::erase_if(mPairs, [](const auto& aIt) { return aIt.expired(); });
    mPairs.push_back(aPair);
    aPair->mServer.async_connect(
      mServer, [self = shared_from_this(), this, aPair](error_code aEc) {
        if (aEc) {
          aPair->Reset();
          return;
        }
        aPair->Pump(aPair->mClient, aPair->mServer, mFaults.mCutsRequests);
        aPair->Pump(aPair->mServer, aPair->mClient, mFaults.mCutsAnswers);
      });
  }

  tcp::acceptor mAcceptor;
  tcp::endpoint mServer;
  ProxyFaults mFaults;
  std::vector<std::weak_ptr<Pair>> mPairs;
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
  for (const auto& it : mImpl->mPairs) {
    if (auto pair = it.lock()) {
      pair->Reset();
    }
  }
}

} // namespace heatherplank::lab
