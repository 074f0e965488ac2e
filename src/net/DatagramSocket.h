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
  /** Called for each datagram, one at a time; the view is valid during the
   * call. */
  using Handler = std::function<void(ByteView, const Address&)>;

  /** Binds at once; port 0 takes a free one. System if it can't be bound.
   * aCuts may be null; otherwise it must outlive the socket.
   */
  static Result<std::shared_ptr<DatagramSocket>> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aListen,
    const CutList* aCuts);

  ~DatagramSocket();

  /** Begins to receive. Precondition: called once. */
  void Start(Handler aHandler);

  /** Handles what has come and was not read yet. Call it on the executor's
   * thread, not from the handler. */
  void ReadNow();

  /** Sends without waiting; false if the system took nothing (counted by the
   * caller; UDP may lose datagrams anyway). Thread safe.
   */
  bool Send(ByteView aDatagram, const Address& aTo);

  Address Local() const;

  /** Receives nothing more. Thread safe. */
  void Stop();

private:
  struct Impl;
  explicit DatagramSocket(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
