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

/** Identifies a request to the driver; unique among open requests. */
using RequestToken = std::uint64_t;
/** Identifies a platform call, to match its answer. */
using CallTicket = std::uint64_t;

/** Why a request was not run, or why its outcome is unknown. */
enum class RunOnceReason : std::uint8_t
{
  /** The circuit breaker is open: the platform is down. */
  PlatformDown,
  /** The platform is up but too slow to answer before the deadline. */
  PlatformSlow,
  /** The deadline passed before the grant was committed. */
  DeadlinePassed,
  /** The grant was committed, but a stalled holder missed the deadline. */
  HolderLate,
  /** This process holds the maximum number of keys. */
  TooManyKeys,
  /** The key's shard has reached its size limit for grants. */
  ShardFull,
  /** The key is empty or too long. */
  BadKey,
  /** The backend server refused the request before running it. */
  RefusedByServer,
  /** The caller cancelled the request before it was dispatched. */
  Cancelled,

  // For the reasons below the outcome is unknown.

  /** The key may be running, and there was no answer by the deadline. */
  StillRunning,
  /** The host that holds the key's grant is unresponsive. */
  HolderSilent,
  /** The host that holds the key's grant has restarted since. */
  HolderLost,
  /** The key ran or may have run; no answer is stored. */
  NoAnswerKept,
  /** The key's grant has expired, and its answer with it. */
  KeyTooOld,
  /** During an outage, the peers could not confirm that the key never ran. */
  PeersSilent,
  /** Too many requests for the key are waiting for its answer. */
  TooManyWaiters,
  Last = TooManyWaiters,
};

/** The name of a reason in metrics and answers. */
std::string_view ToString(RunOnceReason aReason);

/** Make this platform call and deliver its answer (OnGet, OnPut). */
struct StoreCall
{
  CallTicket mTicket = 0;
  std::string mObject;
  bool mIsWrite = false;
  std::string mValue;
  WriteCondition mCondition;
};

/** The grant is committed: call MayDispatch, and dispatch if it is true. */
struct Granted
{
  RequestToken mRequest = 0;
  std::string mKey;
  Nonce mNonce = 0;
  /** The request's deadline, to be forwarded to the backend server. */
  Time mDispatchBefore{};
};

/** The key has run; answer the request with the stored answer. */
struct Duplicate
{
  RequestToken mRequest = 0;
  std::string mAnswer;
};

/** The key was not run for this request and won't be. */
struct NotRun
{
  RequestToken mRequest = 0;
  RunOnceReason mReason{};
  Duration mRetryAfter{};
};

/** The key may have run; it won't be run again. */
struct Unknown
{
  RequestToken mRequest = 0;
  RunOnceReason mReason{};
};

/** Query the agent of the grant's host (OnKeyQuery there) and deliver its reply
 * (OnHolderReply). Either message may be lost; the query is repeated. */
struct HolderQuery
{
  std::string mKey;
  Grant mGrant;
};

/** Query the agents of all members of the service, including suspected ones,
 * with nonce 0, and deliver the combined replies (OnPeerReplies). */
struct PeerQuery
{
  std::string mKey;
};

/** A pending write that is sent to the shard's home. */
struct PendingShardWrite
{
  std::string mKey;
  ChangeKind mKind = ChangeKind::Claim;
  Grant mGrant;
  Nonce mReplaces = 0;
  /** With Claim: how long the holder waits for the grant. */
  Duration mTimeout{};
};

/** Send pending writes to the agent of a shard's home (OnPendingWrites there).
 * They may be lost or duplicated; unanswered ones are sent again. */
struct SendToHome
{
  HostId mHome;
  std::vector<PendingShardWrite> mPendingWrites;
};

/** Send the outcomes of an agent's pending writes to it (OnOutcomes there). */
struct ReplyToAgent
{
  HostId mAgent;
  std::vector<ShardOutcome> mOutcomes;
  /** With Down: when to try this home again. */
  Duration mRetryAfter{};
};

using RunOnceAction = std::variant<StoreCall, Granted, Duplicate, NotRun,
                                   Unknown, HolderQuery, PeerQuery>;

/** Messages between agents when shards have homes. */
using HomeMessage = std::variant<SendToHome, ReplyToAgent>;

/** What a host knows of a key, in reply to a query. Where replies are combined,
 * the largest value is used. */
enum class KeyKnowledge : std::uint8_t
{
  /** The key is unknown here. For a query with a nonce: the attempt is from
   * before the host's restart. */
  None,
  /** The key is unknown, but the process started too recently to confirm that
   * it never ran here. */
  Unsure,
  /** The key is being claimed, is granted or is running here. */
  Running,
  /** The run ended; mAnswer holds its answer. */
  Answered,
  /** The run ended or its outcome can't be determined; there is no answer. */
  Ended,
  /** The attempt was given up before dispatch and is never dispatched. */
  GivenUp,
};

struct KeyReply
{
  KeyKnowledge mKnowledge = KeyKnowledge::None;
  std::string mAnswer;
};

} // namespace heatherplank
