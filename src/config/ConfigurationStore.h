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

/** A configuration as stored on the platform. */
struct StoredConfiguration
{
  ConfigurationHead mHead;
  /** The head object's version, for conditional updates. */
  StoreVersion mObjectVersion;
  ConfigurationPtr mConfiguration;
};

/** A change to the configuration that an operator submits. */
struct ConfigurationChange
{
  /** The configuration that was edited; null if there was none. */
  ConfigurationPtr mBase;
  ConfigurationPtr mWanted;
  std::string mAuthor;
  /** If given, the change is accepted only on top of this version. */
  std::optional<std::uint64_t> mIfVersion;
};

/** The result of a change that was accepted. */
struct AcceptedChange
{
  StoredConfiguration mStored;
  /** The wanted configuration was already in force; nothing was written. */
  bool mUnchanged = false;
  /** The change was merged with a newer version than its base. */
  bool mMerged = false;
};

/** Reads configurations from the platform and commits changes to it.
 *
 * A version is stored as parts and one head. The parts are written first, under
 * keys that no other write uses; the conditional update of the head accepts the
 * version atomically. Before a head is replaced it is stored in the history, so
 * that an edit based on it can be merged.
 *
 * Blocks; not thread safe, and the rule of SyncObjectStore applies.
 */
class ConfigurationStore
{
public:
  struct Options
  {
    /** Attempts to read, merge and write before a change is abandoned. */
    unsigned mMaxAttempts = 8;
    /** Number of versions retained as history. At the planned 5,100 changes per
     * day, 64 versions cover 18 minutes; a slow reader needs a few seconds to
     * read the parts of its head. */
    std::uint64_t mHistoryLength = 64;
    /** Guard: after a lost answer, reads the head and compares the nonce. */
    bool mResolveLostAnswers = true;
    /** Guard: refuses a head that is older than one read before. */
    bool mRefuseStaleReads = true;
    /** Returns milliseconds since the Unix epoch; null: the system clock. */
    std::function<std::int64_t()> mWallClock;
    /** Seed of the nonces; must differ between writers. 0: a random seed. */
    std::uint64_t mSeed = 0;
  };

  /** aStore must outlive this object. */
  ConfigurationStore(SyncObjectStore& aStore, Options aOptions);

  /** Reads the newest version; none if there is no version yet. */
  Result<std::optional<StoredConfiguration>> Read();

  /** Reads only the head of the newest version; NotFound if there is none. */
  Result<ConfigurationHead> ReadNewestHead();

  /** Reads an older version; NotFound if it is no longer retained. */
  Result<ConfigurationPtr> ReadVersion(std::uint64_t aVersion);

  /** Finds the base of an edit: version aVersion or, if that is 0, the newest
   * version, which the edit then replaces. Conflict if the version is no longer
   * retained. */
  Result<ConfigurationPtr> FindBase(std::uint64_t aVersion,
                                    const ConfigurationPtr& aNewest);

  /** Commits a change, merging it with the edits that others made to other
   * services since its base. Conflict: the change was not applied; the message
   * names the newer version, its author and time, and the remedy. Timeout: the
   * change may have been applied, and the platform did not confirm it.
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
  Result<void> WriteIfAbsent(const std::string& aKey,
                             const std::string& aValue);
  Result<Outcome> WriteHead(const StoredConfiguration& aCurrent,
                            StoredConfiguration& aNew);
  Result<std::optional<Outcome>> DetermineOutcome(
    const StoredConfiguration& aCurrent, StoredConfiguration& aNew);
  Result<bool> WasAccepted(const ConfigurationHead& aHead);

  SyncObjectStore* mStore;
  Options mOptions;
  std::mt19937_64 mRandom;
  /** Highest version of the head object read or written so far. */
  StoreVersion mHighestSeenVersion;
};

} // namespace heatherplank
