#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"
#include "src/wire/LocationMessages.h"

namespace heatherplank {

/** Connects a FlowQueryRelay to the network and to the flows of its host.
 * Called synchronously; must not call the FlowQueryRelay. */
class FlowQueryRelayOutput
{
public:
  virtual ~FlowQueryRelayOutput() = default;

  /** What this agent knows of a flow at its own host. */
  virtual FlowOutcome Answer(const QueriedFlow& aFlow) = 0;
  /** For a flow that is Unknown: see HostFlows. */
  virtual bool IsUnknownBecauseUnobserved(const FlowKey& aFlow) = 0;
  /** See HostFlows::Ages. */
  virtual std::optional<HostAges> Ages() = 0;
  /** See HostFlows::AgeAfterCommonStart. */
  virtual std::optional<Duration> AgeAfterCommonStart() = 0;
  virtual void Query(const Address& aAgent, const FlowQuery& aQuery) = 0;
  virtual void Reply(const Address& aAsker, const FlowQueryReply& aReply) = 0;
};

/** Answers the flow queries that an agent receives: for its own host, and for
 * the other hosts that a query names, whose agents it asks with one message
 * each. A flow that is found is reported at once, and the final reply follows
 * when every agent has replied or the round has timed out.
 *
 * No I/O or clock access; not thread safe. */
class FlowQueryRelay
{
public:
  struct Options
  {
    HostId mHost;
    /** Address at which other agents reach this agent. */
    Address mSelf;
  };

  /** Agents reply within a few milliseconds. A round that is older ends at the
   * next tick, and the agents without a reply count as undecided. */
  static constexpr Duration kRoundTimeout = std::chrono::milliseconds(30);
  /** Maximum number of rounds in progress; further queries are dropped, and
   * their askers turn to another agent. */
  static constexpr std::size_t kMaxRounds = 256;

  /** aOutput must outlive this object. */
  FlowQueryRelay(const Options& aOptions, FlowQueryRelayOutput& aOutput);

  /** A balancer's query, or one of another agent's relay. */
  void OnQuery(const FlowQuery& aQuery, Time aNow);

  /** An agent's reply to a query of this relay. */
  void OnReply(const FlowQueryReply& aReply);

  /** Ends rounds that have timed out. Call about every 50 ms. */
  void OnTick(Time aNow);

  /** Number of rounds in progress. */
  std::size_t Size() const { return mRounds.size(); }

private:
  /** What has been learnt of one flow of a round. */
  struct FlowState
  {
    /** Index of the flow in the asker's query. */
    std::uint8_t mIndex = 0;
    std::optional<HostId> mHolder;
    bool mIsUnknown = false;
  };
  struct AskedHost
  {
    Address mTunnel;
    bool mHasReplied = false;
    bool mIsUndecided = false;
    /** Set if it is undecided only because its host is unobserved. */
    std::optional<HostAges> mUnobserved{};
    std::optional<Duration> mHostAge{};
  };
  struct Round
  {
    std::uint32_t mAskerRound = 0;
    Address mAsker;
    Time mStartedAt{};
    std::vector<FlowState> mFlows;
    /** Indexes into mFlows of the flows that the other agents are asked for. */
    std::vector<std::uint8_t> mForwarded;
    /** This host first, then the agents that are asked. */
    std::vector<AskedHost> mHosts;
    std::size_t mPendingReplies = 0;
  };

  void AnswerForSelf(const FlowQuery& aQuery, Round& aRound);
  void AskOthers(const FlowQuery& aQuery, Round& aRound, std::uint32_t aId);
  /** Merges one reply; returns the flows that it found. */
  std::vector<FlowAnswer> Merge(const FlowQueryReply& aReply, Round& aRound,
                                AskedHost& aFrom);
  void ReportFound(const Round& aRound, std::vector<FlowAnswer> aFound);
  void Finish(const Round& aRound);
  static bool IsSettled(const Round& aRound);

  const Options mOptions;
  FlowQueryRelayOutput& mOutput;
  /** By round id; ordered, so that rounds end in the order of their start. */
  std::map<std::uint32_t, Round> mRounds;
  std::uint32_t mNextId = 0;
};

} // namespace heatherplank
