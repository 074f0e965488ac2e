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

/** What this process wants of a key in its shard. */
enum class ChangeKind : std::uint8_t
{
  /** The grant should be there, under our nonce. */
  Claim,
  /** The answer should stand with our grant. */
  Answer,
  /** Our nonce was given up: its grant should not be there. */
  Withdraw,
};

struct ShardChange
{
  ChangeKind mKind = ChangeKind::Claim;
  Grant mGrant;
  /** With Claim: a grant whose holder gave it up, and which may be replaced;
   * 0 for none. */
  Nonce mReplaces = 0;
  /** When to write it at the latest. */
  Time mDue{};
  /** With Claim: when its holder gives it up by itself. */
  Time mUntil = Time::max();
};

/** How a change came out. */
enum class ChangeResult : std::uint8_t
{
  /** It is in the platform. */
  Committed,
  /** With Claim: another grant is there. */
  Taken,
  /** With Claim: the key had a grant that was dropped after its retention. */
  Faded,
  /** With Claim: the shard is full. */
  Full,
  /** With Answer or Withdraw: nothing is left to change. */
  Gone,
  /** With Claim: the platform is down. */
  Down,
  /** With Claim: the platform won't answer in time. */
  Slow,
  /** Not settled yet; the home has it and will say. */
  Queued,
};

struct ShardOutcome
{
  std::string mKey;
  ChangeKind mKind = ChangeKind::Claim;
  /** Whose change it was, and the nonce that it named. */
  HostId mHolder;
  Incarnation mIncarnation = 0;
  Nonce mNonce = 0;
  ChangeResult mResult = ChangeResult::Committed;
  /** With Taken: the grant that is there. */
  Grant mPresent;
};

/** A platform call that a writer wants made. */
struct ShardCall
{
  bool mIsWrite = false;
  std::string mValue;
  WriteCondition mCondition;
};

struct ShardWriterOptions
{
  /** Bytes of a value above which no grant is added. */
  std::size_t mFullAt = 800000;
  /** Bytes above which answers are no longer kept in it; what is left up to
   * the platform's limit holds the largest batch. */
  std::size_t mAnswersUntil = 900000;
  /** Most changes of one write. */
  std::size_t mMaxBatch = 500;
  /** A generation lasts at least this long; a grant is kept in full for one to
   * two of them and as a hash for one more. */
  Duration mGeneration = std::chrono::hours(24);
  /** Content that was not used for this long is let go, since 64 full shards
   * would take more memory than the process has; it is read again. */
  Duration mKeepContent = std::chrono::minutes(1);
  /** Guard switch: off, writes are unconditional. */
  bool mConditional = true;
  /** Guard switch: off, a write of unknown effect counts as done. */
  bool mReadBack = true;
};

/** Brings one shard's object to what this process wants of it: all that waits
 * goes in one conditional write (group commit). Pure; one call at a time. Not
 * thread safe.
 */
class ShardWriter
{
public:
  explicit ShardWriter(const ShardWriterOptions& aOptions);

  /** Wants a change of a key, in place of what it wanted for the same nonce;
   * false if it is wanted already. */
  bool Want(const std::string& aKey, const ShardChange& aChange);
  /** No longer wants to claim a key under aGrant's nonce: forgets the claim if
   * no write can have carried it, or else wants it withdrawn by aDue. */
  void GiveUp(const std::string& aKey, const Grant& aGrant, Time aDue);
  /** Settles what the content last seen settles. Call it before Start. */
  std::vector<ShardOutcome> Review(Time aNow);
  /** True if a claim of a key under a nonce waits here. */
  bool IsClaiming(const std::string& aKey, Nonce aNonce) const;
  /** Forgets the claims of all holders but one, with Down. A write under way
   * may still commit them, which is for their holders to undo. */
  std::vector<ShardOutcome> RefuseClaims(HostId aExcept);

  /** True if a call should be made now. */
  bool IsDue(Time aNow) const;
  /** True if the next call would be a write. */
  bool NextIsWrite() const;
  /** The call to make. Precondition: IsDue. Until its answer comes (OnGet,
   * OnPut) no other is due. */
  ShardCall Start(Time aNow);

  /** The answers; each gives the outcomes that it settled. */
  std::vector<ShardOutcome> OnGet(const Result<Object>& aResult, Time aNow);
  std::vector<ShardOutcome> OnPut(const Result<std::uint64_t>& aResult,
                                  Time aNow);

  /** Lets the content go if it was not used for long. */
  void ReleaseIfIdle(Time aNow);
  /** True if the content last seen is held. */
  bool HoldsContent() const { return mFresh; }
  bool IsBusy() const { return mBusy; }
  /** Calls started so far, and the one whose answer gave the content last
   * seen: a call that was started before some moment proves nothing of it. */
  std::uint64_t Started() const { return mStarted; }
  std::uint64_t SeenBy() const { return mSeenBy; }
  std::size_t Waiting() const { return mWanted.size(); }
  /** Conditional writes that lost a race. */
  std::uint64_t Conflicts() const { return mConflicts; }

private:
  struct Wish
  {
    ShardChange mChange;
    /** Grows with each Want, to tell what a write in flight carried. */
    std::uint64_t mStamp = 0;
  };
  struct WishKey
  {
    std::string mKey;
    Nonce mNonce = 0;
    auto operator<=>(const WishKey&) const = default;
  };
  using Wishes = std::map<WishKey, Wish>;

  ShardCall StartWrite(Time aNow);
  void Adopt(GrantShard aShard, std::uint64_t aVersion, Time aNow);
  void RotateIfDue(GrantShard& aShard, Time aNow);
  /** Makes the change; false if another grant is in a claim's way. */
  bool Apply(GrantShard& aShard, const std::string& aKey,
             const ShardChange& aChange) const;
  std::optional<ShardOutcome> Settle(const std::string& aKey,
                                     const ShardChange& aChange,
                                     Time aNow) const;
  std::optional<ShardOutcome> SettleClaim(const std::string& aKey,
                                          const ShardChange& aChange,
                                          Time aNow) const;
  bool IsFull(Time aNow) const;
  void DropExpired(Time aNow);
  std::vector<ShardOutcome> SettleBatch();
  WriteCondition Condition() const;

  const ShardWriterOptions mOptions;
  Wishes mWanted;
  std::uint64_t mNextStamp = 1;
  bool mBusy = false;
  /** The content last seen, at mVersion (0 for absent), is worth a write. */
  bool mFresh = false;
  Time mSeenAt{};
  GrantShard mSeen;
  std::uint64_t mVersion = 0;
  /** The write in flight: its content and the wishes that it carries. */
  GrantShard mProposed;
  Wishes mBatch;
  /** A write on top of this version may still land. */
  std::optional<std::uint64_t> mLimbo;
  /** When the generation was first seen by this process. */
  Time mGenerationSince{};
  std::optional<std::uint64_t> mGenerationSeen;
  std::uint64_t mConflicts = 0;
  std::uint64_t mStarted = 0;
  std::uint64_t mSeenBy = 0;
};

} // namespace heatherplank
