#pragma once

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** A TCP connection between two of our processes that carries frames. */
class ControlConnection : public std::enable_shared_from_this<ControlConnection>
{
public:
  using Ptr = std::shared_ptr<ControlConnection>;

  /** What the holder of a connection hears; one call at a time, on the
   * connection's executor. */
  struct Events
  {
    /** A whole frame; its payload is valid during the call. */
    std::function<void(const Ptr&, const Frame&)> mFrame;
    /** The connection ended; none of the others follow. The error is
     * Malformed or TooLarge if the peer's bytes were refused. */
    std::function<void(const Ptr&, const Error&)> mClosed;
  };

  /** Bytes that may wait for a slow peer; beyond it the connection is closed,
   * since a peer that reads nothing would otherwise take the memory. */
  static constexpr std::size_t kMaxQueued = std::size_t{ 8 } * 1024 * 1024;

  ControlConnection(boost::asio::ip::tcp::socket aSocket, Events aEvents);
  ~ControlConnection();

  /** Begins to read. Precondition: called once, the socket is connected and
   * its executor is a strand. */
  void Start();

  /** Sends a frame in order. Thread safe. */
  void Send(MessageKind aKind, ByteView aPayload);

  /** Closes after what was sent so far is written. Thread safe. */
  void Close();

  /** The peer's address of this connection. */
  Address Remote() const;

  /** Bytes sent and received so far. Thread safe. */
  std::uint64_t BytesSent() const;
  std::uint64_t BytesReceived() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
