#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/ObjectStore.h"
#include "include/heatherplank/Types.h"
#include "src/record/Grant.h"
#include "src/record/PlatformGate.h"
#include "src/record/RunOnceActions.h"
#include "src/record/ShardWriter.h"

namespace heatherplank {

struct RunOnceOptions
{
  /** Objects are named PREFIX/SHARD. Each service needs a prefix of its own. */
  std::string mPrefix = "grants";
  /** Number of shards. It must be the same in every process and must never
   * change, or a key's earlier grant isn't found. */
  std::uint32_t mShards = 64;
  ShardWriterOptions mShard;
  PlatformGateOptions mGate;
  std::size_t mMaxKeyBytes = 128;
  /** Largest answer that is stored in the platform. */
  std::size_t mMaxAnswerBytes = 1200;
  std::size_t mMaxKeys = 10000;
  std::size_t mMaxWaitersPerKey = 16;
  /** How long an answer may wait to be written, so that one write carries
   * several. */
  Duration mAnswerLinger = std::chrono::milliseconds(500);
  /** How long the outcome of a key is retained locally, once the platform has
   * stored it. */
  Duration mEndedRetention = std::chrono::seconds(30);
  /** Interval between queries to a grant's holder, and how many may remain
   * unanswered in a row before the holder counts as unresponsive. */
  Duration mHolderQueryInterval = std::chrono::milliseconds(100);
  std::uint32_t mMaxUnansweredQueries = 4;
  /** Timeout for the replies of peers during a platform outage. */
  Duration mPeerTimeout = std::chrono::milliseconds(100);

  /** A change is resent to the shard's home (see SetHomes) at this interval if
   * it does not answer; after mMaxHomeTries this process writes the shard. */
  Duration mHomeRetryInterval = std::chrono::milliseconds(60);
  std::uint32_t mMaxHomeTries = 2;
  /** Retry interval for a change that the home has reported as queued. */
  Duration mHomeQueuedRetryInterval = std::chrono::milliseconds(400);
  /** A process that has run for this long confirms that a key unknown to it
   * never ran at its host. Callers must repeat a key sooner than that. */
  Duration mConfirmAfter = std::chrono::minutes(2);

  // Switches for tests: each turns one guard off to show the failure that the
  // guard prevents.
  bool mQueryHolder = true;
  bool mQueryPeers = true;
  bool mDropExpiredWaiters = true;
  bool mCheckBeforeDispatch = true;
};

/** Runs each key at most once across all agents of a service. Before a request
 * is dispatched, a grant for it is committed in the platform; see
 * docs/AT-MOST-ONCE.md. No I/O or clock access: callers deliver events and
 * perform the actions that TakeActions returns. Not thread safe.
 *
 * Each request gets exactly one of Granted, Duplicate, NotRun, Unknown; one
 * that was Granted may still get NotRun, if MayDispatch never returned true.
 */
class RunOnce
{
public:
  /** aSeed must differ between incarnations, since nonces come from it. */
  RunOnce(HostId aHost, Incarnation aIncarnation,
          const RunOnceOptions& aOptions, std::uint64_t aSeed, Time aNow);

  /** Sets the agents of the service, including this one. Each shard is assigned
   * one of them as its home, which writes the changes of all agents and so
   * avoids write conflicts. Agents need not agree on the assignment. With an
   * empty list each agent writes its own changes. */
  void SetHomes(std::span<const HostId> aHosts);

  /** Opens a request that must run at most once. Precondition: aRequest isn't
   * open. */
  void Request(RequestToken aRequest, const std::string& aKey, Time aDeadline,
               Time aNow);
  /** Cancels a request: answers NotRun, or Unknown if the key may have been
   * dispatched. No effect on a request that was itself dispatched. */
  void Cancel(RequestToken aRequest, const std::string& aKey, Time aNow);

  /** Call immediately before dispatch. If true, the request may be dispatched
   * and counts as dispatched; if false, it must never be dispatched under this
   * nonce. */
  bool MayDispatch(const std::string& aKey, Nonce aNonce, Time aNow);
  /** The dispatched request ended with an answer. */
  void OnAnswered(const std::string& aKey, Nonce aNonce,
                  std::string_view aAnswer, Time aNow);
  /** The outcome of the dispatched request can't be determined. */
  void OnOutcomeUnknown(const std::string& aKey, Nonce aNonce, Time aNow);
  /** The backend server reported that it did not run the request and won't. */
  void OnRefusedByServer(const std::string& aKey, Nonce aNonce, Time aNow);

  /** Answers another agent's query about a key; aNonce 0 matches any attempt.
   * The reply GivenUp is binding: that nonce is never dispatched afterwards. */
  KeyReply OnKeyQuery(const std::string& aKey, Nonce aNonce,
                      Incarnation aIncarnation, Time aNow) const;
  /** The reply to HolderQuery. */
  void OnHolderReply(const std::string& aKey, const KeyReply& aReply,
                     Time aNow);
  /** The result of PeerQuery: the reply with the largest KeyKnowledge, and
   * whether all peers replied. */
  void OnPeerReplies(const std::string& aKey, const KeyReply& aReply,
                     bool aAllAnswered, Time aNow);

  /** Receives the changes that another agent sent to this host as the home. */
  void OnPendingWrites(const std::vector<PendingShardWrite>& aWrites,
                       Time aNow);
  /** Receives the outcomes of this agent's changes from a home. */
  void OnOutcomes(const std::vector<ShardOutcome>& aOutcomes,
                  Duration aRetryAfter, Time aNow);

  void OnGet(CallTicket aTicket, const Result<Object>& aResult, Time aNow);
  void OnPut(CallTicket aTicket, const Result<StoreVersion>& aResult,
             Time aNow);
  /** Call every few milliseconds while any request is open. */
  void OnTick(Time aNow);

  /** The actions queued since the last call, in order. */
  std::vector<RunOnceAction> TakeActions();
  /** Messages to send since the last call; none unless SetHomes was called. */
  std::vector<HomeMessage> TakeHomeMessages();

  /** Number of keys held here, including those that have ended. */
  std::size_t Keys() const { return mKeys.size(); }
  /** Number of requests that were answered with aReason. */
  std::uint64_t Count(RunOnceReason aReason) const;
  std::uint64_t Writes() const { return mWrites; }
  std::uint64_t Reads() const { return mReads; }
  std::uint64_t Conflicts() const;
  const PlatformGate& Gate() const { return mGate; }

private:
  enum class Phase : std::uint8_t
  {
    /** A claim for the key is pending. */
    Claiming,
    /** Another host holds the grant; its agent is being queried. */
    QueryingHolder,
    /** The platform is unavailable; the peers are being queried. */
    QueryingPeers,
    /** The grant is committed; the request isn't dispatched yet. */
    Granted,
    Running,
    Ended,
  };
  struct Waiter
  {
    RequestToken mRequest = 0;
    Time mDeadline{};
    /** Calls to the shard that were started before the request arrived. */
    std::uint64_t mCallsBefore = 0;
  };
  struct KeyState
  {
    Phase mPhase = Phase::Claiming;
    Nonce mNonce = 0;
    Grant mHolder;
    /** A granted request is at the front. */
    std::vector<Waiter> mWaiters;
    std::optional<std::string> mAnswer;
    /** The platform has stored the outcome. */
    bool mRecorded = false;
    /** Start of the current phase, or the last query to the holder. */
    Time mSince{};
    std::uint32_t mUnansweredQueries = 0;
    RunOnceReason mReason{};
  };
  using KeyMap = std::map<std::string, KeyState>;
  /** A pending write that is sent to the shard's home. */
  struct RemoteWrite
  {
    std::string mKey;
    ShardChange mChange;
    Time mSendAt{};
    std::uint32_t mTries = 0;
  };
  struct CallInFlight
  {
    std::uint32_t mShard = 0;
    Time mStarted{};
  };

  // State transitions of a key.
  void OpenKey(RequestToken aRequest, const std::string& aKey, Time aDeadline,
               Time aNow);
  void JoinKey(KeyState& aState, const Waiter& aWaiter, Time aNow);
  void Claim(const std::string& aKey, KeyState& aState, Nonce aReplaces,
             Time aNow);
  void OnOutcome(const ShardOutcome& aOutcome, Time aNow);
  void OnClaimTaken(const std::string& aKey, KeyState& aState,
                    const Grant& aPresent, Time aNow);
  void Withdraw(const std::string& aKey, const KeyState& aState, Time aNow);
  void StartQueryingPeers(const std::string& aKey, KeyState& aState,
                          RunOnceReason aReason, Time aNow);
  void End(const std::string& aKey, KeyState& aState,
           std::optional<std::string> aAnswer, Time aNow);
  /** Continues an attempt that did not run with its next waiter, under a new
   * claim if the nonce was handed out already. If all waiters are past their
   * deadlines, withdraws the grant and drops the key. */
  void PassToNextWaiter(const std::string& aKey, KeyState& aState, Time aNow);
  void QueryHolder(const std::string& aKey, KeyState& aState, Time aNow);
  KeyState* Find(const std::string& aKey, Phase aPhase);
  bool CanConfirmNeverRan(Time aNow) const
  {
    return aNow - mStartedAt >= mOptions.mConfirmAfter;
  }
  void Drop(const std::string& aKey);
  KeyState* FindAttempt(const std::string& aKey, Nonce aNonce, Phase aPhase);

  // Answers to requests.
  void AnswerNotRun(RequestToken aRequest, RunOnceReason aReason, Time aNow);
  void AnswerUnknown(RequestToken aRequest, RunOnceReason aReason);
  void AnswerAll(KeyState& aState, const std::string& aAnswer);
  void AnswerUnknownToAll(KeyState& aState, RunOnceReason aReason);
  void AnswerNotRunToAll(KeyState& aState, RunOnceReason aReason, Time aNow);

  // Timeouts. The Tick functions may drop the key.
  void TickKey(const std::string& aKey, KeyState& aState, Time aNow);
  void TickClaim(const std::string& aKey, KeyState& aState, Time aNow);
  void TickQueryingHolder(const std::string& aKey, KeyState& aState, Time aNow);
  void TickGranted(const std::string& aKey, KeyState& aState, Time aNow);
  void DropExpiredWaiters(KeyState& aState, bool aMayHaveRun, Time aNow);
  /** True if the shard was read after the last waiter arrived, so that an
   * earlier run of the key would have been found. */
  bool HasReadShard(const std::string& aKey, const KeyState& aState);
  bool IsPlatformTooSlow(const std::string& aKey, Time aDeadline, Time aNow);

  // Homes.
  HostId HomeOf(const std::string& aKey) const;
  bool IsHome(const std::string& aKey) const;
  /** Queues a change to be written locally or by the key's home. */
  void EnqueueWrite(const std::string& aKey, const ShardChange& aChange);
  void SendRemoteWrites(Time aNow);
  void WriteLocally(const RemoteWrite& aWrite);
  void SendOutcomes(const std::vector<ShardOutcome>& aOutcomes, Time aNow);
  void WithdrawUnknownGrant(const ShardOutcome& aOutcome, Time aNow);

  // Platform.
  std::uint32_t ShardOf(const std::string& aKey) const;
  ShardWriter& WriterOf(const std::string& aKey);
  void StartDueCalls(Time aNow);
  /** False if the gate did not admit the call. */
  bool StartDueCall(std::uint32_t aShard, ShardWriter& aWriter, Time aNow);
  /** Returns the writer of a completed call, or null for an unknown ticket. */
  ShardWriter* CompleteCall(CallTicket aTicket, bool aAnswered, Time aNow);
  void ApplyOutcomes(const std::vector<ShardOutcome>& aOutcomes, Time aNow);
  void RefuseClaimsIfDown(Time aNow);

  const HostId mHost;
  const Incarnation mIncarnation;
  const RunOnceOptions mOptions;
  const Time mStartedAt;
  std::mt19937_64 mRandom;
  PlatformGate mGate;
  std::map<std::uint32_t, ShardWriter> mWriters;
  KeyMap mKeys;
  std::vector<HostId> mHomes;
  /** Keyed by nonce. */
  std::map<Nonce, RemoteWrite> mRemoteWrites;
  /** End of the longest Retry-After that a home has sent. */
  Time mHomeDownUntil{};
  std::map<CallTicket, CallInFlight> mCallsInFlight;
  CallTicket mNextTicket = 1;
  std::uint32_t mNextShard = 0;
  std::vector<RunOnceAction> mActions;
  std::vector<HomeMessage> mHomeMessages;
  std::uint64_t mWrites = 0;
  std::uint64_t mReads = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(RunOnceReason::Last) + 1>
    mCounts{};
};

} // namespace heatherplank
