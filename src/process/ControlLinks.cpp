#include "src/process/ControlLinks.h"

#include <utility>

#include "src/metrics/Metrics.h"
#include "src/net/ControlClient.h"
#include "src/net/ControlServer.h"
#include "src/net/CutList.h"

namespace heatherplank {

namespace {

/** Long enough that a link in use stays open. Where heartbeats use datagrams,
 * an idle link to a live process is closed too and reopened at the next
 * message. */
constexpr auto kIdleTimeout = std::chrono::seconds(30);
/** Messages that may wait for a connection; at the limit all of them are
 * dropped, as they would be when a connection breaks. */
constexpr std::size_t kMaxQueuedMessages = 32;

} // namespace

ControlLinks::ControlLinks(Parts aParts, const Hello& aSelf, OnFrame aOnFrame)
  : mParts(std::move(aParts))
  , mSelf(aSelf)
  , mOnFrame(std::move(aOnFrame))
{
}

ControlLinks::~ControlLinks() = default;

Result<void> ControlLinks::Listen()
{
  ControlConnection::Events events;
  events.mFrame = [this](const auto& aConnection, const Frame& aFrame) {
    OnServerFrame(aConnection, aFrame);
  };
  events.mClosed = [this](const auto& aConnection, const Error& aReason) {
    OnServerClosed(aConnection, aReason);
  };
  auto server =
    ControlServer::Make(mParts.mExecutor, mSelf.mControl, std::move(events));
  if (!server) {
    return tl::unexpected(server.error());
  }
  mServer = *server;
  return {};
}

std::shared_ptr<ControlClient> ControlLinks::MakeClient(const Address& aTo)
{
  ControlClient::Events events;
  events.mConnected = [this, aTo](const auto& aConnection) {
    OnConnected(aTo, aConnection);
  };
  return ControlClient::Make(mParts.mExecutor, aTo, &mParts.mCuts,
                             std::move(events));
}

void ControlLinks::OnConnected(const Address& aTo,
                               const ControlConnection::Ptr& aConnection)
{
  Bytes hello = EncodeHello(mSelf);
  aConnection->Send(MessageKind::Hello, hello);
  std::lock_guard lock(mLock);
  NotifySent(aTo, MessageKind::Hello, hello.size());
  auto it = mLinks.find(aTo);
  if (it == mLinks.end()) {
    return;
  }
  for (const auto& [kind, payload] : it->second.mQueue) {
    aConnection->Send(kind, payload);
    NotifySent(aTo, kind, payload.size());
  }
  it->second.mQueue.clear();
}

void ControlLinks::Send(const Address& aTo, MessageKind aKind,
                        ByteView aPayload)
{
  std::lock_guard lock(mLock);
  Link& link = mLinks[aTo];
  if (!link.mClient) {
    link.mClient = MakeClient(aTo);
  }
  link.mLastUsedAt = mParts.mClock.Now();
  // Messages must not overtake those queued for the connection.
  if (link.mQueue.empty() && link.mClient->Send(aKind, aPayload)) {
    NotifySent(aTo, aKind, aPayload.size());
    return;
  }
  if (link.mQueue.size() >= kMaxQueuedMessages || mParts.mCuts.IsCut(aTo)) {
    link.mQueue.clear();
    CountRejected("unreachable");
    return;
  }
  link.mQueue.emplace_back(aKind, Bytes(aPayload.begin(), aPayload.end()));
}

void ControlLinks::Tick()
{
  std::lock_guard lock(mLock);
  Time now = mParts.mClock.Now();
  for (auto it = mLinks.begin(); it != mLinks.end();) {
    if (now - it->second.mLastUsedAt < kIdleTimeout) {
      ++it;
      continue;
    }
    mClosedBytesSent += it->second.mClient->BytesSent();
    mClosedBytesReceived += it->second.mClient->BytesReceived();
    it->second.mClient->Stop();
    it = mLinks.erase(it);
  }
}

void ControlLinks::OnServerFrame(const ControlConnection::Ptr& aConnection,
                                 const Frame& aFrame)
{
  Hello from;
  if (aFrame.mKind == MessageKind::Hello) {
    auto hello = DecodeHello(aFrame.mPayload);
    if (!hello) {
      CountRejected("malformed");
      aConnection->Close();
      return;
    }
    std::lock_guard lock(mLock);
    mIncoming[aConnection.get()] = { *hello, aConnection };
    return;
  }
  {
    std::lock_guard lock(mLock);
    auto it = mIncoming.find(aConnection.get());
    if (it == mIncoming.end()) {
      CountRejected("no_hello");
      aConnection->Close();
      return;
    }
    from = it->second.mFrom;
  }
  if (!mParts.mCuts.IsCut(from.mControl)) {
    mOnFrame(from, aFrame);
  }
}

void ControlLinks::OnServerClosed(const ControlConnection::Ptr& aConnection,
                                  const Error& aReason)
{
  if (aReason.mKind != ErrorKind::Unavailable) {
    CountRejected(aReason.mKind == ErrorKind::TooLarge ? "too_large"
                                                       : "malformed");
  }
  std::lock_guard lock(mLock);
  mClosedBytesSent += aConnection->BytesSent();
  mClosedBytesReceived += aConnection->BytesReceived();
  mIncoming.erase(aConnection.get());
}

void ControlLinks::CountRejected(const char* aReason)
{
  std::string label = "reason=\"";
  label.append(aReason).append("\"");
  mParts.mMetrics.GetCounter("messages_refused_total", label).Add();
}

void ControlLinks::NotifySent(const Address& aTo, MessageKind aKind,
                              std::size_t aPayload)
{
  if (mParts.mObserver != nullptr) {
    mParts.mObserver->OnSent(aTo, aKind, kFrameHeaderSize + aPayload);
  }
}

std::uint64_t ControlLinks::BytesSent() const
{
  std::lock_guard lock(mLock);
  std::uint64_t sum = mClosedBytesSent;
  for (const auto& [to, link] : mLinks) {
    sum += link.mClient->BytesSent();
  }
  for (const auto& [key, incoming] : mIncoming) {
    sum += incoming.mConnection->BytesSent();
  }
  return sum;
}

std::uint64_t ControlLinks::BytesReceived() const
{
  std::lock_guard lock(mLock);
  std::uint64_t sum = mClosedBytesReceived;
  for (const auto& [to, link] : mLinks) {
    sum += link.mClient->BytesReceived();
  }
  for (const auto& [key, incoming] : mIncoming) {
    sum += incoming.mConnection->BytesReceived();
  }
  return sum;
}

} // namespace heatherplank
