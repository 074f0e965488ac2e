#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/ObjectStore.h"
#include "src/record/Grant.h"
#include "src/record/ShardWriter.h"

namespace heatherplank {

/** The driver's own name of a request; unique among those open. */
using RequestToken = std::uint64_t;
/** Matches a platform call to its answer. */
using CallTicket = std::uint64_t;

/** Why a request was not run, or why its outcome is unknown. */
enum class RunOnceReason : std::uint8_t
{
  /** The breaker is open: the platform is down. */
  PlatformDown,
  /** The platform answers, but not before the deadline. */
  PlatformSlow,
  /** The deadline passed before the grant was committed. */
  DeadlinePassed,
  /** The grant came, but its holder was late (paused) to dispatch. */
  HolderLate,
  /** Too many keys are open here. */
  TooManyKeys,
  /** The key's shard holds all the grants that fit. */
  ShardFull,
  /** The key is empty or too long. */
  BadKey,
  /** The backend server refused it before it began. */
  RefusedByServer,
  /** The caller cancelled it before it was dispatched. */
  Cancelled,

  // Outcome unknown from here on.

  /** It runs on another host and had no answer by the deadline. */
  StillRunning,
  /** The host that was granted the key does not answer. */
  HolderSilent,
  /** The host that was granted the key has restarted since. */
  HolderLost,
  /** It ran or may have run; no answer is kept. */
  NoAnswerKept,
  /** The key is older than the retention of answers. */
  KeyTooOld,
  /** Peers that might know the key did not all answer in an outage. */
  PeersSilent,
  /** Too many requests of one key wait for its answer. */
  TooManyWaiters,
  Last = TooManyWaiters,
};

/** The name of a reason, as it stands in counters and answers. */
std::string_view ToString(RunOnceReason aReason);

/** Make this platform call and bring its answer (OnGet, OnPut). */
struct StoreCall
{
  CallTicket mTicket = 0;
  std::string mObject;
  bool mIsWrite = false;
  std::string mValue;
  WriteCondition mCondition;
};

/** The grant is committed: ask MayDispatch, then dispatch. */
struct Granted
{
  RequestToken mRequest = 0;
  std::string mKey;
  Nonce mNonce = 0;
  /** Pass it on to the backend server as the request's deadline. */
  Time mDispatchBefore{};
};

/** The key has run; answer the request with the kept answer. */
struct Duplicate
{
  RequestToken mRequest = 0;
  std::string mAnswer;
};

/** It was not run under this request and will not be. */
struct NotRun
{
  RequestToken mRequest = 0;
  RunOnceReason mReason{};
  Duration mRetryAfter{};
};

/** It may have run; it will not be run again. */
struct Unknown
{
  RequestToken mRequest = 0;
  RunOnceReason mReason{};
};

/** Send a question to a host's agent (OnQuestion there) and bring the reply
 * (OnReply). It may be lost; it is asked again. */
struct AskHolder
{
  std::string mKey;
  Grant mGrant;
};

/** Ask the agents of every member of the service, suspects too, with nonce 0,
 * and bring what they know (OnPeers). */
struct AskPeers
{
  std::string mKey;
};

/** A change that a shard's home is asked to write. */
struct ShardWish
{
  std::string mKey;
  ChangeKind mKind = ChangeKind::Claim;
  Grant mGrant;
  Nonce mReplaces = 0;
  /** With Claim: how long its holder waits. */
  Duration mWithin{};
};

/** Send wishes to the agent of a shard's home (OnWishes there). They may be
 * lost or come twice; they are sent again. */
struct AskHome
{
  HostId mHome;
  std::vector<ShardWish> mWishes;
};

/** Send outcomes of its wishes to an agent (OnOutcomes there). */
struct TellAgent
{
  HostId mAgent;
  std::vector<ShardOutcome> mOutcomes;
  /** With Down: when to ask this home again. */
  Duration mRetryAfter{};
};

using RunOnceAction = std::variant<StoreCall, Granted, Duplicate, NotRun,
                                   Unknown, AskHolder, AskPeers>;

/** What agents say to each other where shards have homes. */
using HomeMessage = std::variant<AskHome, TellAgent>;

/** What a host knows of a key, in reply to a question; a larger one is graver.
 */
enum class KeyKnowledge : std::uint8_t
{
  /** Nothing; or with a nonce: that attempt is from before its restart. */
  None,
  /** Nothing, but it started too lately to vouch that it never ran here. */
  Unsure,
  /** It is granted or running here, or may be soon. */
  Running,
  /** It ended; the answer follows. */
  Answered,
  /** It ended or was lost sight of; there is no answer. */
  Ended,
  /** That attempt was given up here before it was dispatched, for good. */
  GivenUp,
};

struct KeyReply
{
  KeyKnowledge mKnowledge = KeyKnowledge::None;
  std::string mAnswer;
};

} // namespace heatherplank
