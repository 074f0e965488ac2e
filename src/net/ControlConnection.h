#pragma once

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** A TCP connection between two heatherplank processes that carries frames. */
class ControlConnection : public std::enable_shared_from_this<ControlConnection>
{
public:
  using Ptr = std::shared_ptr<ControlConnection>;

  /** Callbacks, called one at a time on the connection's executor. */
  struct Events
  {
    /** Called for each frame; its payload is valid during the call. */
    std::function<void(const Ptr&, const Frame&)> mFrame;
    /** Called last, when the connection has ended. The error is Malformed or
     * TooLarge if the peer's bytes were rejected. */
    std::function<void(const Ptr&, const Error&)> mClosed;
  };

  /** Bytes that may be queued for a slow peer. Above it the connection is
   * closed, since a peer that reads nothing would exhaust the memory. */
  static constexpr std::size_t kMaxQueuedBytes = std::size_t{ 8 } * 1024 * 1024;

  ControlConnection(boost::asio::ip::tcp::socket aSocket, Events aEvents);
  ~ControlConnection();

  /** Starts reading. Preconditions: called once, the socket is connected and
   * its executor is a strand. */
  void Start();

  /** Queues a frame; frames are sent in order. Thread safe. */
  void Send(MessageKind aKind, ByteView aPayload);

  /** Closes the connection after the queued frames are written. Thread safe.
   */
  void Close();

  /** The peer's address. */
  Address Remote() const;

  /** Bytes sent and received so far. Thread safe. */
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
