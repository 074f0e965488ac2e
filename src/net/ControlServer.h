#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "src/net/ControlConnection.h"

namespace heatherplank {

/** Accepts control connections from other heatherplank processes. */
class ControlServer : public std::enable_shared_from_this<ControlServer>
{
public:
  /** Binds and listens; port 0 selects a free port. Fails with System if
   * aListen can't be bound. */
  static Result<std::shared_ptr<ControlServer>> Make(
    const boost::asio::any_io_executor& aExecutor, const Address& aListen,
    ControlConnection::Events aEvents);

  ~ControlServer();

  Address Local() const;

  /** Stops accepting; open connections remain. Thread safe. */
  void Stop();

private:
  struct Impl;
  explicit ControlServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
