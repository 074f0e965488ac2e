#include "src/record/ShardWriter.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

namespace {

ShardOutcome OutcomeOf(const std::string& aKey, const ShardChange& aChange,
                       ChangeResult aResult)
{
  ShardOutcome outcome;
  outcome.mKey = aKey;
  outcome.mKind = aChange.mKind;
  outcome.mHolder = aChange.mGrant.mHost;
  outcome.mIncarnation = aChange.mGrant.mIncarnation;
  outcome.mNonce = aChange.mGrant.mNonce;
  outcome.mResult = aResult;
  return outcome;
}

} // namespace

ShardWriter::ShardWriter(const ShardWriterOptions& aOptions)
  : mOptions(aOptions)
{
}

bool ShardWriter::Enqueue(const std::string& aKey, const ShardChange& aChange)
{
  PendingWrite& write = mPending[{ aKey, aChange.mGrant.mNonce }];
  bool repeated = write.mSequence != 0 && write.mChange.mKind == aChange.mKind;
  if (!repeated) {
    write = { aChange, mNextSequence++ };
  }
  return !repeated;
}

void ShardWriter::GiveUp(const std::string& aKey, const Grant& aGrant,
                         Time aDue)
{
  PendingKey write{ aKey, aGrant.mNonce };
  const Grant* present = mContent.Find(aKey);
  bool isCommitted = present != nullptr && present->mNonce == aGrant.mNonce;
  if (isCommitted || mInDoubtVersion || mBatch.contains(write)) {
    Enqueue(aKey, { ChangeKind::Withdraw, aGrant, 0, aDue });
  } else {
    mPending.erase(write);
  }
}

bool ShardWriter::IsClaiming(const std::string& aKey, Nonce aNonce) const
{
  auto it = mPending.find({ aKey, aNonce });
  return it != mPending.end() && it->second.mChange.mKind == ChangeKind::Claim;
}

std::vector<ShardOutcome> ShardWriter::RefuseClaims(HostId aExcept)
{
  std::vector<ShardOutcome> out;
  for (auto it = mPending.begin(); it != mPending.end();) {
    const ShardChange& change = it->second.mChange;
    bool refused =
      change.mKind == ChangeKind::Claim && change.mGrant.mHost != aExcept;
    if (!refused) {
      ++it;
      continue;
    }
    out.push_back(OutcomeOf(it->first.mKey, change, ChangeResult::Down));
    it = mPending.erase(it);
  }
  return out;
}

/** Guards against: a home receives a claim twice, the second time past its
 * deadline, and withdraws the grant while its holder runs the key, which can
 * then run twice. An expired claim is dropped without withdrawing its grant,
 * since only the holder knows that a nonce was given up. */
void ShardWriter::DropExpiredClaims(Time aNow)
{
  std::erase_if(mPending, [aNow](const auto& aWrite) {
    const ShardChange& change = aWrite.second.mChange;
    return change.mKind == ChangeKind::Claim && change.mExpiresAt <= aNow;
  });
}

void ShardWriter::ReleaseIfIdle(Time aNow)
{
  bool idle = !mBusy && mPending.empty() && mContentUsable &&
              aNow - mContentAt >= mOptions.mContentRetention;
  if (idle) {
    mContentUsable = false;
    mContent = {};
    mProposed = {};
  }
}

bool ShardWriter::IsDue(Time aNow) const
{
  if (mBusy) {
    return false;
  }
  return std::ranges::any_of(mPending, [aNow](const auto& aWrite) {
    return aWrite.second.mChange.mDue <= aNow;
  });
}

bool ShardWriter::NextIsWrite() const
{
  return mContentUsable;
}

ShardCall ShardWriter::Start(Time aNow)
{
  mBusy = true;
  ++mCallsStarted;
  if (!mContentUsable) {
    return {};
  }
  return StartWrite(aNow);
}

ShardCall ShardWriter::StartWrite(Time aNow)
{
  mProposed = mContent;
  RotateIfDue(mProposed, aNow);
  mBatch.clear();
  for (const auto& [key, write] : mPending) {
    if (mBatch.size() == mOptions.mMaxBatch) {
      break;
    }
    if (Apply(mProposed, key.mKey, write.mChange)) {
      mBatch.emplace_hint(mBatch.end(), key, write);
    }
  }
  return { true, mProposed.Encode(), Condition() };
}

/** Guards against: two agents grant one key at the same time, or a process that
 * was stalled since its read overwrites newer content, and a key runs twice.
 * The platform accepts a write only if the object is still at the version that
 * the writer has read, in which the key had no grant. */
WriteCondition ShardWriter::Condition() const
{
  if (!mOptions.mConditional) {
    return WriteCondition::Always();
  }
  return !mVersion.IsKnown() ? WriteCondition::IfAbsent()
                             : WriteCondition::IfVersion(mVersion);
}

bool ShardWriter::Apply(GrantShard& aShard, const std::string& aKey,
                        const ShardChange& aChange) const
{
  const Grant* present = aShard.Find(aKey);
  bool isOurs = present != nullptr && present->mNonce == aChange.mGrant.mNonce;
  if (aChange.mKind == ChangeKind::Claim) {
    bool free = present == nullptr || isOurs ||
                (present->mNonce == aChange.mReplaces && !present->mAnswered);
    if (free) {
      aShard.Set(aKey, aChange.mGrant);
    }
    return free;
  }
  if (isOurs && aChange.mKind == ChangeKind::Withdraw) {
    if (!present->mAnswered) {
      aShard.Remove(aKey);
    }
  } else if (isOurs) {
    Grant answered = aChange.mGrant;
    if (aShard.EncodedBound() >= mOptions.mMaxBytesWithAnswers) {
      answered.mAnswer.reset();
    }
    aShard.Set(aKey, answered);
  }
  return true;
}

/** Guards against: grants accumulate until the object is full, and all claims
 * are refused as shard_full. Each process measures retention from when it first
 * saw the generation, so retention is never shorter than configured and no
 * clocks are compared. The rotation is part of a write that is made anyway, so
 * processes don't all write at once to rotate. */
void ShardWriter::RotateIfDue(GrantShard& aShard, Time aNow)
{
  if (aNow - mGenerationSince >= mOptions.mGenerationDuration) {
    aShard.Rotate();
  }
}

void ShardWriter::SetContent(GrantShard aShard, StoreVersion aVersion,
                             Time aNow)
{
  mContent = std::move(aShard);
  mVersion = aVersion;
  mContentUsable = true;
  mContentAt = aNow;
  mContentCall = mCallsStarted;
  if (mLastGeneration != mContent.Generation()) {
    mLastGeneration = mContent.Generation();
    mGenerationSince = aNow;
  }
  // A write in flight that is based on another version can't be committed any
  // more.
  if (mInDoubtVersion && *mInDoubtVersion != aVersion) {
    mInDoubtVersion.reset();
  }
}

std::vector<ShardOutcome> ShardWriter::OnGet(const Result<Object>& aResult,
                                             Time aNow)
{
  mBusy = false;
  if (!aResult) {
    if (aResult.error().mKind != ErrorKind::NotFound) {
      return {};
    }
    SetContent({}, {}, aNow);
    return SettleFromContent(aNow);
  }
  auto shard = GrantShard::Decode(aResult->mValue);
  if (!shard) {
    return {};
  }
  SetContent(std::move(*shard), aResult->mVersion, aNow);
  return SettleFromContent(aNow);
}

/** Guards against: the answer to a write is lost, before or after the write
 * took effect. If it is assumed to be committed, a key that another agent was
 * granted may run twice; if not, a NotRun answer may be false. Such a write is
 * settled only by reading the object back and looking for the nonce. A write
 * that may still be committed fails once the version has changed. */
std::vector<ShardOutcome> ShardWriter::OnPut(
  const Result<StoreVersion>& aResult, Time aNow)
{
  mBusy = false;
  if (aResult) {
    SetContent(std::move(mProposed), *aResult, aNow);
    return SettleBatch();
  }
  switch (aResult.error().mKind) {
    case ErrorKind::Unavailable:
      mBatch.clear();
      return {};
    case ErrorKind::Conflict:
      mBatch.clear();
      ++mConflicts;
      mContentUsable = false;
      return {};
    default:
      break;
  }
  mContentUsable = false;
  mInDoubtVersion = mVersion;
  return mOptions.mReadBack ? std::vector<ShardOutcome>{} : SettleBatch();
}

std::vector<ShardOutcome> ShardWriter::SettleBatch()
{
  std::vector<ShardOutcome> out;
  for (const auto& [key, write] : mBatch) {
    auto it = mPending.find(key);
    bool current =
      it != mPending.end() && it->second.mSequence == write.mSequence;
    if (current) {
      out.push_back(
        OutcomeOf(key.mKey, write.mChange, ChangeResult::Committed));
      mPending.erase(it);
    }
  }
  mBatch.clear();
  return out;
}

std::vector<ShardOutcome> ShardWriter::SettleFromContent(Time aNow)
{
  std::vector<ShardOutcome> out;
  DropExpiredClaims(aNow);
  if (!mContentUsable) {
    return out;
  }
  for (auto it = mPending.begin(); it != mPending.end();) {
    auto settled = Settle(it->first.mKey, it->second.mChange, aNow);
    if (!settled) {
      ++it;
      continue;
    }
    // Another process may have made room since, so read again before the next
    // write.
    mContentUsable = mContentUsable && settled->mResult != ChangeResult::Full;
    out.push_back(std::move(*settled));
    it = mPending.erase(it);
  }
  return out;
}

std::optional<ShardOutcome> ShardWriter::Settle(const std::string& aKey,
                                                const ShardChange& aChange,
                                                Time aNow) const
{
  if (aChange.mKind == ChangeKind::Claim) {
    return SettleClaim(aKey, aChange, aNow);
  }
  const Grant* present = mContent.Find(aKey);
  bool isOurs = present != nullptr && present->mNonce == aChange.mGrant.mNonce;
  if (isOurs && present->mAnswered) {
    bool answer = aChange.mKind == ChangeKind::Answer;
    return OutcomeOf(aKey, aChange,
                     answer ? ChangeResult::Committed : ChangeResult::Gone);
  }
  // While a write may still be committed, absence of the grant is no proof. The
  // next write changes the version, after which it is.
  if (isOurs || mInDoubtVersion) {
    return std::nullopt;
  }
  return OutcomeOf(aKey, aChange, ChangeResult::Gone);
}

std::optional<ShardOutcome> ShardWriter::SettleClaim(const std::string& aKey,
                                                     const ShardChange& aChange,
                                                     Time aNow) const
{
  const Grant* present = mContent.Find(aKey);
  if (present == nullptr) {
    if (mContent.HasExpired(aKey)) {
      return OutcomeOf(aKey, aChange, ChangeResult::Expired);
    }
    if (IsFull(aNow)) {
      return OutcomeOf(aKey, aChange, ChangeResult::Full);
    }
    return std::nullopt;
  }
  if (present->mNonce == aChange.mGrant.mNonce) {
    return OutcomeOf(aKey, aChange, ChangeResult::Committed);
  }
  if (present->mNonce == aChange.mReplaces && !present->mAnswered) {
    return std::nullopt;
  }
  ShardOutcome taken = OutcomeOf(aKey, aChange, ChangeResult::Taken);
  taken.mPresent = *present;
  return taken;
}

bool ShardWriter::IsFull(Time aNow) const
{
  bool rotates = aNow - mGenerationSince >= mOptions.mGenerationDuration;
  return !rotates && mContent.EncodedBound() >= mOptions.mMaxBytesForGrants;
}

} // namespace heatherplank
