#include "src/process/ProcessPorts.h"

namespace heatherplank {

Result<std::shared_ptr<DatagramSocket>> OpenPorts(const ProcessPorts& aPorts)
{
  auto tunnel =
    DatagramSocket::Make(aPorts.mExecutor, aPorts.mTunnel, &aPorts.mCuts);
  if (!tunnel) {
    return tunnel;
  }
  auto listening = aPorts.mLinks.Listen();
  if (!listening) {
    return tl::unexpected(listening.error());
  }
  if (aPorts.mFaultInjection) {
    aPorts.mAdmin.MountFaults(aPorts.mCuts);
  }
  return tunnel;
}

} // namespace heatherplank
