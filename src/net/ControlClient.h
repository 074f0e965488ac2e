#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Clock.h"
#include "src/net/ControlConnection.h"

namespace heatherplank {

class CutList;

/** Maintains a control connection to one peer. Reconnects with back-off and
 * jitter, so that a restarted peer does not receive all connections at once.
 */
class ControlClient : public std::enable_shared_from_this<ControlClient>
{
public:
  struct Events
  {
    /** Called when connected; messages sent here precede all others. */
    std::function<void(const ControlConnection::Ptr&)> mConnected;
    std::function<void(const ControlConnection::Ptr&, const Frame&)> mFrame;
    std::function<void()> mDisconnected;
  };

  /** aCuts may be null; otherwise it must outlive the client. */
  static std::shared_ptr<ControlClient> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aPeer,
    const CutList* aCuts, Events aEvents);

  ~ControlClient();

  /** Sends a frame, or drops it and returns false if not connected. Thread
   * safe. */
  bool Send(MessageKind aKind, ByteView aPayload);

  bool IsConnected() const;
  const Address& Peer() const;

  /** Closes the connection after the frames sent so far are written, and does
   * not reconnect. Thread safe. */
  void Stop();

  /** Bytes over this client's past and present connections. Thread safe. */
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

private:
  struct Impl;
  explicit ControlClient(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
