#include "lab/Fabric.h"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/net/Endpoint.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank::lab {

namespace asio = boost::asio;
using boost::system::error_code;
using Udp = asio::ip::udp;

namespace {

constexpr std::size_t kMaxDatagram = 65536;
/** Large enough for bursts: the lab's own sockets must not drop packets. */
constexpr int kSocketBuffer = 4 * 1024 * 1024;

} // namespace

struct Fabric::Port
{
  explicit Port(const asio::any_io_executor& aExecutor)
    : mSocket(aExecutor, Udp::endpoint(asio::ip::address_v4::loopback(), 0))
    , mBuffer(kMaxDatagram)
  {
    error_code ec;
    mSocket.set_option(asio::socket_base::receive_buffer_size(kSocketBuffer),
                       ec);
  }

  Address Local() const { return FromEndpoint(mSocket.local_endpoint()); }

  Udp::socket mSocket;
  Udp::endpoint mFrom;
  Bytes mBuffer;
};

Fabric::Fabric(const asio::any_io_executor& aExecutor, const FabricSpec& aSpec,
               std::uint64_t aSeed)
  : mExecutor(aExecutor)
  , mSpec(aSpec)
  , mRandom(aSeed)
  , mReturn(std::make_unique<Port>(aExecutor))
{
  ReceiveAnswer();
}

Fabric::~Fabric() = default;

Address Fabric::AddService()
{
  auto port = std::make_unique<Port>(mExecutor);
  Address local = port->Local();
  Receive(*port);
  mPorts.emplace(local, std::move(port));
  return local;
}

void Fabric::Receive(Port& aPort)
{
  aPort.mSocket.async_receive_from(
    asio::buffer(aPort.mBuffer), aPort.mFrom,
    [this, &aPort](error_code aEc, std::size_t aSize) {
      if (aEc == asio::error::operation_aborted) {
        return;
      }
      if (!aEc) {
        OnDatagram(aPort, aSize);
      }
      Receive(aPort);
    });
}

void Fabric::ReceiveAnswer()
{
  mReturn->mSocket.async_receive_from(
    asio::buffer(mReturn->mBuffer), mReturn->mFrom,
    [this](error_code aEc, std::size_t aSize) {
      if (aEc == asio::error::operation_aborted) {
        return;
      }
      if (!aEc) {
        OnAnswer(ByteView(mReturn->mBuffer).first(aSize));
      }
      ReceiveAnswer();
    });
}

void Fabric::OnDatagram(Port& aPort, std::size_t aSize)
{
  if (mBalancers.empty()) {
    return;
  }
  Packet packet;
  packet.mFlow = { FromEndpoint(aPort.mFrom), aPort.Local() };
  packet.mReturnTo = mReturn->Local();
  packet.mPayload = ByteView(aPort.mBuffer).first(aSize);
  std::uniform_int_distribution<std::size_t> pick(0, mBalancers.size() - 1);
  Send(*mReturn, EncodePacket(packet), mBalancers[pick(mRandom)]);
}

void Fabric::OnAnswer(ByteView aDatagram)
{
  auto frame = DecodeDatagram(aDatagram);
  if (!frame || frame->mKind != MessageKind::Packet) {
    ++mStrays;
    return;
  }
  auto packet = DecodePacket(frame->mPayload);
  auto port = packet ? mPorts.find(packet->mFlow.mService) : mPorts.end();
  if (port == mPorts.end() || packet->mDirective != PacketDirective::Answer) {
    ++mStrays;
    return;
  }
  Send(*port->second, Bytes(packet->mPayload.begin(), packet->mPayload.end()),
       packet->mFlow.mCaller);
}

void Fabric::Send(Port& aPort, Bytes aDatagram, const Address& aTo)
{
  std::uniform_real_distribution<> share;
  if (share(mRandom) < mSpec.mLoss) {
    return;
  }
  bool reordered = share(mRandom) < mSpec.mReorder;
  Duration delay =
    mSpec.mDelay + (reordered ? mSpec.mReorderDelay : Duration{});
  auto timer = std::make_shared<asio::steady_timer>(mExecutor, delay);
  timer->async_wait([timer, &aPort, datagram = std::move(aDatagram),
                     to = ToEndpoint<Udp>(aTo)](error_code) {
    error_code ec;
    aPort.mSocket.send_to(asio::buffer(datagram), to, 0, ec);
  });
}

} // namespace heatherplank::lab
