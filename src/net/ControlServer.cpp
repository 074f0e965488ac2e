#include "src/net/ControlServer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "src/net/Endpoint.h"

namespace heatherplank {

namespace asio = boost::asio;
using asio::ip::tcp;

struct ControlServer::Impl
{
  Impl(const asio::any_io_executor& aExecutor,
       ControlConnection::Events aEvents)
    : mExecutor(aExecutor)
    , mAcceptor(asio::make_strand(aExecutor))
    , mEvents(std::move(aEvents))
  {
  }

  asio::any_io_executor mExecutor;
  tcp::acceptor mAcceptor;
  ControlConnection::Events mEvents;

  void Accept(const std::shared_ptr<ControlServer>& aSelf)
  {
    mAcceptor.async_accept(
      asio::make_strand(mExecutor),
      [aSelf, this](boost::system::error_code aEc, tcp::socket aSocket) {
        if (aEc == asio::error::operation_aborted) {
          return;
        }
        if (!aEc) {
          std::make_shared<ControlConnection>(std::move(aSocket), mEvents)
            ->Start();
        }
        Accept(aSelf);
      });
  }
};

ControlServer::ControlServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

ControlServer::~ControlServer() = default;

Result<std::shared_ptr<ControlServer>> ControlServer::Make(
  const asio::any_io_executor& aExecutor, const Address& aListen,
  ControlConnection::Events aEvents)
{
  auto impl = std::make_unique<Impl>(aExecutor, std::move(aEvents));
  auto endpoint = ToEndpoint<tcp>(aListen);
  boost::system::error_code ec;
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
                "can't listen for control connections at " +
                  aListen.ToString() + ": " + ec.message(),
                "free the port or change it in the settings");
  }
  std::shared_ptr<ControlServer> server(new ControlServer(std::move(impl)));
  server->mImpl->Accept(server);
  return server;
}

Address ControlServer::Local() const
{
  boost::system::error_code ec;
  return FromEndpoint(mImpl->mAcceptor.local_endpoint(ec));
}

void ControlServer::Stop()
{
  asio::post(mImpl->mAcceptor.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ec;
    self->mImpl->mAcceptor.close(ec);
  });
}

} // namespace heatherplank
