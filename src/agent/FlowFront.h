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

/** The agent's first filters, from a datagram to a request that this host owns
 * (receive, own), and its last, from an answer to the caller. It carries out
 * what Ownership decides. Thread safe: flows are in shards by their hash, each
 * under its own lock, and no lock is held while the pipeline or a socket is
 * called.
 */
class FlowFront final : public RequestOutput
{
public:
  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    DatagramSocket& mTunnel;
    /** Load and slow start of a candidate. */
    OwnerPicker::Observe mObserve;
    /** Sends a hand-off that is too large for a datagram to the control
     * address of a member. */
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

  FlowFront(Parts aParts, const Options& aOptions);
  ~FlowFront() override;

  /** Precondition: called once, before any packet. */
  void SetPipeline(RequestPipeline& aPipeline);

  /** Puts the service's addresses and the policy in force. */
  void SetService(const Service& aService, std::string_view aPolicy);

  /** Takes a datagram of kind Packet or of a kind that agents exchange about
   * flows; false if it is of another kind. Malformed ones are counted. */
  bool OnDatagram(const Frame& aFrame);

  /** Takes a hand-off that came over a control connection. */
  void OnHandOffFrame(ByteView aPayload);

  /** Takes the present view; see Ownership::OnView. */
  void OnView(const ServiceViewPtr& aView, Time aConfirmedAt);

  /** Adopts nothing from now on, and hands its flows to others. */
  void Drain();

  /** Call every 25 ms. */
  void Tick();

  /** Flows that this host owns. */
  std::size_t FlowCount();

  void OnAnswer(const PendingRequestPtr& aRequest, Answer aAnswer) override;
  bool OnHandOn(const PendingRequestPtr& aRequest, HostId aTarget) override;

  /** Shards an agent has; the same at all agents of a service, since a message
   * about several flows is for one shard. */
  static constexpr std::size_t kShards = 8;

private:
  FlowShard& ShardOf(const FlowKey& aFlow);
  void OnPacket(const Packet& aPacket);
  void OnMessage(const OwnershipMessage& aMessage);
  bool IsConfigured() const;
  bool IsForThisService(const Packet& aPacket) const;
  void RunLent(const Packet& aPacket);
  void Carry(FlowShard& aShard, const OwnershipActions& aActions,
             ByteView aHandOffState, FlowEffects& aEffects);
  void TakeOwned(FlowShard& aShard, const DispatchPacket& aDispatch,
                 FlowEffects& aEffects);
  void TakeRequest(FlowShard& aShard, const HeldPacket& aPacket,
                   FlowEpoch aEpoch, bool aLent, FlowEffects& aEffects);
  bool PassToLender(FlowShard& aShard, const HeldPacket& aPacket,
                    FlowEpoch aEpoch, const std::string& aRequestId,
                    FlowEffects& aEffects);
  void Forward(FlowShard& aShard, const ForwardPacket& aForward,
               FlowEffects& aEffects);
  void RefuseHeld(FlowShard& aShard, const RefusePacket& aRefuse,
                  FlowEffects& aEffects);
  void RefuseRequest(FlowShard& aShard, const HeldPacket& aPacket,
                     std::string_view aReason, Duration aRetryAfter,
                     FlowEffects& aEffects);
  void PutAnswer(const HeldPacket& aPacket, const Answer& aAnswer,
                 const std::string& aRequestId, FlowEpoch aEpoch,
                 const std::optional<ByteRange>& aRange, FlowEffects& aEffects);
  void SendHandOff(const ExportFlow& aExport, Bytes aState,
                   FlowEffects& aEffects);
  void Perform(const FlowEffects& aEffects);
  Address ControlOf(const Address& aTunnel) const;
  ServiceViewPtr CurrentView() const;
  static void ExpireLent(FlowShard& aShard, Time aNow);
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
  Counter& mRepeats;
  Counter& mResent;
  std::vector<std::uint64_t> mExported;
};

} // namespace heatherplank
