#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/ObjectStore.h"
#include "src/record/Grant.h"
#include "src/record/GrantShard.h"

namespace heatherplank {

/** The kind of a change to a key's grant. */
enum class ChangeKind : std::uint8_t
{
  /** Adds a grant under the change's nonce. */
  Claim,
  /** Adds the answer to the grant with the change's nonce. */
  Answer,
  /** Removes the grant with the change's nonce, whose attempt was given up. */
  Withdraw,
};

struct ShardChange
{
  ChangeKind mKind = ChangeKind::Claim;
  Grant mGrant;
  /** With Claim: the nonce of a grant that may be replaced, since its holder
   * gave it up; 0 for none. */
  Nonce mReplaces = 0;
  /** When a write must be started for this change; an earlier write also
   * carries it. */
  Time mDue{};
  /** With Claim: when the holder stops waiting for the grant. */
  Time mExpiresAt = Time::max();
};

/** The result of a change. */
enum class ChangeResult : std::uint8_t
{
  /** The change is stored in the platform. */
  Committed,
  /** With Claim: the key has another grant. */
  Taken,
  /** With Claim: the key had a grant that has expired. */
  Expired,
  /** With Claim: the shard is full. */
  Full,
  /** With Answer or Withdraw: nothing is left to change. */
  Gone,
  /** With Claim: the platform is down. */
  Down,
  /** With Claim: the platform is too slow for the deadline. */
  Slow,
  /** The change is pending at the home, which reports its outcome later. */
  Queued,
};

struct ShardOutcome
{
  std::string mKey;
  ChangeKind mKind = ChangeKind::Claim;
  /** The holder and nonce that the change named. */
  HostId mHolder;
  Incarnation mIncarnation = 0;
  Nonce mNonce = 0;
  ChangeResult mResult = ChangeResult::Committed;
  /** With Taken: the key's present grant. */
  Grant mPresent;
};

/** A platform call for the driver to make. */
struct ShardCall
{
  bool mIsWrite = false;
  std::string mValue;
  WriteCondition mCondition;
};

struct ShardWriterOptions
{
  /** Size of the encoded value, in bytes, from which no grant is added. */
  std::size_t mMaxBytesForGrants = 800000;
  /** Size in bytes from which answers are no longer stored. The rest, up to the
   * platform's limit, has room for the largest batch. */
  std::size_t mMaxBytesWithAnswers = 900000;
  /** Maximum number of changes in one write. */
  std::size_t mMaxBatch = 500;
  /** Minimum duration of a generation (see GrantShard). A grant is retained in
   * full for one to two generations, and as a hash for one more. */
  Duration mGenerationDuration = std::chrono::hours(24);
  /** Cached content is released after this long without use, since 64 full
   * shards exceed the memory of the process; it is read again when needed. */
  Duration mContentRetention = std::chrono::minutes(1);
  /** Test switch: if false, writes are unconditional. */
  bool mConditional = true;
  /** Test switch: if false, a write without an answer counts as committed. */
  bool mReadBack = true;
};

/** Writes pending changes to one shard's object. All pending changes go into
 * one conditional write (group commit), with one call in flight at a time. No
 * I/O or clock access; not thread safe. */
class ShardWriter
{
public:
  explicit ShardWriter(const ShardWriterOptions& aOptions);

  /** Queues a change of a key, replacing a pending change of another kind for
   * the same nonce. False if a change of this kind is pending already. */
  bool Enqueue(const std::string& aKey, const ShardChange& aChange);
  /** Gives up the claim of a key under aGrant's nonce. If a write may have
   * carried the claim, queues a withdrawal due at aDue; otherwise drops it. */
  void GiveUp(const std::string& aKey, const Grant& aGrant, Time aDue);
  /** Returns the outcomes of the pending changes that the cached content
   * already settles, and drops expired claims. Call it before Start. */
  std::vector<ShardOutcome> SettleFromContent(Time aNow);
  /** True if a claim of the key under the nonce is pending. */
  bool IsClaiming(const std::string& aKey, Nonce aNonce) const;
  /** Drops the pending claims of all holders but aExcept, with the outcome
   * Down. If a write in flight still commits one, its holder withdraws it. */
  std::vector<ShardOutcome> RefuseClaims(HostId aExcept);

  /** True if a call should be made now. */
  bool IsDue(Time aNow) const;
  /** True if the next call would be a write. */
  bool NextIsWrite() const;
  /** Returns the call to make. Precondition: IsDue. No other call is due until
   * its answer is delivered (OnGet, OnPut). */
  ShardCall Start(Time aNow);

  /** OnGet and OnPut take an answer and return the outcomes that it settles. */
  std::vector<ShardOutcome> OnGet(const Result<Object>& aResult, Time aNow);
  std::vector<ShardOutcome> OnPut(const Result<StoreVersion>& aResult,
                                  Time aNow);

  /** Releases the cached content if it was not used for mContentRetention. */
  void ReleaseIfIdle(Time aNow);
  /** True if usable content is cached. */
  bool HoldsContent() const { return mContentUsable; }
  bool IsBusy() const { return mBusy; }
  /** Number of calls started, and the ordinal of the call whose answer gave the
   * cached content. Content from a call that was started before an event may
   * not reflect that event. */
  std::uint64_t CallsStarted() const { return mCallsStarted; }
  std::uint64_t ContentCall() const { return mContentCall; }
  std::size_t PendingCount() const { return mPending.size(); }
  /** Number of conditional writes that failed with a conflict. */
  std::uint64_t Conflicts() const { return mConflicts; }

private:
  struct PendingWrite
  {
    ShardChange mChange;
    /** Sequence number, to recognise the changes that a write carried. */
    std::uint64_t mSequence = 0;
  };
  struct PendingKey
  {
    std::string mKey;
    Nonce mNonce = 0;
    auto operator<=>(const PendingKey&) const = default;
  };
  using PendingWrites = std::map<PendingKey, PendingWrite>;

  ShardCall StartWrite(Time aNow);
  void SetContent(GrantShard aShard, StoreVersion aVersion, Time aNow);
  void RotateIfDue(GrantShard& aShard, Time aNow);
  /** Applies the change; false if another grant prevents a claim. */
  bool Apply(GrantShard& aShard, const std::string& aKey,
             const ShardChange& aChange) const;
  std::optional<ShardOutcome> Settle(const std::string& aKey,
                                     const ShardChange& aChange,
                                     Time aNow) const;
  std::optional<ShardOutcome> SettleClaim(const std::string& aKey,
                                          const ShardChange& aChange,
                                          Time aNow) const;
  bool IsFull(Time aNow) const;
  void DropExpiredClaims(Time aNow);
  std::vector<ShardOutcome> SettleBatch();
  WriteCondition Condition() const;

  const ShardWriterOptions mOptions;
  PendingWrites mPending;
  std::uint64_t mNextSequence = 1;
  bool mBusy = false;
  /** True if mContent, at mVersion (unknown if absent), can be written upon. */
  bool mContentUsable = false;
  Time mContentAt{};
  GrantShard mContent;
  StoreVersion mVersion;
  /** The write in flight: its content and the changes that it carries. */
  GrantShard mProposed;
  PendingWrites mBatch;
  /** Base version of an unanswered write, which may still be committed. */
  std::optional<StoreVersion> mInDoubtVersion;
  /** When this process first saw the current generation. */
  Time mGenerationSince{};
  std::optional<std::uint64_t> mLastGeneration;
  std::uint64_t mConflicts = 0;
  std::uint64_t mCallsStarted = 0;
  std::uint64_t mContentCall = 0;
};

} // namespace heatherplank
