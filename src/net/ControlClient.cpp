#include "src/net/ControlClient.h"

#include <netinet/tcp.h>

#include <mutex>
#include <random>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "src/net/CutList.h"
#include "src/net/Endpoint.h"

namespace heatherplank {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kInitialBackoff = std::chrono::milliseconds(50);
constexpr auto kMaxBackoff = std::chrono::milliseconds(500);
/** A connection is replaced if its peer acknowledges nothing for this long. */
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{ 1000 };
constexpr auto kConnectTimeout = std::chrono::milliseconds(1000);
/** Interval at which a client of a blocked peer checks whether it may connect.
 */
constexpr auto kCutPollInterval = std::chrono::milliseconds(100);

/** Closes the connection if sent bytes stay unacknowledged for
 * kUnacknowledgedTimeout.
 *
 * Guards against: a connection went silent without a reset, or its peer was cut
 * off, and all messages are lost in it until the kernel gives up, which takes
 * minutes. */
void SetUnacknowledgedTimeout(tcp::socket& aSocket)
{
  using Option =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code ec;
  // Without it the connection works, but silence is noticed late.
  aSocket.set_option(Option(static_cast<int>(kUnacknowledgedTimeout.count())),
                     ec);
}

} // namespace

struct ControlClient::Impl
{
  Impl(const asio::any_io_executor& aExecutor, const Address& aPeer,
       const CutList* aCuts, Events aEvents)
    : mStrand(asio::make_strand(aExecutor))
    , mTimer(mStrand)
    , mPeer(aPeer)
    , mCuts(aCuts)
    , mEvents(std::move(aEvents))
    , mRandom(static_cast<std::uint32_t>(
        std::hash<Address>{}(aPeer) ^
        static_cast<std::uint64_t>(
          std::chrono::steady_clock::now().time_since_epoch().count())))
  {
  }

  asio::any_io_executor mStrand;
  asio::steady_timer mTimer;
  Address mPeer;
  const CutList* mCuts;
  Events mEvents;
  std::minstd_rand mRandom;
  Duration mBackoff = kInitialBackoff;
  std::unique_ptr<tcp::socket> mConnecting;
  mutable std::mutex mLock;
  ControlConnection::Ptr mConnection;
  std::uint64_t mClosedBytesSent = 0;
  std::uint64_t mClosedBytesReceived = 0;
  bool mStopped = false;

  bool IsCut() const { return mCuts != nullptr && mCuts->IsCut(mPeer); }

  void Connect(const std::shared_ptr<ControlClient>& aSelf)
  {
    if (mStopped) {
      return;
    }
    if (IsCut()) {
      ScheduleConnect(aSelf, kCutPollInterval);
      return;
    }
    mConnecting = std::make_unique<tcp::socket>(mStrand);
    LimitConnectTime(aSelf);
    mConnecting->async_connect(ToEndpoint<tcp>(mPeer),
                               [aSelf, this](boost::system::error_code aEc) {
                                 if (mStopped) {
                                   return;
                                 }
                                 if (aEc) {
                                   ScheduleConnect(aSelf, NextBackoff());
                                   return;
                                 }
                                 OnConnected(aSelf);
                               });
  }

  /** Guards against: the kernel repeats the opening segment at intervals that
   * double, so that a peer which was cut off stays unreachable for as long
   * again. */
  void LimitConnectTime(const std::shared_ptr<ControlClient>& aSelf)
  {
    mTimer.expires_after(kConnectTimeout);
    mTimer.async_wait([aSelf, this](boost::system::error_code aEc) {
      if (!aEc) {
        boost::system::error_code ec;
        mConnecting->close(ec);
      }
    });
  }

  void OnConnected(const std::shared_ptr<ControlClient>& aSelf)
  {
    mTimer.cancel();
    mBackoff = kInitialBackoff;
    SetUnacknowledgedTimeout(*mConnecting);
    // Weak, since the client owns its connection: a reference cycle would leak
    // both when the process ends while connected.
    std::weak_ptr<ControlClient> weak = aSelf;
    ControlConnection::Events events;
    events.mFrame = [weak](const ControlConnection::Ptr& aConnection,
                           const Frame& aFrame) {
      if (auto self = weak.lock()) {
        self->mImpl->OnFrame(aConnection, aFrame);
      }
    };
    events.mClosed = [weak](const ControlConnection::Ptr& aConnection,
                            const Error&) {
      if (auto self = weak.lock()) {
        self->mImpl->OnClosed(self, aConnection);
      }
    };
    auto connection = std::make_shared<ControlConnection>(
      std::move(*mConnecting), std::move(events));
    {
      std::lock_guard lock(mLock);
      mConnection = connection;
    }
    connection->Start();
    if (mEvents.mConnected) {
      mEvents.mConnected(connection);
    }
  }

  void OnFrame(const ControlConnection::Ptr& aConnection, const Frame& aFrame)
  {
    if (!IsCut() && mEvents.mFrame) {
      mEvents.mFrame(aConnection, aFrame);
    }
  }

  void OnClosed(const std::shared_ptr<ControlClient>& aSelf,
                const ControlConnection::Ptr& aConnection)
  {
    {
      std::lock_guard lock(mLock);
      mConnection.reset();
      mClosedBytesSent += aConnection->BytesSent();
      mClosedBytesReceived += aConnection->BytesReceived();
    }
    if (mEvents.mDisconnected) {
      mEvents.mDisconnected();
    }
    ScheduleConnect(aSelf, NextBackoff());
  }

  void ScheduleConnect(const std::shared_ptr<ControlClient>& aSelf,
                       Duration aDelay)
  {
    if (mStopped) {
      return;
    }
    mTimer.expires_after(aDelay);
    mTimer.async_wait([aSelf, this](boost::system::error_code aEc) {
      if (!aEc) {
        Connect(aSelf);
      }
    });
  }

  /** Returns a random delay between half of the back-off and all of it, and
   * doubles the back-off. */
  Duration NextBackoff()
  {
    auto half = mBackoff / 2;
    mBackoff = std::min<Duration>(mBackoff * 2, kMaxBackoff);
    return half + Duration(static_cast<Duration::rep>(
                    mRandom() % static_cast<std::uint64_t>(half.count())));
  }

  ControlConnection::Ptr Connection() const
  {
    std::lock_guard lock(mLock);
    return mConnection;
  }
};

ControlClient::ControlClient(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

ControlClient::~ControlClient() = default;

std::shared_ptr<ControlClient> ControlClient::Make(
  const asio::any_io_executor& aExecutor, const Address& aPeer,
  const CutList* aCuts, Events aEvents)
{
  std::shared_ptr<ControlClient> client(new ControlClient(
    std::make_unique<Impl>(aExecutor, aPeer, aCuts, std::move(aEvents))));
  asio::post(client->mImpl->mStrand,
             [client] { client->mImpl->Connect(client); });
  return client;
}

bool ControlClient::Send(MessageKind aKind, ByteView aPayload)
{
  auto connection = mImpl->Connection();
  if (!connection || mImpl->IsCut()) {
    return false;
  }
  connection->Send(aKind, aPayload);
  return true;
}

bool ControlClient::IsConnected() const
{
  return mImpl->Connection() != nullptr && !mImpl->IsCut();
}

const Address& ControlClient::Peer() const
{
  return mImpl->mPeer;
}

void ControlClient::Stop()
{
  asio::post(mImpl->mStrand, [self = shared_from_this()] {
    self->mImpl->mStopped = true;
    self->mImpl->mTimer.cancel();
    if (auto connection = self->mImpl->Connection()) {
      connection->Close();
    } else if (self->mImpl->mConnecting) {
      boost::system::error_code ec;
      self->mImpl->mConnecting->close(ec);
    }
  });
}

std::uint64_t ControlClient::BytesSent() const
{
  std::lock_guard lock(mImpl->mLock);
  return mImpl->mClosedBytesSent +
         (mImpl->mConnection ? mImpl->mConnection->BytesSent() : 0);
}

std::uint64_t ControlClient::BytesReceived() const
{
  std::lock_guard lock(mImpl->mLock);
  return mImpl->mClosedBytesReceived +
         (mImpl->mConnection ? mImpl->mConnection->BytesReceived() : 0);
}

} // namespace heatherplank
