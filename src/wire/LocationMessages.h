#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/Types.h"

namespace heatherplank {

/** Which host holds a flow, as written to the record replicas of the flow. */
struct FlowRecord
{
  /** HashFlow of the flow. */
  std::uint64_t mFlowHash = 0;
  HostId mHost;

  bool operator==(const FlowRecord&) const = default;
};

/** A balancer's records for one replica, a balancer of its data centre. */
struct FlowRecords
{
  /** With headers, 64 records fit the smallest common MTU. */
  static constexpr std::size_t kMaxRecords = 64;

  std::vector<FlowRecord> mRecords;
};

/** A flow whose host is queried. */
struct QueriedFlow
{
  FlowKey mFlow;
  /** The acknowledgement number of the caller's packet, if it has one. It shows
   * at which host the caller opened the flow. */
  std::optional<std::uint32_t> mAcknowledged;

  bool operator==(const QueriedFlow&) const = default;
};

/** Asks which host holds some flows. Sent by a balancer to an agent, which asks
 * the agents in mHosts in turn. */
struct FlowQuery
{
  /** With the hosts of one data centre of a few dozen, fits the smallest common
   * MTU. */
  static constexpr std::size_t kMaxFlows = 16;
  static constexpr std::size_t kMaxHosts = 64;

  /** Chosen by the sender; identifies the query in replies. */
  std::uint32_t mRound = 0;
  /** Where replies go. */
  Address mAsker;
  /** Tunnel addresses of the other agents to be asked. Empty: the receiver
   * replies for its own host only. */
  std::vector<Address> mHosts;
  std::vector<QueriedFlow> mFlows;
};

/** Whether a host holds a flow. */
enum class FlowOutcome : std::uint8_t
{
  /** The host does not hold the flow, and will not before an opening packet
   * reaches it. */
  NotHeld = 0,
  Held = 1,
  /** The agent can't tell, for example because it restarted under a running
   * host. */
  Unknown = 2,
  Last = Unknown,
};

struct FlowAnswer
{
  /** Index in FlowQuery::mFlows. */
  std::uint8_t mFlowIndex = 0;
  FlowOutcome mOutcome = FlowOutcome::Unknown;
  /** The host that holds the flow; none unless the outcome is Held. */
  HostId mHost;

  bool operator==(const FlowAnswer&) const = default;
};

/** Ages of a host and of its agent. */
struct HostAges
{
  /** Upper estimate of the time for which the host may have taken flows. */
  Duration mHost{};
  /** How long the agent has run. */
  Duration mAgent{};

  bool operator==(const HostAges&) const = default;
};

/** A host that its agent did not observe from its start. The agent has no entry
 * of the queried flows, and cannot deny them for one reason only: an earlier
 * agent may have given them to the host. */
struct UnobservedHost
{
  Address mTunnel;
  HostAges mAges;

  bool operator==(const UnobservedHost&) const = default;
};

/** The reply to a FlowQuery. */
struct FlowQueryReply
{
  std::uint32_t mRound = 0;
  /** The host of the replying agent. */
  HostId mFrom;
  /** False if another reply to the same round follows: a flow that was found is
   * reported at once. */
  bool mIsFinal = true;
  /** In a final reply, one answer for each queried flow. */
  std::vector<FlowAnswer> mAnswers;
  /** In a final reply, tunnel addresses of the agents that did not reply in
   * time or answered Unknown for one of the flows. */
  std::vector<Address> mUndecided;
  /** The agents in mUndecided whose Unknown has no other reason than that their
   * hosts are unobserved. */
  std::vector<UnobservedHost> mUnobserved;
  /** In a final reply, the greatest HostAges::mHost of the hosts whose agents
   * replied; unset if one of them did not state it. */
  std::optional<Duration> mOldestHost;
};

} // namespace heatherplank
