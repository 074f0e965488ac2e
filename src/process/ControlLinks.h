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
#include "src/wire/HelloCodec.h"

namespace heatherplank {

class ControlClient;
class ControlServer;
class CutList;
class MetricsRegistry;

/** Control messages between our processes by address: one connection out to
 * each process that is sent to, made when first needed and let go when idle,
 * and the connections in, each of which begins by saying whose it is. Thread
 * safe, by its own lock.
 */
class ControlLinks final : public MessageSender
{
public:
  /** A frame from a process; its payload is valid during the call. Called with
   * no lock held, possibly by several threads at once. */
  using OnFrame = std::function<void(const Hello& aFrom, const Frame&)>;

  struct Parts
  {
    boost::asio::any_io_executor mExecutor;
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    /** Must outlive the links. */
    const CutList& mCuts;
  };

  ControlLinks(Parts aParts, const Hello& aSelf, OnFrame aOnFrame);
  ~ControlLinks() override;

  /** Listens at this process's control address; System if it can't. */
  Result<void> Listen();

  void Send(const Address& aTo, MessageKind aKind, ByteView aPayload) override;

  /** Lets idle connections go; call every second or so. */
  void Tick();

  /** Bytes sent and received over all connections so far. */
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

private:
  struct Link
  {
    std::shared_ptr<ControlClient> mClient;
    Time mUsedAt;
    /** Messages for a connection that does not stand yet. */
    std::vector<std::pair<MessageKind, Bytes>> mWaiting;
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
                      const Error& aWhy);
  void Count(const char* aReason);

  Parts mParts;
  const Hello mSelf;
  OnFrame mOnFrame;
  std::shared_ptr<ControlServer> mServer;
  mutable std::mutex mLock;
  std::map<Address, Link> mLinks;
  std::map<const ControlConnection*, Incoming> mIncoming;
  std::uint64_t mPastSent = 0;
  std::uint64_t mPastReceived = 0;
};

} // namespace heatherplank
