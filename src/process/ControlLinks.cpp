#include "src/process/ControlLinks.h"

#include <utility>

#include "src/metrics/Metrics.h"
#include "src/net/ControlClient.h"
#include "src/net/ControlServer.h"
#include "src/net/CutList.h"

namespace heatherplank {

namespace {

/** Heartbeats go several times a second: what is idle for this long is to a
 * process that is gone. */
constexpr auto kIdle = std::chrono::seconds(30);
/** Messages that may wait for a connection to be made; more are lost, as they
 * would be on a connection that breaks. */
constexpr std::size_t kMostWaiting = 32;

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
  events.mClosed = [this](const auto& aConnection, const Error& aWhy) {
    OnServerClosed(aConnection, aWhy);
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
  aConnection->Send(MessageKind::Hello, EncodeHello(mSelf));
  std::lock_guard lock(mLock);
  auto it = mLinks.find(aTo);
  if (it == mLinks.end()) {
    return;
  }
  for (const auto& [kind, payload] : it->second.mWaiting) {
    aConnection->Send(kind, payload);
  }
  it->second.mWaiting.clear();
}

void ControlLinks::Send(const Address& aTo, MessageKind aKind,
                        ByteView aPayload)
{
  std::lock_guard lock(mLock);
  Link& link = mLinks[aTo];
  if (!link.mClient) {
    link.mClient = MakeClient(aTo);
  }
  link.mUsedAt = mParts.mClock.Now();
  // A message must not overtake those that wait for the connection.
  if (link.mWaiting.empty() && link.mClient->Send(aKind, aPayload)) {
    return;
  }
  if (link.mWaiting.size() >= kMostWaiting || mParts.mCuts.IsCut(aTo)) {
    link.mWaiting.clear();
    Count("unreachable");
    return;
  }
  link.mWaiting.emplace_back(aKind, Bytes(aPayload.begin(), aPayload.end()));
}

void ControlLinks::Tick()
{
  std::lock_guard lock(mLock);
  Time now = mParts.mClock.Now();
  for (auto it = mLinks.begin(); it != mLinks.end();) {
    if (now - it->second.mUsedAt < kIdle) {
      ++it;
      continue;
    }
    mPastSent += it->second.mClient->BytesSent();
    mPastReceived += it->second.mClient->BytesReceived();
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
      Count("malformed");
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
      Count("no_hello");
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
                                  const Error& aWhy)
{
  if (aWhy.mKind != ErrorKind::Unavailable) {
    Count(aWhy.mKind == ErrorKind::TooLarge ? "too_large" : "malformed");
  }
  std::lock_guard lock(mLock);
  mPastSent += aConnection->BytesSent();
  mPastReceived += aConnection->BytesReceived();
  mIncoming.erase(aConnection.get());
}

void ControlLinks::Count(const char* aReason)
{
  std::string label = "reason=\"";
  label.append(aReason).append("\"");
  mParts.mMetrics.GetCounter("messages_refused_total", label).Add();
}

std::uint64_t ControlLinks::BytesSent() const
{
  std::lock_guard lock(mLock);
  std::uint64_t sum = mPastSent;
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
  std::uint64_t sum = mPastReceived;
  for (const auto& [to, link] : mLinks) {
    sum += link.mClient->BytesReceived();
  }
  for (const auto& [key, incoming] : mIncoming) {
    sum += incoming.mConnection->BytesReceived();
  }
  return sum;
}

} // namespace heatherplank
