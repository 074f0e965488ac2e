#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Error.h"
#include "src/net/ControlConnection.h"
#include "src/process/MessageSender.h"
#include "src/process/SendObserver.h"
#include "src/wire/HelloCodec.h"

namespace heatherplank {

class ControlClient;
class ControlServer;
class CutList;
class MetricsRegistry;

/** Exchanges control messages with other heatherplank processes by address.
 * Opens one outgoing connection per destination at its first message and closes
 * it when idle. An incoming connection must start with a Hello that identifies
 * its sender. Thread safe.
 */
class ControlLinks final : public MessageSender
{
public:
  /** Called for a frame and its sender; the payload is valid during the call.
   * No lock is held, and several threads may call it at once. */
  using OnFrame = std::function<void(const Hello& aFrom, const Frame&)>;

  struct Parts
  {
    boost::asio::any_io_executor mExecutor;
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    /** Must outlive the ControlLinks. */
    const CutList& mCuts;
    /** May be null; otherwise it must outlive the ControlLinks. */
    SendObserver* mObserver = nullptr;
  };

  ControlLinks(Parts aParts, const Hello& aSelf, OnFrame aOnFrame);
  ~ControlLinks() override;

  /** Listens at this process's control address. Fails with System if it can't
   * be bound. */
  Result<void> Listen();

  void Send(const Address& aTo, MessageKind aKind, ByteView aPayload) override;

  /** Closes idle connections; call about once a second. */
  void Tick();

  /** Bytes over all past and present connections. */
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

private:
  struct Link
  {
    std::shared_ptr<ControlClient> mClient;
    Time mLastUsedAt;
    /** Messages that wait until the connection is established. */
    std::vector<std::pair<MessageKind, Bytes>> mQueue;
  };
  struct Incoming
  {
    Hello mFrom;
    ControlConnection::Ptr mConnection;
  };

  std::shared_ptr<ControlClient> MakeClient(const Address& aTo);
  void OnConnected(const Address& aTo,
                   const ControlConnection::Ptr& aConnection);
  void OnServerFrame(const ControlConnection::Ptr& aConnection,
                     const Frame& aFrame);
  void OnServerClosed(const ControlConnection::Ptr& aConnection,
                      const Error& aReason);
  void CountRejected(const char* aReason);
  void NotifySent(const Address& aTo, MessageKind aKind, std::size_t aPayload);

  Parts mParts;
  const Hello mSelf;
  OnFrame mOnFrame;
  std::shared_ptr<ControlServer> mServer;
  mutable std::mutex mLock;
  std::map<Address, Link> mLinks;
  std::map<const ControlConnection*, Incoming> mIncoming;
  std::uint64_t mClosedBytesSent = 0;
  std::uint64_t mClosedBytesReceived = 0;
};

} // namespace heatherplank
