#include "src/config/ConfigurationStore.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "src/config/ConfigurationAssembler.h"
#include "src/config/ConfigurationGarbage.h"
#include "src/config/ConfigurationMerge.h"
#include "src/config/ConfigurationParts.h"
#include "src/store/CallLimits.h"

namespace heatherplank {

namespace {

std::int64_t WallClockMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::uint64_t RandomSeed()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) ^ device();
}

tl::unexpected<Error> ConflictError(const ConfigurationHead& aNewest,
                                    const Error& aCause)
{
  return Fail(ErrorKind::Conflict,
              "not applied: " + DescribeHead(aNewest) + ", is in force now; " +
                aCause.mMessage,
              aCause.mRemedy);
}

} // namespace

ConfigurationStore::ConfigurationStore(SyncObjectStore& aStore,
                                       Options aOptions)
  : mStore(&aStore)
  , mOptions(std::move(aOptions))
{
  if (!mOptions.mWallClock) {
    mOptions.mWallClock = WallClockMs;
  }
  mRandom.seed(mOptions.mSeed != 0 ? mOptions.mSeed : RandomSeed());
}

Result<std::optional<StoredConfiguration>> ConfigurationStore::ReadHead()
{
  const auto& limits = mStore->GetOptions();
  Backoff backoff(limits.mInitialBackoff, limits.mMaxBackoff, limits.mSeed);
  for (unsigned attempt = 1;; ++attempt) {
    auto object = mStore->Get(config_keys::kHead);
    bool absent = !object && object.error().mKind == ErrorKind::NotFound;
    if (!object && !absent) {
      return tl::unexpected(object.error());
    }
    StoreVersion version = absent ? StoreVersion() : object->mVersion;
    // A lagging replica of the platform returns an older head than a previous
    // read. The operator would see an old inventory, and a writer would
    // conclude that its accepted change was not applied. Object versions only
    // increase, so a lower one is stale.
    bool stale = version < mHighestSeenVersion && mOptions.mRefuseStaleReads;
    if (!stale && absent) {
      return std::optional<StoredConfiguration>();
    }
    if (!stale) {
      mHighestSeenVersion = std::max(mHighestSeenVersion, version);
      auto head = ParseHead(object->mValue);
      if (!head) {
        return tl::unexpected(head.error());
      }
      return std::optional(
        StoredConfiguration{ std::move(*head), version, nullptr });
    }
    if (attempt >= limits.mMaxAttempts) {
      return Fail(ErrorKind::Unavailable,
                  "the platform returned an older configuration than on a "
                  "previous read",
                  "try again when its replicas have caught up");
    }
    mStore->Pause(backoff.Next());
  }
}

Result<ConfigurationPtr> ConfigurationStore::ReadParts(
  const ConfigurationHead& aHead)
{
  std::vector<std::string> keys;
  for (const auto& it : aHead.mParts) {
    keys.push_back(config_keys::Part(it));
  }
  auto objects = mStore->GetAll(keys);
  if (!objects) {
    return tl::unexpected(objects.error());
  }
  std::vector<std::string_view> texts;
  texts.reserve(objects->size());
  for (const auto& it : *objects) {
    texts.push_back(it.mValue);
  }
  return AssembleConfiguration(aHead, texts);
}

Result<std::optional<StoredConfiguration>> ConfigurationStore::Read()
{
  auto out = ReadHead();
  if (!out || !*out) {
    return out;
  }
  auto whole = ReadParts((*out)->mHead);
  if (!whole) {
    return tl::unexpected(whole.error());
  }
  (*out)->mConfiguration = *whole;
  return out;
}

Result<ConfigurationHead> ConfigurationStore::ReadNewestHead()
{
  auto out = ReadHead();
  if (!out) {
    return tl::unexpected(out.error());
  }
  if (!*out) {
    return Fail(ErrorKind::NotFound, "the platform holds no configuration yet",
                "apply one first");
  }
  return std::move((*out)->mHead);
}

Result<ConfigurationPtr> ConfigurationStore::ReadVersion(std::uint64_t aVersion)
{
  auto object = mStore->Get(config_keys::History(aVersion));
  if (!object) {
    return tl::unexpected(object.error());
  }
  auto head = ParseHead(object->mValue);
  if (!head) {
    return tl::unexpected(head.error());
  }
  return ReadParts(*head);
}

Result<ConfigurationPtr> ConfigurationStore::FindBase(
  std::uint64_t aVersion, const ConfigurationPtr& aNewest)
{
  if (aVersion == 0 || (aNewest && aNewest->mVersion == aVersion)) {
    return aNewest;
  }
  auto base = ReadVersion(aVersion);
  if (!base && base.error().mKind == ErrorKind::NotFound) {
    return Fail(ErrorKind::Conflict,
                "version " + std::to_string(aVersion) +
                  ", which the change began from, is not kept any more",
                "`get` the newest version, redo the change in it, and apply");
  }
  return base;
}

Result<ConfigurationPtr> ConfigurationStore::Rebase(
  const ConfigurationChange& aChange, const StoredConfiguration& aCurrent) const
{
  std::uint64_t base = aChange.mBase ? aChange.mBase->mVersion : 0;
  std::uint64_t current = aCurrent.mHead.mVersion;
  if (aChange.mIfVersion && *aChange.mIfVersion != current) {
    return Fail(ErrorKind::Conflict,
                "the change applies to version " +
                  std::to_string(*aChange.mIfVersion) + " only",
                "look at the newer version with `get`, then apply with "
                "--if-version " +
                  std::to_string(current));
  }
  if (base == current) {
    return aChange.mWanted;
  }
  Configuration nothing;
  return MergeConfigurations(aChange.mBase ? *aChange.mBase : nothing,
                             *aChange.mWanted, *aCurrent.mConfiguration);
}

Result<AcceptedChange> ConfigurationStore::Commit(
  const ConfigurationChange& aChange)
{
  const auto& limits = mStore->GetOptions();
  Backoff backoff(limits.mInitialBackoff, limits.mMaxBackoff, mRandom());
  for (unsigned attempt = 0; attempt < mOptions.mMaxAttempts; ++attempt) {
    auto current = Read();
    if (!current) {
      return tl::unexpected(current.error());
    }
    Outcome outcome = Outcome::LostRace;
    auto done =
      CommitOnTop(aChange, current->value_or(StoredConfiguration{}), outcome);
    if (!done || outcome == Outcome::Accepted) {
      return done;
    }
    mStore->Pause(backoff.Next());
  }
  return Fail(ErrorKind::Conflict,
              "not applied: concurrent changes replaced the configuration on "
              "every attempt",
              "apply again");
}

Result<AcceptedChange> ConfigurationStore::CommitOnTop(
  const ConfigurationChange& aChange, const StoredConfiguration& aCurrent,
  Outcome& aOutcome)
{
  auto wanted = Rebase(aChange, aCurrent);
  if (!wanted) {
    return aCurrent.mHead.mVersion == 0
             ? tl::unexpected(wanted.error())
             : ConflictError(aCurrent.mHead, wanted.error());
  }
  std::uint64_t base = aChange.mBase ? aChange.mBase->mVersion : 0;
  AcceptedChange out;
  out.mMerged = aCurrent.mHead.mVersion != base;
  if (aCurrent.mConfiguration &&
      HasSameContent(*aCurrent.mConfiguration, **wanted)) {
    out.mStored = aCurrent;
    out.mUnchanged = true;
    aOutcome = Outcome::Accepted;
    return out;
  }
  std::size_t before =
    aCurrent.mHead.mParts.empty() ? 0 : aCurrent.mHead.mParts.size() - 1;
  auto parts = SplitConfiguration(
    **wanted, ChoosePartCount((*wanted)->mServices.size(), before));
  if (!parts) {
    return tl::unexpected(parts.error());
  }
  ConfigurationHead& head = out.mStored.mHead;
  head.mVersion = aCurrent.mHead.mVersion + 1;
  head.mAuthor = aChange.mAuthor;
  head.mTimeMs = mOptions.mWallClock();
  head.mNonce = mRandom();
  auto written = WriteParts(aCurrent, *parts, head);
  if (!written) {
    return tl::unexpected(written.error());
  }
  auto accepted = WriteHead(aCurrent, out.mStored);
  if (!accepted) {
    return tl::unexpected(accepted.error());
  }
  aOutcome = *accepted;
  if (aOutcome == Outcome::LostRace) {
    config_garbage::RemoveWrittenParts(*mStore, head);
    return out;
  }
  auto whole = std::make_shared<Configuration>(**wanted);
  whole->mVersion = head.mVersion;
  out.mStored.mConfiguration = std::move(whole);
  config_garbage::CollectGarbage(*mStore, head, out.mStored.mObjectVersion,
                                 mOptions.mHistoryLength);
  return out;
}

Result<void> ConfigurationStore::WriteParts(
  const StoredConfiguration& aCurrent, const std::vector<std::string>& aParts,
  ConfigurationHead& aHead)
{
  const auto& before = aCurrent.mHead.mParts;
  for (std::size_t i = 0; i < aParts.size(); ++i) {
    PartHash hash = HashPart(aParts[i]);
    bool isReused = before.size() == aParts.size() && before[i].mHash == hash;
    aHead.mParts.push_back(isReused ? before[i]
                                    : PartRef{ hash, aHead.mNonce });
    if (isReused) {
      continue;
    }
    auto written =
      WriteIfAbsent(config_keys::Part(aHead.mParts.back()), aParts[i]);
    if (!written) {
      return written;
    }
  }
  if (aCurrent.mHead.mVersion == 0) {
    return {};
  }
  return WriteIfAbsent(config_keys::History(aCurrent.mHead.mVersion),
                       SerializeHead(aCurrent.mHead));
}

/** Writes an object whose key determines its value. A conflict therefore means
 * that the object already holds this value, from an earlier attempt or another
 * writer. */
Result<void> ConfigurationStore::WriteIfAbsent(const std::string& aKey,
                                               const std::string& aValue)
{
  const auto& limits = mStore->GetOptions();
  Backoff backoff(limits.mInitialBackoff, limits.mMaxBackoff, mRandom());
  for (unsigned attempt = 1;; ++attempt) {
    auto written = mStore->Put(aKey, aValue, WriteCondition::IfAbsent());
    if (written || written.error().mKind == ErrorKind::Conflict) {
      return {};
    }
    if (written.error().mKind != ErrorKind::Timeout) {
      return tl::unexpected(written.error());
    }
    if (attempt >= limits.mMaxAttempts) {
      return Fail(ErrorKind::Unavailable,
                  "not applied: " + written.error().mMessage,
                  "apply again when the platform answers");
    }
    mStore->Pause(backoff.Next());
  }
}

Result<ConfigurationStore::Outcome> ConfigurationStore::WriteHead(
  const StoredConfiguration& aCurrent, StoredConfiguration& aNew)
{
  const auto& limits = mStore->GetOptions();
  Backoff backoff(limits.mInitialBackoff, limits.mMaxBackoff, mRandom());
  auto condition = !aCurrent.mObjectVersion.IsKnown()
                     ? WriteCondition::IfAbsent()
                     : WriteCondition::IfVersion(aCurrent.mObjectVersion);
  std::string text = SerializeHead(aNew.mHead);
  bool mayBeWritten = false;
  for (unsigned attempt = 0; attempt < limits.mMaxAttempts; ++attempt) {
    auto written = mStore->Put(config_keys::kHead, text, condition);
    if (written) {
      aNew.mObjectVersion = *written;
      mHighestSeenVersion = std::max(mHighestSeenVersion, *written);
      return Outcome::Accepted;
    }
    ErrorKind kind = written.error().mKind;
    mayBeWritten = mayBeWritten || kind == ErrorKind::Timeout;
    if (!mOptions.mResolveLostAnswers ||
        (kind == ErrorKind::Conflict && !mayBeWritten)) {
      return Outcome::LostRace;
    }
    if (!mayBeWritten) {
      return tl::unexpected(written.error());
    }
    auto outcome = DetermineOutcome(aCurrent, aNew);
    if (outcome && *outcome) {
      return **outcome;
    }
    mStore->Pause(backoff.Next());
  }
  return Fail(
    ErrorKind::Timeout,
    "version " + std::to_string(aNew.mHead.mVersion) +
      " may have been accepted; the platform did not confirm it",
    "when the platform answers, compare with `get` before applying again");
}

/** Determines after a lost answer whether the new head was written, by its
 * nonce, which no other head has. Without this check a change that took effect
 * would be reported as a lost race, or applied a second time on top of itself.
 * None while the head is still the one to be replaced: the write may yet
 * arrive, and a retry under the same condition can take effect only once.
 */
Result<std::optional<ConfigurationStore::Outcome>>
ConfigurationStore::DetermineOutcome(const StoredConfiguration& aCurrent,
                                     StoredConfiguration& aNew)
{
  auto head = ReadHead();
  if (!head) {
    return tl::unexpected(head.error());
  }
  if (!*head || (*head)->mObjectVersion == aCurrent.mObjectVersion) {
    return std::optional<Outcome>();
  }
  if ((*head)->mHead.mNonce == aNew.mHead.mNonce) {
    aNew.mObjectVersion = (*head)->mObjectVersion;
    return std::optional(Outcome::Accepted);
  }
  if ((*head)->mHead.mVersion == aNew.mHead.mVersion) {
    return std::optional(Outcome::LostRace);
  }
  auto accepted = WasAccepted(aNew.mHead);
  if (!accepted) {
    return tl::unexpected(accepted.error());
  }
  return std::optional(*accepted ? Outcome::Accepted : Outcome::LostRace);
}

/** Whether a head that is no longer the newest was accepted: the write that
 * replaced it stored it in the history first. */
Result<bool> ConfigurationStore::WasAccepted(const ConfigurationHead& aHead)
{
  auto object = mStore->Get(config_keys::History(aHead.mVersion));
  if (!object) {
    return tl::unexpected(object.error());
  }
  auto head = ParseHead(object->mValue);
  if (!head) {
    return tl::unexpected(head.error());
  }
  return head->mNonce == aHead.mNonce;
}

} // namespace heatherplank
