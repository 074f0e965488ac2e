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
  /** Objects are named PREFIX/SHARD; use one prefix a service. */
  std::string mPrefix = "grants";
  /** Shards of the keys; the same in every process, for ever. */
  std::uint32_t mShards = 64;
  ShardWriterOptions mShard;
  PlatformGateOptions mGate;
  std::size_t mMaxKeyBytes = 128;
  /** Largest answer that is kept in the platform. */
  std::size_t mMaxAnswerBytes = 1200;
  std::size_t mMaxKeys = 10000;
  std::size_t mMaxWaitersPerKey = 16;
  /** How long an answer may wait to be written, for others to join. */
  Duration mAnswerLinger = std::chrono::milliseconds(500);
  /** How long a key's end is kept here after the platform has it. */
  Duration mKeepEnded = std::chrono::seconds(30);
  /** A holder is asked this often, and this many times without a reply. */
  Duration mAskEvery = std::chrono::milliseconds(100);
  std::uint32_t mAskTries = 4;
  /** How long peers may take to answer in an outage. */
  Duration mPeerWait = std::chrono::milliseconds(100);

  /** A home that has not answered is asked again after this long, and after so
   * many times the shard is written from here. */
  Duration mHomeWait = std::chrono::milliseconds(60);
  std::uint32_t mHomeTries = 2;
  /** A home that said that it has a wish is left alone for this long. */
  Duration mHomeQueuedWait = std::chrono::milliseconds(400);
  /** A process this old vouches that a key that it does not know never ran at
   * its host; callers repeat a key sooner than that. */
  Duration mVouchAfter = std::chrono::minutes(2);

  // Guard switches; each is off only to show the failure it meets.
  bool mAskHolder = true;
  bool mAskPeers = true;
  bool mDropGivenUp = true;
  bool mCheckBeforeDispatch = true;
};

/** Runs each key at most once over all agents of a service. Before a request
 * is dispatched, a grant for it is committed in the platform; see
 * docs/AT-MOST-ONCE.md. Pure: events in, actions out (TakeActions), time as an
 * argument. Not thread safe.
 *
 * Each request gets exactly one of Granted, Duplicate, NotRun, Unknown; one
 * that was Granted may still get NotRun, if MayDispatch was never true.
 */
class RunOnce
{
public:
  /** aSeed must differ between incarnations, since nonces come from it. */
  RunOnce(HostId aHost, Incarnation aIncarnation,
          const RunOnceOptions& aOptions, std::uint64_t aSeed, Time aNow);

  /** The agents of the service, this one too: each shard has one of them as its
   * home, which writes for all, so that they don't run into each other. They
   * need not agree on it. Without any, each agent writes for itself. */
  void SetHomes(std::span<const HostId> aHosts);

  /** A request that may not be repeated. Precondition: aRequest is not open. */
  void Request(RequestToken aRequest, const std::string& aKey, Time aDeadline,
               Time aNow);
  /** The caller no longer wants it: answered NotRun unless dispatched. */
  void Cancel(RequestToken aRequest, const std::string& aKey, Time aNow);

  /** To be asked right before dispatch: true if the request may be dispatched
   * now, and counts as dispatched from then on. If false, it never may be. */
  bool MayDispatch(const std::string& aKey, Nonce aNonce, Time aNow);
  /** The dispatched request ended with an answer. */
  void Answered(const std::string& aKey, Nonce aNonce, std::string_view aAnswer,
                Time aNow);
  /** The dispatched request was lost sight of. */
  void LostSight(const std::string& aKey, Nonce aNonce, Time aNow);
  /** The backend server said that it did not run it, and will not. */
  void RefusedByServer(const std::string& aKey, Nonce aNonce, Time aNow);

  /** What this host knows of a key; aNonce 0 asks for any attempt. Thereby it
   * promises what GivenUp says. */
  KeyReply OnQuestion(const std::string& aKey, Nonce aNonce,
                      Incarnation aIncarnation, Time aNow) const;
  /** The reply to AskHolder. */
  void OnReply(const std::string& aKey, const KeyReply& aReply, Time aNow);
  /** The replies to AskPeers: the gravest, and whether all answered. */
  void OnPeers(const std::string& aKey, const KeyReply& aReply,
               bool aAllAnswered, Time aNow);

  /** Another agent's wishes, for which this host is the home. */
  void OnWishes(const std::vector<ShardWish>& aWishes, Time aNow);
  /** What a home says of this agent's wishes. */
  void OnOutcomes(const std::vector<ShardOutcome>& aOutcomes,
                  Duration aRetryAfter, Time aNow);

  void OnGet(CallTicket aTicket, const Result<Object>& aResult, Time aNow);
  void OnPut(CallTicket aTicket, const Result<std::uint64_t>& aResult,
             Time aNow);
  /** Call it every few milliseconds while anything is open. */
  void OnTick(Time aNow);

  /** What is to be done since the last call, in order. */
  std::vector<RunOnceAction> TakeActions();
  /** Messages to send since the last call; none unless SetHomes was called. */
  std::vector<HomeMessage> TakeHomeMessages();

  /** Keys held here, those that ended too. */
  std::size_t Keys() const { return mKeys.size(); }
  /** Requests that were answered with a reason. */
  std::uint64_t Count(RunOnceReason aReason) const;
  std::uint64_t Writes() const { return mWrites; }
  std::uint64_t Reads() const { return mReads; }
  std::uint64_t Conflicts() const;
  const PlatformGate& Gate() const { return mGate; }

private:
  enum class Phase : std::uint8_t
  {
    /** The grant is wanted in the platform. */
    Claiming,
    /** Another host was granted the key: its agent is asked. */
    Asking,
    /** The platform is out of reach: the peers are asked. */
    AskingPeers,
    /** The grant is committed, and not dispatched. */
    Granted,
    Running,
    Ended,
  };
  struct Waiter
  {
    RequestToken mRequest = 0;
    Time mDeadline{};
    /** Calls to the shard that were started before it came. */
    std::uint64_t mCallsBefore = 0;
  };
  struct KeyState
  {
    Phase mPhase = Phase::Claiming;
    Nonce mNonce = 0;
    Grant mHolder;
    /** The request that was granted is at the front. */
    std::vector<Waiter> mWaiters;
    std::optional<std::string> mAnswer;
    /** The platform holds the end. */
    bool mRecorded = false;
    Time mSince{};
    std::uint32_t mUnanswered = 0;
    RunOnceReason mWhy{};
  };
  using KeyMap = std::map<std::string, KeyState>;
  /** A wish that another host is to write. */
  struct RemoteWish
  {
    std::string mKey;
    ShardChange mChange;
    Time mSendAt{};
    std::uint32_t mTries = 0;
  };
  struct Flight
  {
    std::uint32_t mShard = 0;
    Time mStarted{};
  };

  // Ways of a key.
  void Open(RequestToken aRequest, const std::string& aKey, Time aDeadline,
            Time aNow);
  void Join(KeyState& aState, const Waiter& aWaiter, Time aNow);
  void Claim(const std::string& aKey, KeyState& aState, Nonce aReplaces,
             Time aNow);
  void OnOutcome(const ShardOutcome& aOutcome, Time aNow);
  void OnTaken(const std::string& aKey, KeyState& aState, const Grant& aPresent,
               Time aNow);
  void Withdraw(const std::string& aKey, const KeyState& aState, Time aNow);
  void StartAskingPeers(const std::string& aKey, KeyState& aState,
                        RunOnceReason aWhy, Time aNow);
  void End(const std::string& aKey, KeyState& aState,
           std::optional<std::string> aAnswer, Time aNow);
  /** The attempt is over and was not dispatched: the next waiter goes on with
   * it, or the key is dropped and the grant withdrawn. */
  void PassOn(const std::string& aKey, KeyState& aState, Time aNow);
  void Ask(const std::string& aKey, KeyState& aState, Time aNow);
  KeyState* Find(const std::string& aKey, Phase aPhase);
  bool Vouches(Time aNow) const
  {
    return aNow - mStartedAt >= mOptions.mVouchAfter;
  }
  void Drop(const std::string& aKey);
  KeyState* FindAttempt(const std::string& aKey, Nonce aNonce, Phase aPhase);

  // Answers to requests.
  void SayNotRun(RequestToken aRequest, RunOnceReason aReason, Time aNow);
  void SayUnknown(RequestToken aRequest, RunOnceReason aReason);
  void AnswerAll(KeyState& aState, const std::string& aAnswer);
  void UnknownToAll(KeyState& aState, RunOnceReason aReason);
  void NotRunToAll(KeyState& aState, RunOnceReason aReason, Time aNow);

  // Time.
  /** These may drop the key. */
  void TickKey(const std::string& aKey, KeyState& aState, Time aNow);
  void TickClaim(const std::string& aKey, KeyState& aState, Time aNow);
  void TickAsking(const std::string& aKey, KeyState& aState, Time aNow);
  void TickGranted(const std::string& aKey, KeyState& aState, Time aNow);
  void DropLateWaiters(KeyState& aState, bool aMayHaveRun, Time aNow);
  /** True if the shard was seen since the latest of the waiters came, so that
   * a run before it would have been found. */
  bool HasSeenShard(const std::string& aKey, const KeyState& aState);
  bool IsTooSlowFor(const std::string& aKey, Time aDeadline, Time aNow);

  // Homes.
  HostId HomeOf(const std::string& aKey) const;
  bool IsHome(const std::string& aKey) const;
  /** Wants a change written, here or by the key's home. */
  void Want(const std::string& aKey, const ShardChange& aChange);
  void SendWishes(Time aNow);
  void WriteHere(const RemoteWish& aWish);
  void Tell(const std::vector<ShardOutcome>& aOutcomes, Time aNow);
  void WithdrawStray(const ShardOutcome& aOutcome, Time aNow);

  // Platform.
  std::uint32_t ShardOf(const std::string& aKey) const;
  ShardWriter& WriterOf(const std::string& aKey);
  void Pump(Time aNow);
  /** False once the gate lets nothing more through. */
  bool PumpShard(std::uint32_t aShard, ShardWriter& aWriter, Time aNow);
  /** The writer whose call has landed, or null for a stray answer. */
  ShardWriter* Land(CallTicket aTicket, bool aAnswered, Time aNow);
  void Settle(const std::vector<ShardOutcome>& aOutcomes, Time aNow);
  void RefuseIfDown(Time aNow);

  const HostId mHost;
  const Incarnation mIncarnation;
  const RunOnceOptions mOptions;
  const Time mStartedAt;
  std::mt19937_64 mRandom;
  PlatformGate mGate;
  std::map<std::uint32_t, ShardWriter> mWriters;
  KeyMap mKeys;
  std::vector<HostId> mHomes;
  /** By nonce. */
  std::map<Nonce, RemoteWish> mRemote;
  /** Until then a home said to stay away. */
  Time mHomeDownUntil{};
  std::map<CallTicket, Flight> mFlights;
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
