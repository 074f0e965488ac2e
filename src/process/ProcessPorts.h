#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/net/CutList.h"
#include "src/net/DatagramSocket.h"
#include "src/process/AdminServer.h"
#include "src/process/ControlLinks.h"

namespace heatherplank {

/** What a process opens its ports with. All references must outlive the call.
 */
struct ProcessPorts
{
  boost::asio::any_io_executor mExecutor;
  /** UDP address at which other processes reach this one. */
  Address mTunnel;
  CutList& mCuts;
  ControlLinks& mLinks;
  AdminServer& mAdmin;
  /** Experiments only: the admin server accepts simulated partitions. */
  bool mFaultInjection = false;
};

/** Binds the tunnel's socket, which is returned, and listens for control
 * connections. The admin server is prepared but not started, so that the caller
 * may mount further handlers. System, with the remedy, if a port can't be
 * opened. Not thread safe. */
Result<std::shared_ptr<DatagramSocket>> OpenPorts(const ProcessPorts& aPorts);

} // namespace heatherplank
