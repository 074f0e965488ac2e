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
#include "review/standins/Packet.h"
#include "review/standins/Record.h"
#include "src/net/DatagramSocket.h"

namespace heatherplank::review {

/** Clients at one address, as the protocol's page describes them: copies of the
 * opening packet after 200 and 600 ms, one request at a time on a flow, and a
 * time budget for each request. Every request is unsafe: a client sends it
 * again only after a flow that never opened. */
class Clients
{
public:
  /** How a client's attempt ended. */
  enum class Outcome : std::uint8_t
  {
    Pending,
    Answered,
    /** Reset or no answer before the flow opened: it has not run. */
    NotOpened,
    /** A reset on the open flow. */
    Reset,
    /** No answer within the time budget. */
    TimedOut,
  };
  struct Flow
  {
    FlowKey mKey;
    int mRequestsLeft = 1;
    std::string mAttempt;
    Outcome mOutcome = Outcome::Pending;
    bool mAccepted = false;
    bool mDone = false;
    std::uint32_t mInitial = 0;
    std::uint32_t mNext = 0;
    std::uint32_t mReceived = 0;
    /** The request or FIN that is not acknowledged. */
    Packet mUnacked;
    bool mIsAcked = true;
    bool mSentFin = false;
    bool mGotFin = false;
    std::uint64_t mOpenedAs = 0;
    Time mEndedAt{};
  };
  struct Observer
  {
    std::function<void(const FlowKey&, const Bytes&)> mSend;
    /** A reset arrived. aIsSystems: its sum is 0. */
    std::function<void(const Flow&, bool aIsSystems)> mOnReset;
    /** An attempt ended. */
    std::function<void(const Flow&)> mOnEnd;
  };

  Clients(boost::asio::any_io_executor aExecutor, const Address& aAddress,
          Record& aRecord, Observer aObserver, std::uint64_t aSeed);
  ~Clients();

  bool Listen();

  /** Opens a flow from a port to a route and sends so many requests on it, with
   * pauses. Precondition: an earlier flow from the port has ended. */
  void Open(std::uint16_t aPort, const Address& aRoute, int aRequests);

  /** Whether no flow from the port is in use, for at least aFor. */
  bool IsFree(std::uint16_t aPort, const Address& aRoute, Duration aFor) const;

  /** Pauses between the requests on a flow. */
  void SetPauses(Duration aMin, Duration aMax)
  {
    mMinPause = aMin;
    mMaxPause = aMax;
  }

  std::uint64_t Count(Outcome aOutcome) const
  {
    auto it = mCounts.find(aOutcome);
    return it == mCounts.end() ? 0 : it->second;
  }

private:
  void OnDatagram(ByteView aBytes);
  void OnReset(Flow& aFlow, const Packet& aPacket);
  void OnPacket(Flow& aFlow, const Packet& aPacket);
  void SendOpening(const Flow& aFlow, std::uint32_t aCopy);
  void SendRequest(Flow& aFlow);
  void SendReliably(Flow& aFlow, Packet aPacket);
  void Retransmit(const FlowKey& aKey, std::uint64_t aOpenedAs,
                  std::uint32_t aSequence, Duration aDelay);
  void SendAck(Flow& aFlow);
  Packet MakePacket(const Flow& aFlow, std::uint8_t aFlags) const;
  void End(Flow& aFlow, Outcome aOutcome);
  void Close(Flow& aFlow);
  /** Runs aTask unless the flow has ended or its port was used again. */
  void RunAfter(Duration aDelay, const Flow& aFlow,
                std::function<void(Flow&)> aTask);

  boost::asio::any_io_executor mExecutor;
  const Address mAddress;
  Record& mRecord;
  Observer mObserver;
  std::mt19937_64 mRandom;
  std::shared_ptr<DatagramSocket> mSocket;
  std::map<FlowKey, Flow> mFlows;
  std::map<Outcome, std::uint64_t> mCounts;
  std::uint64_t mOpened = 0;
  std::uint64_t mAttempts = 0;
  Duration mMinPause{};
  Duration mMaxPause{};
};

const char* ToString(Clients::Outcome aOutcome);

} // namespace heatherplank::review
