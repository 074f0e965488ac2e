#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/wire/LocationMessages.h"

namespace heatherplank {

/** A host in view whose agent can be queried. */
struct QueriedHost
{
  HostId mHost;
  Address mTunnel;
  DataCentreId mDataCentre;
  /** The host's agent may no longer run; others are asked to relay first. */
  bool mIsLeaving = false;
};

/** An undecided host that was not observed from its start: see UnobservedHost.
 */
struct UnobservedMember
{
  HostId mHost;
  HostAges mAges;
};

/** What the queried hosts said of a flow that none of them holds. */
struct QueryOutcome
{
  QueriedFlow mFlow;
  /** Hosts that do not hold the flow. */
  std::vector<HostId> mDenied;
  /** Agents that did not reply to the agent that asked them, or that do not
   * know. */
  std::vector<Address> mUndecided;
  /** Those of mUndecided that have no other reason. */
  std::vector<UnobservedMember> mUnobserved{};
  /** False if an asked data centre sent no reply at all. */
  bool mIsComplete = true;
};

/** Carries out the decisions of FlowQueryRounds. Called synchronously; must not
 * call FlowQueryRounds. */
class FlowQueryRoundsOutput
{
public:
  virtual ~FlowQueryRoundsOutput() = default;

  virtual void SendQuery(const Address& aAgent, const FlowQuery& aQuery) = 0;
  /** A host holds the flow. Called at most once per flow and batch. */
  virtual void OnHeld(const FlowKey& aFlow, HostId aHost, Time aNow) = 0;
  /** All replies for a batch arrived or timed out; without the flows that were
   * found. aBatch: see FlowQueryRounds::Ask. */
  virtual void OnEnded(std::uint64_t aBatch,
                       std::span<const QueryOutcome> aOutcomes, Time aNow) = 0;
};

/** Asks hosts for batches of flows: first the hosts of the balancer's data
 * centre, then, for flows that none of them holds, those of the other data
 * centres. In each data centre one agent is asked, the relay, which asks the
 * others (FlowQueryRelay). The other data centres are not kept waiting for
 * hosts of the own one that do not reply.
 *
 * Guards against: the relay has died. If it does not reply in time, the query
 * goes to a second one, and later queries avoid the first for a while.
 *
 * No I/O or clock access; not thread safe. */
class FlowQueryRounds
{
public:
  /** A relay replies at its next tick after FlowQueryRelay::kRoundTimeout, 80
   * ms at the latest. Callers repeat a packet after 200 ms. */
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(100);
  /** The other data centres are asked after this time at the latest. Agents
   * reply within a few milliseconds. */
  static constexpr Duration kOwnDataCentreTimeout =
    std::chrono::milliseconds(40);
  /** For this long an agent that did not reply is the last choice as relay.
   * Membership removes a dead agent a few seconds after its death. */
  static constexpr Duration kRelayAvoidance = std::chrono::seconds(3);

  struct Options
  {
    /** Address at which agents reach this balancer. */
    Address mSelf;
    DataCentreId mDataCentre;
    /** The id of the first round: random, so that replies to an earlier
     * incarnation are not taken for replies to this one. */
    std::uint32_t mFirstRound = 1;
  };

  /** aOutput must outlive this object. */
  FlowQueryRounds(const Options& aOptions, FlowQueryRoundsOutput& aOutput);

  /** Starts a batch, whose id aBatch was not used before. Preconditions: at
   * least one host, and from one to FlowQuery::kMaxFlows flows. */
  void Ask(std::uint64_t aBatch, std::span<const QueriedFlow> aFlows,
           std::vector<QueriedHost> aHosts, Time aNow);

  void OnReply(const FlowQueryReply& aReply, Time aNow);

  /** Call at NextAt() or later. */
  void OnTick(Time aNow);
  std::optional<Time> NextAt() const;

private:
  struct Batch
  {
    std::vector<QueryOutcome> mOutcomes;
    std::vector<bool> mFound;
    /** Hosts of the other data centres, which are not asked yet. */
    std::vector<QueriedHost> mLater;
    std::size_t mOpenRounds = 0;
    Time mStartedAt{};
  };
  /** One query to one data centre. */
  struct Round
  {
    std::uint64_t mBatch = 0;
    /** Indexes of the flows in the batch, in the order of the query. */
    std::vector<std::uint8_t> mFlows;
    /** The preferred relay first. */
    std::vector<QueriedHost> mHosts;
    std::size_t mRelay = 0;
    bool mIsRepeated = false;
    Time mSentAt{};
  };

  void StartRounds(std::uint64_t aBatch, std::vector<QueriedHost> aHosts,
                   Time aNow);
  void StartRound(std::uint64_t aBatch, std::span<const QueriedHost> aHosts,
                  Time aNow);
  void Send(std::uint32_t aId, Round& aRound, Time aNow);
  bool IsAvoided(const QueriedHost& aHost, Time aNow) const;
  void RecordAnswer(Batch& aBatch, std::size_t aFlow, const FlowAnswer& aAnswer,
                    const Round& aRound, const FlowQueryReply& aReply,
                    Time aNow);
  void MarkIncomplete(const Round& aRound);
  void AskOthers(std::uint64_t aBatch, Time aNow);
  void EndRound(const Round& aRound, Time aNow);
  void EndBatch(std::uint64_t aId, Time aNow);
  void OnTimeout(std::uint32_t aId, Time aNow);

  const Options mOptions;
  FlowQueryRoundsOutput& mOutput;
  std::unordered_map<std::uint64_t, Batch> mBatches;
  std::unordered_map<std::uint32_t, Round> mRounds;
  std::unordered_map<HostId, Time> mUnresponsive;
  std::uint32_t mNextRound;
};

} // namespace heatherplank
