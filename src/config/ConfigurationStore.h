#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "include/heatherplank/Configuration.h"
#include "src/config/ConfigurationHead.h"
#include "src/store/SyncObjectStore.h"

namespace heatherplank {

/** A configuration as the platform holds it. */
struct StoredConfiguration
{
  ConfigurationHead mHead;
  /** The head object's version, for conditional updates. */
  std::uint64_t mObjectVersion = 0;
  ConfigurationPtr mConfiguration;
};

/** What an operator wants accepted. */
struct ConfigurationChange
{
  /** What the operator's edit began from; null: nothing. */
  ConfigurationPtr mBase;
  ConfigurationPtr mWanted;
  std::string mAuthor;
  /** Accept only on top of exactly this version. */
  std::optional<std::uint64_t> mIfVersion;
};

/** How an accepted change came about. */
struct AcceptedChange
{
  StoredConfiguration mStored;
  /** The wanted configuration was in force already; nothing was written. */
  bool mUnchanged = false;
  /** It was redone on top of a newer version than its base. */
  bool mRebased = false;
};

/** Reads configurations from the platform, and has changes accepted there.
 *
 * A version is stored as parts and one head. Parts are written first, under
 * keys that no other write uses; the conditional update of the head accepts
 * the version as a whole. Before a head is replaced it is kept as history, so
 * that an edit that began from it can be merged.
 *
 * Blocks; not thread safe, and the rule of SyncObjectStore applies.
 */
class ConfigurationStore
{
public:
  struct Options
  {
    /** Rounds of reading, merging and writing before a change gives up. */
    unsigned mAttempts = 8;
    /** Versions kept as history: 64 at the planned 5,100 changes a day are 18
     * minutes, far more than the seconds that a slow reader needs for the
     * parts of a head that it holds. */
    std::uint64_t mHistory = 64;
    /** Guard: after a lost answer, read back and compare the nonce. */
    bool mSettleLostAnswers = true;
    /** Guard: never take a head older than one that was read before. */
    bool mRefuseStaleReads = true;
    /** Milliseconds since the Unix epoch. */
    std::function<std::int64_t()> mWallClock;
    /** Seed of nonces; no two writers may share it. */
    std::uint64_t mSeed = 0;
  };

  /** aStore outlives it. The clock is the machine's and the seed a random one
   * unless aOptions gives them. */
  ConfigurationStore(SyncObjectStore& aStore, Options aOptions);

  /** The newest version; none if there never was one. */
  Result<std::optional<StoredConfiguration>> Read();

  /** The newest version's head alone; NotFound if there is none. */
  Result<ConfigurationHead> ReadNewestHead();

  /** An older version that is still kept; NotFound if it is not. */
  Result<ConfigurationPtr> ReadVersion(std::uint64_t aVersion);

  /** What an edit began from: the version that its text names or, with
   * aVersion 0, the newest, which it then replaces. Conflict if that version is
   * not kept any more. */
  Result<ConfigurationPtr> FindBase(std::uint64_t aVersion,
                                    const ConfigurationPtr& aNewest);

  /** Has a change accepted. Edits of others to other services since its base
   * stay in force. Conflict: the message names the newer version, its author
   * and time, and the remedy; nothing of the change took effect. Timeout: it
   * may have taken effect, and the platform did not tell.
   */
  Result<AcceptedChange> Commit(const ConfigurationChange& aChange);

private:
  enum class Outcome
  {
    Accepted,
    LostRace,
  };

  Result<std::optional<StoredConfiguration>> ReadHead();
  Result<ConfigurationPtr> ReadParts(const ConfigurationHead& aHead);
  Result<ConfigurationPtr> Rebase(const ConfigurationChange& aChange,
                                  const StoredConfiguration& aCurrent) const;
  Result<AcceptedChange> CommitOnTop(const ConfigurationChange& aChange,
                                     const StoredConfiguration& aCurrent,
                                     Outcome& aOutcome);
  Result<void> WriteParts(const StoredConfiguration& aCurrent,
                          const std::vector<std::string>& aParts,
                          ConfigurationHead& aHead);
  Result<void> WriteOnce(const std::string& aKey, const std::string& aValue);
  Result<Outcome> WriteHead(const StoredConfiguration& aCurrent,
                            StoredConfiguration& aNew);
  Result<std::optional<Outcome>> Settle(const StoredConfiguration& aCurrent,
                                        StoredConfiguration& aNew);
  Result<bool> WasAccepted(const ConfigurationHead& aHead);

  SyncObjectStore* mStore;
  Options mOptions;
  std::mt19937_64 mRandom;
  /** Highest version of the head object seen so far. */
  std::uint64_t mSeen = 0;
};

} // namespace heatherplank
