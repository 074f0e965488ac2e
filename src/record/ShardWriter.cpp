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

bool ShardWriter::Want(const std::string& aKey, const ShardChange& aChange)
{
  Wish& wish = mWanted[{ aKey, aChange.mGrant.mNonce }];
  bool repeated = wish.mStamp != 0 && wish.mChange.mKind == aChange.mKind;
  if (!repeated) {
    wish = { aChange, mNextStamp++ };
  }
  return !repeated;
}

void ShardWriter::GiveUp(const std::string& aKey, const Grant& aGrant,
                         Time aDue)
{
  WishKey wish{ aKey, aGrant.mNonce };
  const Grant* present = mSeen.Find(aKey);
  bool landed = present != nullptr && present->mNonce == aGrant.mNonce;
  if (landed || mLimbo || mBatch.contains(wish)) {
    Want(aKey, { ChangeKind::Withdraw, aGrant, 0, aDue });
  } else {
    mWanted.erase(wish);
  }
}

bool ShardWriter::IsClaiming(const std::string& aKey, Nonce aNonce) const
{
  auto it = mWanted.find({ aKey, aNonce });
  return it != mWanted.end() && it->second.mChange.mKind == ChangeKind::Claim;
}

std::vector<ShardOutcome> ShardWriter::RefuseClaims(HostId aExcept)
{
  std::vector<ShardOutcome> out;
  for (auto it = mWanted.begin(); it != mWanted.end();) {
    const ShardChange& change = it->second.mChange;
    bool refused =
      change.mKind == ChangeKind::Claim && change.mGrant.mHost != aExcept;
    if (!refused) {
      ++it;
      continue;
    }
    out.push_back(OutcomeOf(it->first.mKey, change, ChangeResult::Down));
    it = mWanted.erase(it);
  }
  return out;
}

/** Failure met: a home takes out a grant whose claim came to it twice, the
 * second time past its deadline, while its holder runs the key. Shown as a key
 * that ran twice. So an expired claim is forgotten and never withdrawn: only
 * its holder can say that a nonce is dead. */
void ShardWriter::DropExpired(Time aNow)
{
  std::erase_if(mWanted, [aNow](const auto& aWish) {
    const ShardChange& change = aWish.second.mChange;
    return change.mKind == ChangeKind::Claim && change.mUntil <= aNow;
  });
}

void ShardWriter::ReleaseIfIdle(Time aNow)
{
  bool idle = !mBusy && mWanted.empty() && mFresh &&
              aNow - mSeenAt >= mOptions.mKeepContent;
  if (idle) {
    mFresh = false;
    mSeen = {};
    mProposed = {};
  }
}

bool ShardWriter::IsDue(Time aNow) const
{
  if (mBusy) {
    return false;
  }
  return std::ranges::any_of(mWanted, [aNow](const auto& aWish) {
    return aWish.second.mChange.mDue <= aNow;
  });
}

bool ShardWriter::NextIsWrite() const
{
  return mFresh;
}

ShardCall ShardWriter::Start(Time aNow)
{
  mBusy = true;
  ++mStarted;
  if (!mFresh) {
    return {};
  }
  return StartWrite(aNow);
}

ShardCall ShardWriter::StartWrite(Time aNow)
{
  mProposed = mSeen;
  RotateIfDue(mProposed, aNow);
  mBatch.clear();
  for (const auto& [key, wish] : mWanted) {
    if (mBatch.size() == mOptions.mMaxBatch) {
      break;
    }
    if (Apply(mProposed, key.mKey, wish.mChange)) {
      mBatch.emplace_hint(mBatch.end(), key, wish);
    }
  }
  return { true, mProposed.Encode(), Condition() };
}

/** Failure met: two agents grant one key at once, or a holder that slept since
 * it read writes over what came after. Shown as a key that ran twice. It holds
 * since the platform takes a write only on top of the version that the writer
 * has read, in which the key had no grant. */
WriteCondition ShardWriter::Condition() const
{
  if (!mOptions.mConditional) {
    return WriteCondition::Always();
  }
  return mVersion == 0 ? WriteCondition::IfAbsent()
                       : WriteCondition::IfVersion(mVersion);
}

bool ShardWriter::Apply(GrantShard& aShard, const std::string& aKey,
                        const ShardChange& aChange) const
{
  const Grant* present = aShard.Find(aKey);
  bool ours = present != nullptr && present->mNonce == aChange.mGrant.mNonce;
  if (aChange.mKind == ChangeKind::Claim) {
    bool free = present == nullptr || ours ||
                (present->mNonce == aChange.mReplaces && !present->mAnswered);
    if (free) {
      aShard.Set(aKey, aChange.mGrant);
    }
    return free;
  }
  if (ours && aChange.mKind == ChangeKind::Withdraw) {
    if (!present->mAnswered) {
      aShard.Remove(aKey);
    }
  } else if (ours) {
    Grant answered = aChange.mGrant;
    if (aShard.EncodedBound() >= mOptions.mAnswersUntil) {
      answered.mAnswer.reset();
    }
    aShard.Set(aKey, answered);
  }
  return true;
}

/** Failure met: grants pile up until the object is full and no claim runs any
 * more. Shown by refusals as shard_full. Retention is counted by each process
 * from when it first saw the generation, so it is never shorter than set, and
 * no clocks are compared; it rides on a write that happens anyway, so no herd
 * of collectors forms. */
void ShardWriter::RotateIfDue(GrantShard& aShard, Time aNow)
{
  if (aNow - mGenerationSince >= mOptions.mGeneration) {
    aShard.Rotate();
  }
}

void ShardWriter::Adopt(GrantShard aShard, std::uint64_t aVersion, Time aNow)
{
  mSeen = std::move(aShard);
  mVersion = aVersion;
  mFresh = true;
  mSeenAt = aNow;
  mSeenBy = mStarted;
  if (mGenerationSeen != mSeen.Generation()) {
    mGenerationSeen = mSeen.Generation();
    mGenerationSince = aNow;
  }
  // A write still under way on top of an older version can't land any more.
  if (mLimbo && *mLimbo != aVersion) {
    mLimbo.reset();
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
    Adopt({}, 0, aNow);
    return Review(aNow);
  }
  auto shard = GrantShard::Decode(aResult->mValue);
  if (!shard) {
    return {};
  }
  Adopt(std::move(*shard), aResult->mVersion, aNow);
  return Review(aNow);
}

/** Failure met: the answer to a write is lost after the write took effect, or
 * before. Taken for done, a key may run that another agent was granted; taken
 * for undone, "not run" may be false. Shown as run twice. It holds since only
 * reading back settles it: our nonce is in the object or it is not, and a
 * write that may still land can't once the version has moved on. */
std::vector<ShardOutcome> ShardWriter::OnPut(
  const Result<std::uint64_t>& aResult, Time aNow)
{
  mBusy = false;
  if (aResult) {
    Adopt(std::move(mProposed), *aResult, aNow);
    return SettleBatch();
  }
  switch (aResult.error().mKind) {
    case ErrorKind::Unavailable:
      mBatch.clear();
      return {};
    case ErrorKind::Conflict:
      mBatch.clear();
      ++mConflicts;
      mFresh = false;
      return {};
    default:
      break;
  }
  mFresh = false;
  mLimbo = mVersion;
  return mOptions.mReadBack ? std::vector<ShardOutcome>{} : SettleBatch();
}

std::vector<ShardOutcome> ShardWriter::SettleBatch()
{
  std::vector<ShardOutcome> out;
  for (const auto& [key, wish] : mBatch) {
    auto it = mWanted.find(key);
    bool current = it != mWanted.end() && it->second.mStamp == wish.mStamp;
    if (current) {
      out.push_back(OutcomeOf(key.mKey, wish.mChange, ChangeResult::Committed));
      mWanted.erase(it);
    }
  }
  mBatch.clear();
  return out;
}

std::vector<ShardOutcome> ShardWriter::Review(Time aNow)
{
  std::vector<ShardOutcome> out;
  DropExpired(aNow);
  if (!mFresh) {
    return out;
  }
  for (auto it = mWanted.begin(); it != mWanted.end();) {
    auto settled = Settle(it->first.mKey, it->second.mChange, aNow);
    if (!settled) {
      ++it;
      continue;
    }
    // Another process may have made room since: look again next time.
    mFresh = mFresh && settled->mResult != ChangeResult::Full;
    out.push_back(std::move(*settled));
    it = mWanted.erase(it);
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
  const Grant* present = mSeen.Find(aKey);
  bool ours = present != nullptr && present->mNonce == aChange.mGrant.mNonce;
  if (ours && present->mAnswered) {
    bool answer = aChange.mKind == ChangeKind::Answer;
    return OutcomeOf(aKey, aChange,
                     answer ? ChangeResult::Committed : ChangeResult::Gone);
  }
  // While a write of ours may still land, absence is no proof; the next write
  // moves the version on, and then it is.
  if (ours || mLimbo) {
    return std::nullopt;
  }
  return OutcomeOf(aKey, aChange, ChangeResult::Gone);
}

std::optional<ShardOutcome> ShardWriter::SettleClaim(const std::string& aKey,
                                                     const ShardChange& aChange,
                                                     Time aNow) const
{
  const Grant* present = mSeen.Find(aKey);
  if (present == nullptr) {
    if (mSeen.HasFaded(aKey)) {
      return OutcomeOf(aKey, aChange, ChangeResult::Faded);
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
  bool rotates = aNow - mGenerationSince >= mOptions.mGeneration;
  return !rotates && mSeen.EncodedBound() >= mOptions.mFullAt;
}

} // namespace heatherplank
