#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/passthrough/FlowQueryGuards.h"
#include "src/passthrough/FlowQueryRounds.h"
#include "src/passthrough/HostExclusion.h"
#include "src/wire/LocationMessages.h"

namespace heatherplank {

/** Why no host holds a flow: the numbers of hosts that denied it and of those
 * that were excluded. */
struct NowhereEvidence
{
  std::size_t mDenials = 0;
  std::size_t mExcluded = 0;
};

/** What was done with a flow whose agents cannot tell where it is. */
enum class ProbeResult : std::uint8_t
{
  /** Hosts were probed with the packet. */
  Probed,
  /** No host may be probed. */
  NotProbed,
  /** It is not known yet which hosts may be probed: see
   * FlowQueries::ResumeAwaiting. */
  Awaiting,
};

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
  virtual ProbeResult OnUndecided(const FlowKey& aFlow,
                                  std::span<const Address> aHosts) = 0;
  /** No host holds the flow. The caller is to be sent a reset. */
  virtual void OnHeldNowhere(const QueriedFlow& aFlow,
                             const NowhereEvidence& aEvidence) = 0;
  /** Whether the host is of a service that the flow's route has had within the
   * lifetime of a flow, as far as this balancer knows, so that it may hold the
   * flow. */
  virtual bool MayHold(const FlowKey& aFlow, HostId aHost) const = 0;
  /** Whether an opening packet of the flow is unanswered. */
  virtual bool HasPendingOffer(const FlowKey& aFlow) const = 0;
  /** Up to aLimit hosts that most likely hold the flow: the best ranked ones of
   * the services that its route has had within the lifetime of a flow. */
  virtual std::vector<HostId> LikelyHosts(const FlowKey& aFlow,
                                          std::size_t aLimit) const = 0;
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
 * queries.
 *
 * An agent that started under a running host can never deny the flows that the
 * host may hold from before. If the route of the flow has had the host's
 * service, the host is probed with a packet of the flow. If it has not, the
 * host must not get the packet, but does not hold the flow either, and is
 * excluded, as long as it is known which services the route has had.
 *
 * Guards against: after a power loss one agent of any service starts later than
 * its host, and no lost flow of any other service is ever reset.
 *
 * No I/O or clock access; not thread safe. */
class FlowQueries : private FlowQueryRoundsOutput
{
public:
  struct Options
  {
    FlowQueryRounds::Options mRounds;
    FlowQueryGuards mGuards;
    Duration mFlowLifetime = std::chrono::seconds(60);
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

  /** See HostExclusion. */
  void OnRoutes(Time aNow) { mExclusion.OnRoutes(aNow); }
  void SetHasMissedRoutes(bool aHasMissed)
  {
    bool isChanged = mExclusion.SetHasMissedRoutes(aHasMissed);
    mViewChanged = mViewChanged || isChanged;
  }

  /** Whether no host holds the flow of this packet: answer it by a reset. */
  bool IsHeldNowhere(const QueriedFlow& aFlow, Time aNow);

  /** Queries the flow of a packet that is not an opening one, unless that is in
   * progress or every host in view has denied the flow. aMayBeReset: the packet
   * may be answered by a reset. */
  void OnPacket(const QueriedFlow& aFlow, bool aMayBeReset, Time aNow);

  /** More hosts may be probed than before: queries the flows that waited for
   * it. */
  void ResumeAwaiting(Time aNow);

  /** Call for an opening packet of a flow, and when its host is known. */
  void Forget(const FlowKey& aFlow) { mFlows.erase(aFlow); }

  void OnReply(const FlowQueryReply& aReply, Time aNow)
  {
    if (aReply.mIsFinal) {
      mExclusion.OnOldestHost(aReply.mOldestHost, aNow);
    }
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
    /** In mAskAgain, until its undecided hosts have returned the packet. */
    Probed,
    /** In mAskAgain, until one more host can be excluded, or in mAwaiting. A
     * packet of the caller queries the hosts earlier: others may have come into
     * view. */
    Waiting,
    /** All hosts in view have denied the flow, but a condition for concluding
     * that no host holds it is not met. In mDenied. */
    Denied,
    HeldNowhere,
  };
  /** An UnobservedMember; times instead of ages. */
  struct UnobservedSince
  {
    HostId mHost;
    Time mHostStartedAt{};
    Time mAgentStartedAt{};
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
    /** In the order of the hosts. */
    std::vector<UnobservedSince> mUnobserved;
  };

  void SendQuery(const Address& aAgent, const FlowQuery& aQuery) override;
  void OnHeld(const FlowKey& aFlow, HostId aHost, Time aNow) override;
  void OnEnded(std::uint64_t aBatch, std::span<const QueryOutcome> aOutcomes,
               Time aNow) override;

  Flow* FindSameFlow(const QueriedFlow& aFlow);
  void Enqueue(const FlowKey& aKey, Flow& aFlow);
  void StartBatchIfDue(Time aNow);
  std::vector<QueriedFlow> TakeBatch();
  static bool AsksSameHosts(const Flow& aLeft, const Flow& aRight);
  std::vector<QueriedHost> HostsToAsk(const FlowKey& aKey, const Flow& aFlow,
                                      Time aNow) const;
  bool IsAbsentEverywhere(const FlowKey& aKey, const Flow& aFlow,
                          Time aNow) const;
  void Settle(std::uint64_t aBatch, const QueryOutcome& aOutcome, Time aNow);
  bool MayConclude(Time aNow) const;
  /** Concludes that no host holds the flow if all conditions are met. */
  bool TryConclude(const FlowKey& aKey, Flow& aFlow, Time aNow);
  static void SetUnobserved(Flow& aFlow,
                            std::span<const UnobservedMember> aHosts,
                            Time aNow);
  void WaitForUndecided(const FlowKey& aKey, Flow& aFlow,
                        std::span<const Address> aHosts, Time aNow);
  std::optional<Time> ExcludableAt(const FlowKey& aFlow,
                                   const UnobservedSince& aHost,
                                   Time aNow) const;
  std::optional<Time> NextExclusionAt(const FlowKey& aKey, const Flow& aFlow,
                                      Time aNow) const;
  bool IsAbsent(const FlowKey& aKey, const Flow& aFlow, HostId aHost,
                Time aNow) const;
  void AskAgainAt(const FlowKey& aKey, Flow& aFlow, Stage aStage, Time aAt);
  void QueueWaiting(Time aNow);
  void EnqueueWaiting(const FlowKey& aKey, Time aNow);
  void RevisitDenied(Time aNow);
  void Expire(Time aNow);

  const Options mOptions;
  FlowQueriesOutput& mOutput;
  FlowQueryRounds mRounds;
  HostExclusion mExclusion;
  /** Ordered by host. */
  std::vector<QueriedHost> mHosts;
  HostViewState mViewState;
  std::unordered_map<FlowKey, Flow> mFlows;
  std::deque<FlowKey> mQueue;
  std::vector<FlowKey> mDenied;
  /** Flows with undecided hosts, by the time at which these are asked again. */
  std::multimap<Time, FlowKey> mAskAgain;
  /** Flows for which it is not known which hosts may be probed. */
  std::set<FlowKey> mAwaiting;
  /** The hosts or the state of the view changed since RevisitDenied(). */
  bool mViewChanged = false;
  std::uint64_t mNextBatch = 0;
  std::optional<Time> mLastBatchAt;
  Time mNoConclusionUntil{};
  Time mLastExpiryAt{};
};

} // namespace heatherplank
