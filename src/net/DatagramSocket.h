#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/wire/Frame.h"

namespace heatherplank {

class CutList;

/** A bound UDP socket. */
class DatagramSocket : public std::enable_shared_from_this<DatagramSocket>
{
public:
  /** Called for each datagram and its sender, one call at a time; the view is
   * valid during the call. */
  using Handler = std::function<void(ByteView, const Address&)>;

  /** Binds; port 0 selects a free port. Fails with System if aListen can't be
   * bound. aCuts may be null; otherwise it must outlive the socket.
   */
  static Result<std::shared_ptr<DatagramSocket>> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aListen,
    const CutList* aCuts);

  ~DatagramSocket();

  /** Starts receiving. Precondition: called once. */
  void Start(Handler aHandler);

  /** Passes queued datagrams, up to one batch, to the handler. Must be called
   * on the executor's thread and not from the handler. */
  void ReadNow();

  /** Sends without blocking; false if the system did not accept the datagram.
   * The caller counts such failures; UDP may lose accepted datagrams as well.
   * Thread safe.
   */
  bool Send(ByteView aDatagram, const Address& aTo);

  Address Local() const;

  /** Stops receiving. Thread safe. */
  void Stop();

private:
  struct Impl;
  explicit DatagramSocket(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
