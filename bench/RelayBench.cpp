#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <ctime>
#include <system_error>
#include <thread>

#include <benchmark/benchmark.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "lab/soak/PacketMaker.h"
#include "src/net/DatagramSocket.h"
#include "src/net/Endpoint.h"
#include "src/passthrough/FlowSteering.h"
#include "src/wire/Frame.h"
#include "src/wire/PassthroughCodec.h"

// Datagrams that one core relays: our balancer with a hint for the flow, beside
// relays that decide nothing. Real sockets of loopback; the time is the
// processor time of the relaying thread alone, so sender and receiver do not
// count.

using namespace heatherplank;

namespace {

using boost::asio::ip::udp;

const Address kAnyPort = *ParseAddress("127.0.0.1:0");
const Address kService = *ParseAddress("198.18.0.1:443");
const Address kCaller = *ParseAddress("100.64.0.1:5000");
/** Data of a packet: that of a small request. */
constexpr std::uint8_t kData = 200;
/** Datagrams on their way at once: far below what a socket holds, so none is
 * lost. */
constexpr int kWindow = 64;
constexpr int kWindows = 2000;
constexpr std::size_t kRoom = 2048;

double ThreadSeconds()
{
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

/** A blocking socket of loopback. */
class PlainSocket
{
public:
  PlainSocket()
    : mDescriptor(::socket(AF_INET, SOCK_DGRAM, 0))
  {
    auto at = ToEndpoint<udp>(kAnyPort);
    int rc = ::bind(mDescriptor, at.data(), static_cast<socklen_t>(at.size()));
    if (rc != 0) {
      throw std::system_error(errno, std::generic_category(),
                              "no port of loopback is free");
    }
  }
  ~PlainSocket() { ::close(mDescriptor); }
  PlainSocket(const PlainSocket&) = delete;
  PlainSocket& operator=(const PlainSocket&) = delete;

  void Send(ByteView aDatagram, const Address& aTo) const
  {
    auto to = ToEndpoint<udp>(aTo);
    ::sendto(mDescriptor, aDatagram.data(), aDatagram.size(), 0, to.data(),
             static_cast<socklen_t>(to.size()));
  }

  ByteView Receive()
  {
    auto n = ::recv(mDescriptor, mBuffer.data(), mBuffer.size(), 0);
    return { mBuffer.data(), n > 0 ? static_cast<std::size_t>(n) : 0 };
  }

  Address Local() const
  {
    udp::endpoint at;
    auto size = static_cast<socklen_t>(at.capacity());
    ::getsockname(mDescriptor, at.data(), &size);
    at.resize(size);
    return FromEndpoint(at);
  }

private:
  int mDescriptor;
  std::array<std::uint8_t, kRoom> mBuffer{};
};

/** Something that passes datagrams on, on a thread of its own. */
class Relay
{
public:
  virtual ~Relay() = default;
  virtual Address Entry() const = 0;
  /** Relays so many datagrams, and gives the processor time that it took. */
  virtual double Run(int aDatagrams) = 0;
};

/** Receives and sends, nothing else. */
class BareRelay final : public Relay
{
public:
  explicit BareRelay(const Address& aTo)
    : mTo(aTo)
  {
  }
  Address Entry() const override { return mEntry.Local(); }
  double Run(int aDatagrams) override
  {
    double start = ThreadSeconds();
    for (int i = 0; i < aDatagrams; ++i) {
      mEntry.Send(mEntry.Receive(), mTo);
    }
    return ThreadSeconds() - start;
  }

private:
  PlainSocket mEntry;
  const Address mTo;
};

/** The product's sockets on its event loop, with what a datagram meets there.
 */
class LoopRelay : public Relay
{
public:
  explicit LoopRelay(const Address& aTo)
    : mTo(aTo)
    , mEntry(*DatagramSocket::Make(mLoop.get_executor(), kAnyPort, nullptr))
    , mTunnel(*DatagramSocket::Make(mLoop.get_executor(), kAnyPort, nullptr))
  {
  }
  Address Entry() const override { return mEntry->Local(); }
  double Run(int aDatagrams) override
  {
    double start = ThreadSeconds();
    mEntry->Start(
      [this, aDatagrams, n = 0](ByteView aDatagram, const Address&) mutable {
        OnPacket(aDatagram);
        if (++n == aDatagrams) {
          mEntry->Stop();
        }
      });
    mLoop.run();
    return ThreadSeconds() - start;
  }

protected:
  virtual void OnPacket(ByteView aDatagram) { mTunnel->Send(aDatagram, mTo); }

  const Address mTo;
  boost::asio::io_context mLoop;
  std::shared_ptr<DatagramSocket> mEntry;
  std::shared_ptr<DatagramSocket> mTunnel;
};

/** A balancer that remembers where the flow is. */
class BalancerRelay final
  : public LoopRelay
  , private FlowSteeringOutput
{
public:
  explicit BalancerRelay(const Address& aTo)
    : LoopRelay(aTo)
    , mSteering({ aTo, MakeDataCentreId("z0"), 65536, MakeHostId("b") },
                mPackets, *this)
  {
    auto inventory = std::make_shared<FlowInventory>();
    inventory->mVersion = 1;
    inventory->mRoutes[kService].mShares = { { MakeServiceId("s"), 1 } };
    mSteering.SetInventory(inventory);
    auto view = std::make_shared<MemberView>();
    view->mVersion = 1;
    Member host;
    host.mHost = MakeHostId("h");
    host.mService = MakeServiceId("s");
    host.mState = HostState::Serving;
    host.mTunnel = aTo;
    view->mMembers.push_back(host);
    MemberViewPtr views[] = { view };
    ServiceId services[] = { host.mService };
    mSteering.SetViews(views, services);
    mSteering.OnReport(
      { { kCaller, kService }, host.mHost, PlacementOutcome::Placed },
      mClock.Now());
  }

private:
  void OnPacket(ByteView aDatagram) override
  {
    mSteering.OnPacket(aDatagram, mClock.Now());
  }
  void Steer(const Address& aAgent, const SteeredPacket& aPacket) override
  {
    mTunnel->Send(
      EncodeDatagram(MessageKind::SteeredPacket, EncodePayload(aPacket)),
      aAgent);
  }
  void Query(const Address&, const FlowQuery&) override {}
  void ToCaller(const Address&, ByteView) override {}
  void SendRecords(const Address&, const FlowRecords&) override {}
  void Placed(Duration) override {}

  SteadyClock mClock;
  PlatformPackets mPackets;
  FlowSteering mSteering;
};

template<typename Kind>
void Relayed(benchmark::State& aState)
{
  Bytes packet = lab::MakePacket(kCaller, kService, lab::kAck, 1, 1, kData);
  for (auto it : aState) {
    PlainSocket sender;
    PlainSocket receiver;
    Kind relay(receiver.Local());
    Address entry = relay.Entry();
    double seconds = 0;
    std::thread thread([&] { seconds = relay.Run(kWindow * kWindows); });
    for (int window = 0; window < kWindows; ++window) {
      for (int i = 0; i < kWindow; ++i) {
        sender.Send(packet, entry);
      }
      for (int i = 0; i < kWindow; ++i) {
        receiver.Receive();
      }
    }
    thread.join();
    aState.SetIterationTime(seconds);
  }
  aState.SetItemsProcessed(aState.iterations() * kWindow * kWindows);
}
BENCHMARK(Relayed<BareRelay>)->UseManualTime()->Unit(benchmark::kMillisecond);
BENCHMARK(Relayed<LoopRelay>)->UseManualTime()->Unit(benchmark::kMillisecond);
BENCHMARK(Relayed<BalancerRelay>)
  ->UseManualTime()
  ->Unit(benchmark::kMillisecond);

} // namespace
