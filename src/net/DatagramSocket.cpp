#include "src/net/DatagramSocket.h"

#include <sys/socket.h>

#include <array>
#include <atomic>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "src/net/CutList.h"
#include "src/net/Endpoint.h"

namespace heatherplank {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t kMaxDatagramSize = 65536;
/** Holds a burst of a few thousand datagrams while the thread is busy. */
constexpr int kSocketBufferSize = 4 * 1024 * 1024;
/** Datagrams read before the thread's other work may run. */
constexpr int kMaxBatchSize = 64;

} // namespace

struct DatagramSocket::Impl
{
  Impl(const asio::any_io_executor& aExecutor, const CutList* aCuts)
    : mSocket(asio::make_strand(aExecutor))
    , mCuts(aCuts)
  {
  }

  udp::socket mSocket;
  const CutList* mCuts;
  Handler mHandler;
  std::atomic<bool> mStopped{ false };
  int mDescriptor = -1;
  alignas(8) std::array<std::uint8_t, kMaxDatagramSize> mBuffer{};

  void Wait(const std::shared_ptr<DatagramSocket>& aSelf)
  {
    mSocket.async_wait(udp::socket::wait_read,
                       [aSelf, this](boost::system::error_code aEc) {
                         if (aEc || mStopped) {
                           return;
                         }
                         ReceiveBatch();
                         Wait(aSelf);
                       });
  }

  void ReceiveBatch()
  {
    for (int i = 0; i < kMaxBatchSize && !mStopped; ++i) {
      udp::endpoint from;
      boost::system::error_code ec;
      auto n = mSocket.receive_from(asio::buffer(mBuffer), from, 0, ec);
      if (ec == asio::error::would_block) {
        return;
      }
      if (ec) {
        // An ICMP error for an earlier datagram; the socket remains usable.
        continue;
      }
      Address address = FromEndpoint(from);
      if (mCuts == nullptr || !mCuts->IsCut(address)) {
        mHandler(ByteView(mBuffer.data(), n), address);
      }
    }
  }
};

DatagramSocket::DatagramSocket(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

DatagramSocket::~DatagramSocket() = default;

Result<std::shared_ptr<DatagramSocket>> DatagramSocket::Make(
  const asio::any_io_executor& aExecutor, const Address& aListen,
  const CutList* aCuts)
{
  auto impl = std::make_unique<Impl>(aExecutor, aCuts);
  auto endpoint = ToEndpoint<udp>(aListen);
  boost::system::error_code ec;
  auto& socket = impl->mSocket;
  socket.open(endpoint.protocol(), ec);
  if (!ec) {
    socket.bind(endpoint, ec);
  }
  if (ec) {
    return Fail(ErrorKind::System,
                "can't receive datagrams at " + aListen.ToString() + ": " +
                  ec.message(),
                "free the port or change it in the settings");
  }
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::receive_buffer_size(kSocketBufferSize),
                    ignored);
  socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferSize),
                    ignored);
  socket.non_blocking(true, ignored);
  impl->mDescriptor = socket.native_handle();
  return std::shared_ptr<DatagramSocket>(new DatagramSocket(std::move(impl)));
}

void DatagramSocket::Start(Handler aHandler)
{
  mImpl->mHandler = std::move(aHandler);
  mImpl->Wait(shared_from_this());
}

void DatagramSocket::ReadNow()
{
  mImpl->ReceiveBatch();
}

bool DatagramSocket::Send(ByteView aDatagram, const Address& aTo)
{
  if (mImpl->mCuts != nullptr && mImpl->mCuts->IsCut(aTo)) {
    return false;
  }
  // Uses the descriptor directly: an Asio socket must not be used by two
  // threads at once, and a datagram send needs none of its state.
  auto to = ToEndpoint<udp>(aTo);
  auto n = ::sendto(mImpl->mDescriptor, aDatagram.data(), aDatagram.size(),
                    MSG_DONTWAIT, to.data(), static_cast<socklen_t>(to.size()));
  return n == static_cast<ssize_t>(aDatagram.size());
}

Address DatagramSocket::Local() const
{
  boost::system::error_code ec;
  return FromEndpoint(mImpl->mSocket.local_endpoint(ec));
}

void DatagramSocket::Stop()
{
  mImpl->mStopped = true;
  asio::post(mImpl->mSocket.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ec;
    self->mImpl->mSocket.cancel(ec);
  });
}

} // namespace heatherplank
