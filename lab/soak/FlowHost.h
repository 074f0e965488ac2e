#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/net/DatagramSocket.h"
#include "src/net/HttpClient.h"
#include "src/passthrough/HostAnnouncement.h"

namespace heatherplank::lab {

/** A simulated host in the lab's process that follows the platform's contract:
 * it accepts a flow for each opening packet, answers each request after a
 * random delay, returns packets of flows that it does not hold, and announces
 * itself to its agent. Single-threaded: used only on its executor's thread.
 */
class FlowHost
{
public:
  struct Settings
  {
    std::string mName;
    std::string mService;
    /** Where the host receives packets. */
    Address mInbox;
    /** Where it sends packets to: the agent's socket. */
    Address mOutbox;
    /** Where it sends its announcements to: the agent's HTTP server. */
    Address mAgentApi;
    Duration mHeartbeatInterval = std::chrono::milliseconds(400);
  };
  /** Called for each packet that the host receives, before it handles it. */
  using OnPacket = std::function<void(ByteView)>;

  FlowHost(const boost::asio::any_io_executor& aExecutor,
           const Settings& aSettings, std::uint64_t aSeed, OnPacket aOnPacket);
  ~FlowHost();

  Result<void> Listen();

  /** Starts a new incarnation, without the flows of the previous one. */
  void Start();
  /** Ends at once, without notifying the agent. */
  void Crash();
  /** Announces that it drains. Its open flows stay. */
  void Drain();

  bool IsAlive() const { return mAlive; }
  /** Number of the current incarnation, from 1; 0 before the first Start. */
  int Incarnation() const { return mIncarnation; }
  /** When the agent first acknowledged that this host drains. */
  std::optional<Time> DrainAcknowledgedAt() const
  {
    return mDrainAcknowledgedAt;
  }
  const std::string& Service() const { return mSettings.mService; }

  /** The incarnation that holds the flow open, or 0 if the host is down or the
   * flow is not open. */
  int OpenFlowIncarnation(const FlowKey& aFlow) const;
  bool HasFlow(const FlowKey& aFlow) const { return mFlows.contains(aFlow); }
  /** Whether a packet of a flow that the host holds, other than an opening
   * packet, arrived since the last ClearReceived. */
  bool ReceivedPacketOf(const FlowKey& aFlow) const
  {
    return mReceived.contains(aFlow);
  }
  void ClearReceived() { mReceived.clear(); }

private:
  struct Flow
  {
    std::uint32_t mSequence = 0;
    bool mOpen = false;
  };

  void HandleDatagram(ByteView aDatagram);
  /** Answers a request: the answer starts at what the request acknowledges. */
  void SendResponse(const FlowKey& aFlow, std::uint32_t aSequence,
                    std::uint32_t aAcknowledged);
  void Announce();
  void ScheduleAnnouncement();

  const Settings mSettings;
  boost::asio::any_io_executor mExecutor;
  OnPacket mOnPacket;
  std::shared_ptr<DatagramSocket> mSocket;
  std::shared_ptr<HttpClient> mClient;
  boost::asio::steady_timer mHeartbeatTimer;
  std::mt19937_64 mRandom;
  std::map<FlowKey, Flow> mFlows;
  std::set<FlowKey> mReceived;
  bool mAlive = false;
  int mIncarnation = 0;
  std::uint64_t mHeartbeats = 0;
  HostPhase mPhase = HostPhase::Ready;
  std::optional<Time> mDrainAcknowledgedAt;
};

} // namespace heatherplank::lab
