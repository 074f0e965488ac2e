#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "review/standins/Packet.h"
#include "review/standins/Record.h"
#include "src/net/DatagramSocket.h"
#include "src/net/HttpClient.h"

namespace heatherplank::review {

/** A host as the protocol's page describes it: it answers opening packets, runs
 * one-packet HTTP requests in a few slots, returns packets of flows that it
 * does not hold, and sends its pings to the agent of its machine. */
class Host
{
public:
  struct Settings
  {
    std::string mName;
    std::string mId;
    std::string mService;
    std::string mZone;
    Address mApp;
    Address mOutbound;
    Address mControl;
    Duration mHeartbeat = std::chrono::milliseconds(1200);
    Duration mWork = std::chrono::milliseconds(20);
    /** How long a draining host serves after the acknowledgement. */
    Duration mServesAfterDrain = std::chrono::milliseconds(6000);
    std::size_t mSlots = 2;
  };
  /** What the host saw of requests; called on its executor. */
  struct Observer
  {
    /** A flow's opening packet was taken. */
    std::function<void(const Host&, const FlowKey&)> mOnOpening;
    /** A packet other than an opening one arrived, held or not. */
    std::function<void(const Host&, const FlowKey&)> mOnPacket;
    /** Work on a request began. */
    std::function<void(const Host&, const FlowKey&,
                       const std::string& aAttempt)>
      mOnRun;
  };

  Host(boost::asio::any_io_executor aExecutor, const Settings& aSettings,
       Record& aRecord, Observer aObserver, std::uint64_t aSeed);
  ~Host();

  bool Listen();
  /** Begins a boot: no flows, Seq from 1, born now. */
  void Start();
  /** Reports draining; the host ends itself some time after the answer. */
  void Drain();

  bool IsAlive() const { return mAlive; }
  /** Whether this boot has the end of the flow's handshake and neither end has
   * closed the flow. */
  bool HoldsOpen(const FlowKey& aFlow) const;
  /** Whether this host has sent a reset of its own on the flow. */
  bool HasReset(const FlowKey& aFlow) const;
  std::optional<Time> DrainAcknowledgedAt() const { return mDrainAckAt; }
  const Settings& Config() const { return mSettings; }

private:
  struct Flow
  {
    std::uint32_t mInitial = 0;
    /** Next byte expected from the client, next to send, and acknowledged. */
    std::uint32_t mReceived = 0;
    std::uint32_t mNext = 0;
    std::uint32_t mAcked = 0;
    std::uint32_t mClientInitial = 0;
    bool mOpen = false;
    bool mPeerClosed = false;
    bool mClosed = false;
    bool mReset = false;
    /** Sent and not acknowledged. */
    std::deque<Packet> mUnacked;
    bool IsEnded() const { return (mPeerClosed && mClosed) || mReset; }
  };
  struct Work
  {
    FlowKey mFlow;
    std::string mAttempt;
  };

  void OnDatagram(ByteView aBytes);
  void OnOpening(const FlowKey& aKey, const Packet& aPacket);
  void OnPacket(const FlowKey& aKey, const Packet& aPacket, Flow& aFlow);
  void OnRequest(const FlowKey& aKey, const std::string& aText);
  void RunNext();
  void Finish(const Work& aWork);
  Packet MakePacket(const FlowKey& aKey, const Flow& aFlow,
                    std::uint8_t aFlags) const;
  void SendReliably(const FlowKey& aKey, Flow& aFlow, Packet aPacket);
  void Retransmit(const FlowKey& aKey, std::uint32_t aSequence, int aTry,
                  Duration aDelay);
  void Ping();
  void End();
  void RunAfter(Duration aDelay, std::function<void()> aTask);

  boost::asio::any_io_executor mExecutor;
  const Settings mSettings;
  Record& mRecord;
  Observer mObserver;
  std::mt19937_64 mRandom;
  std::shared_ptr<DatagramSocket> mSocket;
  std::shared_ptr<HttpClient> mAgent;
  boost::asio::steady_timer mPingTimer;
  std::map<FlowKey, Flow> mFlows;
  std::deque<Work> mQueue;
  std::size_t mRunning = 0;
  bool mAlive = false;
  bool mDraining = false;
  std::uint64_t mBoot = 0;
  std::int64_t mBorn = 0;
  std::uint64_t mPings = 0;
  std::optional<Time> mDrainAckAt;
};

} // namespace heatherplank::review
