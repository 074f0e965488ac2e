#pragma once

#include <cstddef>
#include <cstdint>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Guards of the ownership rules. All are on in production; a test switches one
 * off to show the failure that it prevents.
 */
struct OwnershipGuards
{
  /** Query the other hosts before placing a flow while views settle. */
  bool mQueryPeers = true;
  /** Honor the promise made with the reply Nobody; see FlowPromise. */
  bool mPromise = true;
  /** Dispatch only while the view is trusted, and reconfirm flows after the
   * lease has expired (by a process stall or a network partition). */
  bool mLease = true;
  /** Wait before taking over flows of a host that was declared dead. */
  bool mFence = true;
  /** Claim flows from their arbiter when it changes. */
  bool mClaim = true;
  /** Refuse rather than adopt while a live host is unresponsive. */
  bool mUnresponsivePeer = true;
  /** Send packets to the owner in an old directory entry with Deliver, not with
   * Adopt: Adopt could revive an epoch of the flow that has expired. */
  bool mStaleEntry = true;
  /** Distinguish a flow's owner from a later incarnation of the same host. */
  bool mIncarnation = true;
  /** Hand flows off on drain. */
  bool mHandOff = true;
};

/** Timeouts and limits of the ownership rules. */
struct OwnershipOptions
{
  OwnershipGuards mGuards;

  /** Upper bound, with a margin, on how long the views of two processes may
   * differ. Also how long promises last.
   */
  Duration mSettle = std::chrono::seconds(3);
  /** How long an unknown flow is placed only after a query: after its arbiter
   * changed, after the start of the agent, and after the lease had expired.
   * Longer than mSettle, so that a query detects a partition that keeps the
   * owner's claims from the new arbiter.
   */
  Duration mQueryWindow = std::chrono::seconds(30);
  /** Duration of the lease: a view that was not confirmed for this long is not
   * used for decisions, and the lease on this host's flows expires. Must be
   * less than the timeout after which unresponsive hosts are declared dead.
   */
  Duration mViewTrustTimeout = std::chrono::seconds(2);
  /** Wait after a host was declared dead before its flows are taken over: the
   * longest request deadline that may still run there, less the time that the
   * host was unresponsive before.
   */
  Duration mFenceDuration = std::chrono::seconds(1);
  /** Interval between queries to a peer that has not replied. */
  Duration mQueryRetryInterval = std::chrono::milliseconds(50);
  /** Maximum time that a packet waits for an owner to be found. */
  Duration mQueryTimeout = std::chrono::milliseconds(250);
  /** Interval between attempts of a claim or a hand-off. */
  Duration mRetryInterval = std::chrono::milliseconds(150);
  /** A flow without packets is dropped after this. */
  Duration mFlowIdleTimeout = std::chrono::seconds(120);
  /** An entry of the arbiter's directory expires after this time without
   * packets or claims. */
  Duration mDirectoryIdleTimeout = std::chrono::seconds(600);
  /** Interval at which owners repeat their claims; well below
   * mDirectoryIdleTimeout. */
  Duration mClaimRefreshInterval = std::chrono::seconds(240);
  /** Default retry-after of a refused packet. */
  Duration mRetryAfter = std::chrono::milliseconds(300);

  std::size_t mMaxFlows = 65536;
  std::size_t mMaxDirectory = 65536;
  std::size_t mMaxMoved = 65536;
  std::size_t mMaxPromises = 65536;
  std::size_t mMaxLookups = 4096;
  /** Limit of held packets for one flow. */
  std::size_t mMaxHeldPackets = 8;
  /** Limit of concurrent hand-offs. */
  std::size_t mMaxHandOffs = 64;
  /** Limit of flows that one Tick starts to reconfirm after the lease had
   * expired. */
  std::size_t mMaxConfirmsPerTick = 256;
  /** Limit of flows that one Tick checks for due claims and hand-offs. */
  std::size_t mMaxSweptPerTick = 4096;
  std::uint8_t mMaxHops = 6;
};

} // namespace heatherplank
