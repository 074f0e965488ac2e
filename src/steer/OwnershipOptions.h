#pragma once

#include <cstddef>
#include <cstdint>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Guards of the ownership rules. All are on in production; tests switch one
 * off to see the failure that it guards against.
 */
struct OwnershipGuards
{
  /** Ask the other hosts before placing a flow while views settle. */
  bool mAsk = true;
  /** Keep the promise given with the answer "nobody". */
  bool mPromise = true;
  /** Dispatch only while the view is trusted, and confirm flows anew after a
   * lapse (a pause or a cut). */
  bool mLease = true;
  /** Wait before taking over from a host that is held dead. */
  bool mFence = true;
  /** Claim flows from an arbiter that is new to them. */
  bool mClaim = true;
  /** Refuse rather than adopt while a live host does not answer. */
  bool mSilentPeer = true;
  /** Let the owner say whether it still has an old flow, rather than have it
   * adopt the flow again. */
  bool mOldEntry = true;
  /** Tell a flow's former owner from a restart of it. */
  bool mIncarnation = true;
  /** Hand flows off on drain. */
  bool mHandOff = true;
};

/** Times and bounds of the ownership rules. */
struct OwnershipOptions
{
  OwnershipGuards mGuards;

  /** Longest that two processes' views may differ, with room to spare. Also how
   * long promises last.
   */
  Duration mSettle = std::chrono::seconds(3);
  /** For how long a flow whose arbiter changed is asked about before it is
   * placed, and every unknown flow after the start of an agent or a lapse.
   * Longer than mSettle, so that a cut between its owner and the new arbiter,
   * which keeps claims from getting through, is noticed by an ask.
   */
  Duration mAskWindow = std::chrono::seconds(30);
  /** A view that was not confirmed for this long decides nothing, and its
   * host's ownership lapses. Must be below the time after which silent hosts
   * are held dead.
   */
  Duration mViewTrust = std::chrono::seconds(2);
  /** Wait after a host was held dead before its flows are taken over: the
   * longest request deadline that may still run there, less the silence that
   * went before.
   */
  Duration mFence = std::chrono::seconds(1);
  /** An ask that is not answered is sent again after this. */
  Duration mAskRetry = std::chrono::milliseconds(50);
  /** Packets wait no longer than this for an owner to be found. */
  Duration mAskDeadline = std::chrono::milliseconds(250);
  /** Time between attempts of a claim or a hand-off. */
  Duration mRetry = std::chrono::milliseconds(150);
  /** A flow without packets is forgotten after this. */
  Duration mFlowIdle = std::chrono::seconds(120);
  /** An arbiter's entry lasts this long without packets or claims. */
  Duration mDirectoryIdle = std::chrono::seconds(600);
  /** Owners repeat their claims after this, well within mDirectoryIdle. */
  Duration mClaimRefresh = std::chrono::seconds(240);
  /** When a caller is told to come back, unless more is known. */
  Duration mRetryAfter = std::chrono::milliseconds(300);

  std::size_t mMaxFlows = 65536;
  std::size_t mMaxDirectory = 65536;
  std::size_t mMaxMoved = 65536;
  std::size_t mMaxPromises = 65536;
  std::size_t mMaxAsks = 4096;
  /** Packets held for one flow. */
  std::size_t mMaxHeld = 8;
  /** Hand-offs under way at once. */
  std::size_t mMaxMoving = 64;
  /** Flows that one Tick begins to confirm after a lapse. */
  std::size_t mConfirmPerTick = 256;
  /** Flows that one Tick looks at for claims and hand-offs. */
  std::size_t mSweepPerTick = 4096;
  std::uint8_t mMaxHops = 6;
};

} // namespace heatherplank
