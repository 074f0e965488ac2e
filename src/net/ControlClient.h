#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Clock.h"
#include "src/net/ControlConnection.h"

namespace heatherplank {

class CutList;

/** Keeps a control connection to one peer: connects, and again after it broke,
 * with back-off and jitter so that a peer's restart meets no stampede.
 */
class ControlClient : public std::enable_shared_from_this<ControlClient>
{
public:
  struct Events
  {
    /** A connection stands; send what the peer must know first. */
    std::function<void(const ControlConnection::Ptr&)> mConnected;
    std::function<void(const ControlConnection::Ptr&, const Frame&)> mFrame;
    std::function<void()> mDisconnected;
  };

  /** aCuts may be null; otherwise it must outlive the client. */
  static std::shared_ptr<ControlClient> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aPeer,
    const CutList* aCuts, Events aEvents);

  ~ControlClient();

  /** Sends a frame if connected, else drops it and gives false. Thread safe.
   */
  bool Send(MessageKind aKind, ByteView aPayload);

  bool IsConnected() const;
  const Address& Peer() const;

  /** Closes after what was sent is written, and connects no more. Thread
   * safe. */
  void Stop();

  /** Bytes sent and received by all its connections. Thread safe. */
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

private:
  struct Impl;
  explicit ControlClient(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
