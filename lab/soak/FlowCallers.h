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

/** Callers that open a flow each and send one request, as the platform's
 * contract has it: copies of the opening packet, repeats of the request. Runs
 * on one thread, that of its executor.
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
    Time mBegan{};
  };
  /** Sends a caller's packet into the fabric. */
  using ToFabric = std::function<void(const FlowKey&, const Bytes&)>;
  /** Called as a reset arrives at a call that has not ended. */
  using OnReset = std::function<void(const Call&)>;

  FlowCallers(const boost::asio::any_io_executor& aExecutor,
              const Address& aAddress, ToFabric aToFabric, OnReset aOnReset);
  ~FlowCallers();

  Result<void> Listen();

  /** Opens a flow to an address from a new port; gives its key. */
  FlowKey Begin(const Address& aService);

  /** Sends one more request on a flow that was accepted. */
  void Ask(const FlowKey& aFlow);

  const std::map<FlowKey, Call>& Calls() const { return mCalls; }
  std::uint64_t Answered() const { return mAnswered; }
  std::uint64_t Refused() const { return mRefused; }

private:
  void Take(ByteView aDatagram);
  void SendOpening(const FlowKey& aFlow, int aCopy);
  void SendRequest(const FlowKey& aFlow, int aTries, Duration aAgainAfter);
  void Later(Duration aAfter, std::function<void()> aWhat);

  boost::asio::any_io_executor mExecutor;
  const Address mAddress;
  ToFabric mToFabric;
  OnReset mOnReset;
  std::shared_ptr<DatagramSocket> mSocket;
  std::map<FlowKey, Call> mCalls;
  std::uint16_t mNextPort = 10000;
  std::uint64_t mAnswered = 0;
  std::uint64_t mRefused = 0;
};

} // namespace heatherplank::lab
