#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/agent/FlowShard.h"
#include "src/agent/RequestPipeline.h"

namespace heatherplank {

class DatagramSocket;
class PolicyMeter;
struct FlowEffects;

/** Receives the datagrams of flows, starts the requests that this host is to
 * run and sends answers to callers. It executes the actions of Ownership.
 * Thread safe: flows are split into shards by hash, each with its own lock, and
 * no lock is held during calls to the pipeline or a socket.
 */
class FlowHandler final : public RequestOutput
{
public:
  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    DatagramSocket& mTunnel;
    /** Returns the load and weight of a member as a candidate. */
    OwnerPicker::CandidateFactory mMakeCandidate;
    /** Sends a hand-off that is too large for a datagram to a member's control
     * address. */
    std::function<void(const Address&, const Bytes&)> mSendByControl;
    PolicyMeter& mMeter;
  };
  struct Options
  {
    Member mSelf;
    std::string mServiceName;
    std::size_t mMaxFlows = 50000;
    std::size_t mMaxAnswerBytes = 16777216;
    OwnershipOptions mOwnership;
  };

  FlowHandler(Parts aParts, const Options& aOptions);
  ~FlowHandler() override;

  /** Precondition: called once, before any packet. */
  void SetPipeline(RequestPipeline& aPipeline);

  /** Applies the service's addresses and the balancing policy. */
  void SetService(const Service& aService, std::string_view aPolicy);

  /** Handles a datagram with a packet or an ownership message. Returns false if
   * it is of another kind. Malformed datagrams are counted. */
  bool OnDatagram(const Frame& aFrame);

  /** Handles a hand-off that arrived over a control connection. */
  void OnHandOffFrame(ByteView aPayload);

  /** Handles the current view; see Ownership::OnView. */
  void OnView(const ServiceViewPtr& aView, Time aConfirmedAt);

  /** Stops adopting flows and hands off those that this host owns. */
  void Drain();

  /** Call every 25 ms. */
  void Tick();

  /** Number of flows that this host owns. */
  std::size_t FlowCount();

  void OnAnswer(const PendingRequestPtr& aRequest, Answer aAnswer) override;
  bool OnForward(const PendingRequestPtr& aRequest, HostId aTarget) override;

  /** Shards of an agent. Must be equal at all agents of a service, since all
   * flows that a message names must be in one shard. */
  static constexpr std::size_t kShards = 8;

private:
  FlowShard& ShardOf(const FlowKey& aFlow);
  void OnPacket(const Packet& aPacket);
  void OnMessage(const OwnershipMessage& aMessage);
  bool IsConfigured() const;
  bool IsForThisService(const Packet& aPacket) const;
  void OnLentPacket(const Packet& aPacket);
  /** Execute to SendHandOff: the lock of aShard must be held; I/O and pipeline
   * calls are deferred to aEffects. */
  void Execute(FlowShard& aShard, const OwnershipActions& aActions,
               ByteView aHandOffState, FlowEffects& aEffects);
  void StartOwnedRequest(FlowShard& aShard, const DispatchPacket& aDispatch,
                         FlowEffects& aEffects);
  void HandleRequest(FlowShard& aShard, const HeldPacket& aPacket,
                     FlowEpoch aEpoch, bool aLent, FlowEffects& aEffects);
  /** Forwards a copy of a request, or its cancellation, to the host that the
   * request was lent to (FlowShard::LentRequest). Returns false if it was not
   * lent, or the borrower has left the view. */
  bool ForwardToBorrower(FlowShard& aShard, const HeldPacket& aPacket,
                         FlowEpoch aEpoch, const std::string& aRequestId,
                         FlowEffects& aEffects);
  void Forward(FlowShard& aShard, const ForwardPacket& aForward,
               FlowEffects& aEffects);
  void RefuseHeld(FlowShard& aShard, const RefusePacket& aRefuse,
                  FlowEffects& aEffects);
  void RefuseRequest(FlowShard& aShard, const HeldPacket& aPacket,
                     std::string_view aReason, Duration aRetryAfter,
                     FlowEffects& aEffects);
  void QueueAnswer(const HeldPacket& aPacket, const Answer& aAnswer,
                   const std::string& aRequestId, FlowEpoch aEpoch,
                   const std::optional<ByteRange>& aRange,
                   FlowEffects& aEffects);
  void SendHandOff(const ExportFlow& aExport, Bytes aState,
                   FlowEffects& aEffects);
  void Perform(const FlowEffects& aEffects);
  Address ControlOf(const Address& aTunnel) const;
  ServiceViewPtr CurrentView() const;
  static void ExpireLentRequests(FlowShard& aShard, Time aNow);
  void ExportCounters();

  Parts mParts;
  Options mOptions;
  RequestPipeline* mPipeline = nullptr;
  std::vector<std::unique_ptr<FlowShard>> mShards;
  std::atomic<PacketToken> mNextToken{ 1 };
  std::atomic<std::uint64_t> mTicks{ 0 };

  mutable std::mutex mServiceLock;
  std::set<Address> mAddresses;
  ServiceViewPtr mView;

  Counter& mMalformed;
  Counter& mNotReady;
  Counter& mWrongService;
  Counter& mRepeatedInProgress;
  Counter& mRepeatedAnswered;
  /** Ownership counters at the last export. */
  std::vector<std::uint64_t> mExported;
};

} // namespace heatherplank
