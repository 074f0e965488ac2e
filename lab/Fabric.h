#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "include/heatherplank/Types.h"
#include "lab/Scenario.h"
#include "src/wire/Frame.h"

namespace heatherplank::lab {

/** Simulates the fabric: forwards each datagram of a caller to a randomly
 * chosen balancer (seeded), and each answer to the caller from the service's
 * address; delays, drops and reorders both. Not thread safe: used only on the
 * thread of the executor.
 */
class Fabric
{
public:
  Fabric(const boost::asio::any_io_executor& aExecutor, const FabricSpec& aSpec,
         std::uint64_t aSeed);
  ~Fabric();

  /** Opens a service address for callers and returns it. */
  Address AddService();

  /** Sets the tunnel addresses of the balancers that receive packets. */
  void SetBalancers(std::vector<Address> aBalancers)
  {
    mBalancers = std::move(aBalancers);
  }

  /** Number of answers that were malformed or had an unknown source address. */
  std::size_t Strays() const { return mStrays; }

private:
  struct Port;

  void Receive(Port& aPort);
  void ReceiveAnswer();
  void OnDatagram(Port& aPort, std::size_t aSize);
  void OnAnswer(ByteView aDatagram);
  /** Sends a datagram through aPort after delay, loss and reordering. */
  void Send(Port& aPort, Bytes aDatagram, const Address& aTo);

  boost::asio::any_io_executor mExecutor;
  FabricSpec mSpec;
  std::mt19937_64 mRandom;
  std::map<Address, std::unique_ptr<Port>> mPorts;
  std::unique_ptr<Port> mReturn;
  std::vector<Address> mBalancers;
  std::size_t mStrays = 0;
};

} // namespace heatherplank::lab
