#include "src/record/ShardWriter.h"

#include <algorithm>
#include <utility>

namespace heatherplank {

ShardWriter::ShardWriter(const ShardWriterOptions& aOptions)
  : mOptions(aOptions)
{
}

void ShardWriter::Want(const std::string& aKey, const ShardChange& aChange)
{
  mWanted[aKey] = { aChange, mNextStamp++ };
}

void ShardWriter::GiveUp(const std::string& aKey, const Grant& aGrant,
                         Time aDue)
{
  const Grant* present = mSeen.Find(aKey);
  bool landed = present != nullptr && present->mNonce == aGrant.mNonce;
  if (landed || mLimbo || mBatch.contains(aKey)) {
    Want(aKey, { ChangeKind::Withdraw, aGrant, 0, aDue });
  } else {
    mWanted.erase(aKey);
  }
}

const ShardChange* ShardWriter::Wanted(const std::string& aKey) const
{
  auto it = mWanted.find(aKey);
  return it == mWanted.end() ? nullptr : &it->second.mChange;
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
    Apply(mProposed, key, wish.mChange);
    mBatch.emplace_hint(mBatch.end(), key, wish);
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

void ShardWriter::Apply(GrantShard& aShard, const std::string& aKey,
                        const ShardChange& aChange) const
{
  const Grant* present = aShard.Find(aKey);
  bool ours = present != nullptr && present->mNonce == aChange.mGrant.mNonce;
  switch (aChange.mKind) {
    case ChangeKind::Claim:
      aShard.Set(aKey, aChange.mGrant);
      break;
    case ChangeKind::Answer:
      if (ours) {
        Grant answered = aChange.mGrant;
        if (aShard.EncodedBound() >= mOptions.mAnswersUntil) {
          answered.mAnswer.reset();
        }
        aShard.Set(aKey, answered);
      }
      break;
    case ChangeKind::Withdraw:
      if (ours) {
        aShard.Remove(aKey);
      }
      break;
  }
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
      out.push_back({ key, wish.mChange, ChangeResult::Committed, {} });
      mWanted.erase(it);
    }
  }
  mBatch.clear();
  return out;
}

std::vector<ShardOutcome> ShardWriter::Review(Time aNow)
{
  std::vector<ShardOutcome> out;
  if (!mFresh) {
    return out;
  }
  for (auto it = mWanted.begin(); it != mWanted.end();) {
    auto settled = Settle(it->first, it->second.mChange, aNow);
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
  if (ours && aChange.mKind == ChangeKind::Answer && present->mAnswered) {
    return ShardOutcome{ aKey, aChange, ChangeResult::Committed, {} };
  }
  // While a write of ours may still land, absence is no proof; the next write
  // moves the version on, and then it is.
  if (ours || mLimbo) {
    return std::nullopt;
  }
  return ShardOutcome{ aKey, aChange, ChangeResult::Gone, {} };
}

std::optional<ShardOutcome> ShardWriter::SettleClaim(const std::string& aKey,
                                                     const ShardChange& aChange,
                                                     Time aNow) const
{
  const Grant* present = mSeen.Find(aKey);
  if (present == nullptr) {
    if (mSeen.HasFaded(aKey)) {
      return ShardOutcome{ aKey, aChange, ChangeResult::Faded, {} };
    }
    if (IsFull(aNow)) {
      return ShardOutcome{ aKey, aChange, ChangeResult::Full, {} };
    }
    return std::nullopt;
  }
  if (present->mNonce == aChange.mGrant.mNonce) {
    return ShardOutcome{ aKey, aChange, ChangeResult::Committed, {} };
  }
  if (MayReplace(*present, aChange)) {
    return std::nullopt;
  }
  return ShardOutcome{ aKey, aChange, ChangeResult::Taken, *present };
}

bool ShardWriter::IsFull(Time aNow) const
{
  bool rotates = aNow - mGenerationSince >= mOptions.mGeneration;
  return !rotates && mSeen.EncodedBound() >= mOptions.mFullAt;
}

bool ShardWriter::MayReplace(const Grant& aPresent,
                             const ShardChange& aChange) const
{
  // Our own earlier attempt that landed after we gave it up: nobody but this
  // process could dispatch under it, and it claims anew.
  bool own = aPresent.mHost == aChange.mGrant.mHost &&
             aPresent.mIncarnation == aChange.mGrant.mIncarnation;
  return !aPresent.mAnswered && (own || aPresent.mNonce == aChange.mReplaces);
}

} // namespace heatherplank
