#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/FlowQueryRounds.h"
#include "src/wire/LocationMessages.h"

namespace heatherplank {

/** Connects FlowQueries to the network and to a balancer's other state. Called
 * synchronously; must not call FlowQueries. */
class FlowQueriesOutput
{
public:
  virtual ~FlowQueriesOutput() = default;

  virtual void SendQuery(const Address& aAgent, const FlowQuery& aQuery) = 0;
  /** A host holds the flow. */
  virtual void OnFound(const FlowKey& aFlow, HostId aHost, Time aNow) = 0;
  /** The agents aHosts cannot tell whether their hosts hold the flow. */
  virtual void OnUndecided(const FlowKey& aFlow,
                           std::span<const Address> aHosts) = 0;
  /** No host holds the flow; aReplies hosts have said so. The caller is to be
   * sent a reset. */
  virtual void OnHeldNowhere(const QueriedFlow& aFlow,
                             std::size_t aReplies) = 0;
  /** Whether an opening packet of the flow is unanswered. */
  virtual bool HasPendingOffer(const FlowKey& aFlow) const = 0;
  /** Up to aLimit hosts that most likely hold the flow: the best ranked ones of
   * the services that its route has had within the lifetime of a flow. */
  virtual std::vector<HostId> LikelyHosts(const FlowKey& aFlow,
                                          std::size_t aLimit) const = 0;
};

/** Conditions under which a flow that all hosts deny counts as held nowhere.
 * All are on in production; tests switch one off to reproduce the failure that
 * it prevents. */
struct FlowQueryGuards
{
  /** Every host in view has said that it does not hold the flow. */
  bool mRequireEveryHost = true;
  /** The view contains all hosts: see ViewCompleteness. */
  bool mRequireCompleteView = true;
  /** No host was recently declared dead: it may be alive behind a cut. */
  bool mCheckRecentDeaths = true;
  /** This process has not stalled recently. */
  bool mCheckStall = true;
  /** This balancer has no unanswered opening packet of the flow. */
  bool mCheckPendingOffer = true;
};

/** What a balancer knows of the completeness of its hosts. */
struct HostViewState
{
  bool mIsComplete = false;
  /** A host was declared dead within the lifetime of a flow and is not back. */
  bool mHasRecentDeaths = false;

  bool operator==(const HostViewState&) const = default;
};

/** Finds the hosts of flows by queries, in batches, and concludes for which
 * flows no host exists.
 *
 * Guards against: after a power loss callers send into flows that no host
 * holds, wait for their deadline, and each retransmission starts another
 * search. A flow that every host denies is reset, and each later packet of it
 * is answered by a reset without a query until an opening packet arrives.
 *
 * A host that has denied a flow does not hold it before an opening packet
 * reaches it, so it is not asked for the flow again. Flows that cannot be
 * concluded yet, because the view may lack hosts, wait for it without further
 * queries. No I/O or clock access; not thread safe. */
class FlowQueries : private FlowQueryRoundsOutput
{
public:
  struct Options
  {
    FlowQueryRounds::Options mRounds;
    FlowQueryGuards mGuards;
  };

  /** Shortest interval between batches. Bounds the agents' work after a power
   * loss, when the callers of all lost flows return at once. */
  static constexpr Duration kBatchInterval = std::chrono::milliseconds(50);
  /** Agents that cannot tell whether their hosts hold a flow probe them with
   * its packet. A host returns it within about 1 ms, and the agents are asked
   * again after this time. */
  static constexpr Duration kProbeDuration = std::chrono::milliseconds(20);
  /** What is known of a flow is kept for this long after its last packet. */
  static constexpr Duration kRetention = std::chrono::seconds(10);
  /** A caller that has been silent for this long has given up: the deadline of
   * requests is shorter. */
  static constexpr Duration kCallerTimeout = std::chrono::seconds(3);
  /** After a stall nothing is concluded for this long. */
  static constexpr Duration kStallPause = std::chrono::seconds(1);
  /** Maximum number of flows remembered; further ones are not queried. Some 3
   * MB with 76 hosts in view. */
  static constexpr std::size_t kMaxFlows = 4096;
  /** Maximum number of hosts asked for a flow, which bounds a batch to 512
   * messages. With more in view, only hosts of the route's services are asked,
   * and nothing is concluded. */
  static constexpr std::size_t kMaxHosts = 256;

  /** aOutput must outlive this object. */
  FlowQueries(const Options& aOptions, FlowQueriesOutput& aOutput);

  /** Replaces the hosts in view, in whatever state. */
  void SetHosts(std::vector<QueriedHost> aHosts);
  /** Call before each OnTick(). */
  void SetViewState(const HostViewState& aState);

  /** Whether no host holds the flow of this packet: answer it by a reset. */
  bool IsHeldNowhere(const QueriedFlow& aFlow, Time aNow);

  /** Queries the flow of a packet that is not an opening one, unless that is in
   * progress or every host in view has denied the flow. aMayBeReset: the packet
   * may be answered by a reset. */
  void OnPacket(const QueriedFlow& aFlow, bool aMayBeReset, Time aNow);

  /** Call for an opening packet of a flow, and when its host is known. */
  void Forget(const FlowKey& aFlow) { mFlows.erase(aFlow); }

  void OnReply(const FlowQueryReply& aReply, Time aNow)
  {
    mRounds.OnReply(aReply, aNow);
  }

  /** Call after a process stall, before passing in any packet that arrived
   * during the stall. */
  void OnProcessStall(Time aNow) { mNoConclusionUntil = aNow + kStallPause; }

  /** Call at NextAt() or later, and about every 50 ms. */
  void OnTick(Time aNow);
  std::optional<Time> NextAt() const;

  /** Number of flows remembered. */
  std::size_t Size() const { return mFlows.size(); }

private:
  enum class Stage : std::uint8_t
  {
    /** Not all hosts in view have denied the flow; the next packet queries the
     * others. */
    Undecided,
    /** In mQueue. */
    Queued,
    Asked,
    /** In mProbed. */
    Probed,
    /** All hosts in view have denied the flow, but a condition for concluding
     * that no host holds it is not met. In mDenied. */
    Denied,
    HeldNowhere,
  };
  struct Flow
  {
    Stage mStage = Stage::Undecided;
    QueriedFlow mLastPacket;
    bool mMayBeReset = false;
    /** Hosts were probed with the last packet: it starts no further probe. */
    bool mWasProbed = false;
    Time mLastPacketAt{};
    /** The batch in which the flow is asked for. */
    std::uint64_t mBatch = 0;
    /** Ordered. */
    std::vector<HostId> mDeniedBy;
  };

  void SendQuery(const Address& aAgent, const FlowQuery& aQuery) override;
  void OnHeld(const FlowKey& aFlow, HostId aHost, Time aNow) override;
  void OnEnded(std::uint64_t aBatch, std::span<const QueryOutcome> aOutcomes,
               Time aNow) override;

  Flow* FindSameFlow(const QueriedFlow& aFlow);
  void Enqueue(const FlowKey& aKey, Flow& aFlow);
  void StartBatchIfDue(Time aNow);
  std::vector<QueriedFlow> TakeBatch();
  std::vector<QueriedHost> HostsToAsk(const FlowKey& aKey,
                                      const Flow& aFlow) const;
  bool IsDeniedByAll(const Flow& aFlow) const;
  void Settle(std::uint64_t aBatch, const QueryOutcome& aOutcome, Time aNow);
  bool MayConclude(Time aNow) const;
  /** Concludes that no host holds the flow if all conditions are met. */
  bool TryConclude(const FlowKey& aKey, Flow& aFlow, Time aNow);
  void StartProbe(const FlowKey& aKey, Flow& aFlow,
                  std::span<const Address> aHosts, Time aNow);
  void QueueProbed(Time aNow);
  void RevisitDenied(Time aNow);
  void Expire(Time aNow);

  const Options mOptions;
  FlowQueriesOutput& mOutput;
  FlowQueryRounds mRounds;
  /** Ordered by host. */
  std::vector<QueriedHost> mHosts;
  HostViewState mViewState;
  std::unordered_map<FlowKey, Flow> mFlows;
  std::deque<FlowKey> mQueue;
  std::vector<FlowKey> mDenied;
  /** Flows whose undecided hosts are being probed, and when the agents are
   * asked again. */
  std::deque<std::pair<Time, FlowKey>> mProbed;
  /** The hosts or the state of the view changed since RevisitDenied(). */
  bool mViewChanged = false;
  std::uint64_t mNextBatch = 0;
  std::optional<Time> mLastBatchAt;
  Time mNoConclusionUntil{};
  Time mLastExpiryAt{};
};

} // namespace heatherplank
