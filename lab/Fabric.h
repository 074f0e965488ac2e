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

/** Stand-in of the fabric: hands each datagram of a caller to a balancer by a
 * seeded random choice, and answers back to the caller from the service's
 * address; delays, loses and reorders both. Not thread safe: belongs to an
 * executor of one thread.
 */
class Fabric
{
public:
  Fabric(const boost::asio::any_io_executor& aExecutor, const FabricSpec& aSpec,
         std::uint64_t aSeed);
  ~Fabric();

  /** Opens an address towards callers and gives it. */
  Address AddService();

  /** The balancers' tunnel addresses that packets go to from now on. */
  void SetBalancers(std::vector<Address> aBalancers)
  {
    mBalancers = std::move(aBalancers);
  }

  /** Answers to an address that no service has, or that did not decode. */
  std::size_t Strays() const { return mStrays; }

private:
  struct Port;

  void Receive(Port& aPort);
  void ReceiveAnswer();
  void OnDatagram(Port& aPort, std::size_t aSize);
  void OnAnswer(ByteView aDatagram);
  /** Sends by way of a socket, after what the fabric does to a datagram. */
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
