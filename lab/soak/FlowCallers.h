#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/net/DatagramSocket.h"

namespace heatherplank::lab {

/** Simulated callers. Each opens a flow and sends one request as the platform's
 * contract prescribes: the opening packet is sent in up to three copies, and an
 * unanswered request is retried. Single-threaded: used only on its executor's
 * thread.
 */
class FlowCallers
{
public:
  struct Call
  {
    FlowKey mFlow;
    bool mAccepted = false;
    bool mAnswered = false;
    bool mEnded = false;
    std::uint32_t mHostSequence = 0;
    Time mStartTime{};
  };
  /** Sends a caller's packet into the fabric. */
  using FabricSender = std::function<void(const FlowKey&, const Bytes&)>;
  /** Called when a reset arrives for a call that has not ended. */
  using OnReset = std::function<void(const Call&)>;

  FlowCallers(const boost::asio::any_io_executor& aExecutor,
              const Address& aAddress, FabricSender aSendToFabric,
              OnReset aOnReset);
  ~FlowCallers();

  Result<void> Listen();

  /** Opens a flow to a service address from a new caller port. Returns its key.
   */
  FlowKey OpenFlow(const Address& aService);

  /** Sends a single request packet on an accepted flow, without retries. */
  void SendRequest(const FlowKey& aFlow);

  const std::map<FlowKey, Call>& Calls() const { return mCalls; }
  std::uint64_t Answered() const { return mAnswered; }
  std::uint64_t Refused() const { return mRefused; }

private:
  void HandleDatagram(ByteView aDatagram);
  void SendOpening(const FlowKey& aFlow, int aCopy);
  void SendRequestWithRetries(const FlowKey& aFlow, int aTriesLeft,
                              Duration aRetryDelay);
  void RunAfter(Duration aDelay, std::function<void()> aTask);

  boost::asio::any_io_executor mExecutor;
  const Address mAddress;
  FabricSender mSendToFabric;
  OnReset mOnReset;
  std::shared_ptr<DatagramSocket> mSocket;
  std::map<FlowKey, Call> mCalls;
  std::uint16_t mNextPort = 10000;
  std::uint64_t mAnswered = 0;
  std::uint64_t mRefused = 0;
};

} // namespace heatherplank::lab
