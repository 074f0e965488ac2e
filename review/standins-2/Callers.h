#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "review/standins-2/Fabric.h"
#include "review/standins-2/Record.h"
#include "src/net/DatagramSocket.h"
#include "src/passthrough/PacketFormat.h"

namespace heatherplank::review {

/** Callers at one IP address. They open flows by opening packets that they
 * repeat after 200 and 600 ms, send requests, repeat what is not answered, and
 * close flows. */
class Callers
{
public:
  /** How a flow is used. */
  enum class Habit : std::uint8_t
  {
    /** One request, then the caller closes the flow. */
    Single,
    /** Requests with pauses between them for as long as the flow is open. When
     * the host has closed it, the next request opens a new one from the same
     * port. */
    Kept,
  };

  struct Flow
  {
    FlowKey mKey;
    Habit mHabit = Habit::Single;
    /** Distinguishes the flows that one port opened in turn. */
    int mNumber = 0;
    Time mOpenedAt{};
    std::uint32_t mSequence = 0;
    std::uint32_t mHostSequence = 0;
    std::uint32_t mNext = 0;
    std::uint32_t mExpected = 0;
    bool mAccepted = false;
    bool mEnded = false;
    bool mFinSent = false;
    bool mWaits = false;
    int mRequest = 0;
    Bytes mLastRequest;
  };

  /** Called with a flow that was accepted, before it ends because of a reset.
   */
  using OnReset = std::function<void(const Flow&, std::uint32_t)>;

  Callers(const boost::asio::any_io_executor& aExecutor,
          const Address& aAddress, std::uint64_t aSeed, Fabric& aFabric,
          Record& aRecord, OnReset aOnReset);
  ~Callers();

  Result<void> Listen();

  /** Opens a flow from a port that was not used before. */
  void Open(const Address& aRoute, Habit aHabit);

  /** Each flow of habit Kept is followed by one from a new port. */
  void UseNewPorts() { mUsesNewPorts = true; }

  /** No flow opens another one from now on. */
  void Stop() { mStopped = true; }

  /** When the caller sent the first opening packet of the flow that its port
   * opened last; zero if there is none. */
  Time OpenedAt(const FlowKey& aFlow) const;

  std::size_t Answered() const { return mAnswered; }
  std::size_t Requests() const { return mRequests; }

private:
  void Begin(Flow& aFlow);
  void SendOpening(const FlowKey& aKey, int aNumber, std::uint32_t aCopy);
  void SendRequest(Flow& aFlow);
  void Repeat(const FlowKey& aKey, int aNumber, int aRequest, Duration aAfter);
  void HandleDatagram(ByteView aDatagram);
  void HandlePacket(Flow& aFlow, const FlowPacket& aPacket);
  void OnAnswer(Flow& aFlow);
  void NextRequestAfterPause(Flow& aFlow);
  void End(Flow& aFlow);
  void Send(const Flow& aFlow, ByteView aPacket);
  void RunAfter(Duration aDelay, std::function<void()> aTask);

  boost::asio::any_io_executor mExecutor;
  const Address mAddress;
  Fabric& mFabric;
  Record& mRecord;
  const OnReset mOnReset;
  std::shared_ptr<DatagramSocket> mSocket;
  std::mt19937_64 mRandom;
  std::map<FlowKey, Flow> mFlows;
  std::uint16_t mNextPort = 20000;
  std::size_t mAnswered = 0;
  std::size_t mRequests = 0;
  bool mStopped = false;
  bool mUsesNewPorts = false;
};

} // namespace heatherplank::review
