#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"
#include "include/heatherplank/ObjectStore.h"
#include "src/status/StatusObject.h"

namespace heatherplank {

/** What one process reports to the balancer that keeps its shard's board. */
struct StatusReport
{
  ProcessStatus mProcess;
  /** What it counted since its last report that was sent. */
  std::vector<PolicyFigures> mFigures;

  bool operator==(const StatusReport&) const = default;
};

/** Read the object; its outcome goes to OnRead. */
struct StatusRead
{
  std::string mKey;
};

/** Write the object; its outcome goes to OnWritten. */
struct StatusWrite
{
  std::string mKey;
  std::string mValue;
  WriteCondition mCondition;
};

/** Keeps the status and figures of one shard of a data centre's processes, and
 * brings them to the platform in few, coalesced writes: whatever the number of
 * reports, one read and one write a period, and none while nothing is new. A
 * round that fails is left for the next period, so that status never competes
 * with grants or configuration for a platform in trouble. Pure; not thread
 * safe.
 */
class StatusBoard
{
public:
  struct Options
  {
    std::string mKey;
    /** Names this writer's writes; unlike those of any other process. */
    std::string mWriter;
    Duration mPeriod = std::chrono::seconds(5);
    /** Processes not heard of for so long are dropped from the object. */
    std::int64_t mForgetMs = 3600000;
    /** Guard: a write whose answer was lost is looked for before its figures
     * are added again. */
    bool mSettleLostAnswers = true;
  };

  explicit StatusBoard(Options aOptions);

  /** Takes a report in. aWallMs: milliseconds since the Unix epoch. */
  void OnReport(const StatusReport& aReport, std::int64_t aWallMs);

  /** Begins a round if one is due: read the object. */
  std::optional<StatusRead> Tick(Time aNow);

  /** The object was read: write it with what is new. None if the read failed.
   */
  std::optional<StatusWrite> OnRead(const Result<Object>& aResult,
                                    std::int64_t aWallMs);

  void OnWritten(const Result<std::uint64_t>& aResult);

  std::uint64_t Failures() const { return mFailures; }

private:
  /** Figures that a write carries, under the name that it leaves. */
  struct Pending
  {
    std::string mName;
    std::map<std::string, PolicyFigures> mFigures;
  };

  static void Add(const std::map<std::string, PolicyFigures>& aFrom,
                  std::map<std::string, PolicyFigures>& aTo);
  void Settle(const StatusObject& aStored);
  void MergeProcesses(StatusObject& aStored, std::int64_t aWallMs);
  void MergeFigures(StatusObject& aStored);

  Options mOptions;
  std::map<std::string, ProcessStatus> mProcesses;
  std::map<std::string, PolicyFigures> mFigures;
  /** Writes that are on their way, or whose outcome is not known. */
  std::vector<Pending> mPending;
  /** The write on its way is the first to carry the last of mPending. */
  bool mCarriesNew = false;
  bool mIsNew = false;
  bool mIsBusy = false;
  Time mNextAt{};
  std::uint64_t mWrites = 0;
  std::uint64_t mFailures = 0;
};

/** How many shards a data centre's status has: one for each 25 balancers, 8 at
 * most, so that neither an object nor a writer grows too large. Thread safe.
 */
std::uint32_t CountStatusShards(std::size_t aBalancers);

/** The shard of a process. Thread safe. */
std::uint32_t StatusShardOf(std::string_view aProcess, std::uint32_t aShards);

} // namespace heatherplank
