#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "src/net/ControlConnection.h"

namespace heatherplank {

/** Takes control connections from our other processes. */
class ControlServer : public std::enable_shared_from_this<ControlServer>
{
public:
  /** Binds at once; port 0 takes a free one. System if it can't be bound. */
  static Result<std::shared_ptr<ControlServer>> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aListen,
    ControlConnection::Events aEvents);

  ~ControlServer();

  Address Local() const;

  /** Takes no new connection; the present ones go on. Thread safe. */
  void Stop();

private:
  struct Impl;
  explicit ControlServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
