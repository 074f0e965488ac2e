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
 * unanswered request is retried. On a long flow, requests follow with pauses
 * for as long as the flow is open, each retried until it is answered.
 * Single-threaded: used only on its executor's thread.
 */
class FlowCallers
{
public:
  struct Call
  {
    FlowKey mFlow;
    bool mIsLong = false;
    bool mAccepted = false;
    /** Whether the first request was answered. */
    bool mAnswered = false;
    bool mEnded = false;
    std::uint32_t mHostSequence = 0;
    Time mStartTime{};
    /** Number of the current request, from 0. */
    std::uint32_t mRequest = 0;
    bool mRequestAnswered = false;
    /** When the current request was first sent. */
    Time mRequestTime{};
  };
  /** Sends a caller's packet into the fabric. */
  using FabricSender = std::function<void(const FlowKey&, const Bytes&)>;
  /** Called when a reset arrives for a call that has not ended. */
  using OnReset = std::function<void(const Call&)>;

  FlowCallers(const boost::asio::any_io_executor& aExecutor,
              const Address& aAddress, std::uint64_t aSeed,
              FabricSender aSendToFabric, OnReset aOnReset);
  ~FlowCallers();

  Result<void> Listen();

  /** Opens a flow to a service address from a new caller port. Returns its key.
   */
  FlowKey OpenFlow(const Address& aService, bool aIsLong = false);

  /** Sends the packet of an accepted flow's current request once more. */
  void SendRequest(const FlowKey& aFlow);

  const std::map<FlowKey, Call>& Calls() const { return mCalls; }
  std::uint64_t Answered() const { return mAnswered; }
  std::uint64_t Refused() const { return mRefused; }
  /** Requests on open flows: all but the first one of each flow. */
  std::uint64_t RequestsOnOpenFlows() const { return mRequests; }

private:
  void HandleDatagram(ByteView aDatagram);
  void SendOpening(const FlowKey& aFlow, int aCopy);
  void StartRequest(Call& aCall);
  void SendRequestWithRetries(const FlowKey& aFlow, std::uint32_t aRequest,
                              int aTriesLeft, Duration aRetryDelay);
  void HandleAnswer(Call& aCall);
  void RunAfter(Duration aDelay, std::function<void()> aTask);

  boost::asio::any_io_executor mExecutor;
  const Address mAddress;
  FabricSender mSendToFabric;
  OnReset mOnReset;
  std::mt19937_64 mRandom;
  std::shared_ptr<DatagramSocket> mSocket;
  std::map<FlowKey, Call> mCalls;
  std::uint16_t mNextPort = 10000;
  std::uint64_t mAnswered = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mRequests = 0;
};

} // namespace heatherplank::lab
