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

/** A process's report to the balancer that aggregates its shard's status. */
struct StatusReport
{
  ProcessStatus mProcess;
  /** Statistics since the previous report was sent. */
  std::vector<PolicyFigures> mFigures;

  bool operator==(const StatusReport&) const = default;
};

/** Request to read the object; the result is passed to OnRead. */
struct StatusRead
{
  std::string mKey;
};

/** Request to write the object; the result is passed to OnWritten. */
struct StatusWrite
{
  std::string mKey;
  std::string mValue;
  WriteCondition mCondition;
};

/** Aggregates the status and figures of one shard of a data centre's processes,
 * and writes them to the platform's object store in rounds: one read and one
 * write per period for any number of reports, none without new reports. A
 * failed round is retried only in the next period, so that status does not
 * compete with grants and configuration for an overloaded or failing platform.
 * No I/O or clock access; not thread safe.
 */
class StatusAggregator
{
public:
  struct Options
  {
    std::string mKey;
    /** Prefix of this writer's write ids; unique among processes. */
    std::string mWriter;
    Duration mPeriod = std::chrono::seconds(5);
    /** Time without a report after which a process is removed. */
    std::int64_t mExpiryMs = 3600000;
    /** Guard: before the figures of a write whose reply was lost are added
     * again, the object is checked for the id of that write. */
    bool mResolveLostAnswers = true;
  };

  explicit StatusAggregator(Options aOptions);

  /** Adds a report. aWallMs: milliseconds since the Unix epoch. */
  void OnReport(const StatusReport& aReport, std::int64_t aWallMs);

  /** Starts a round if one is due: returns the object to read. */
  std::optional<StatusRead> Tick(Time aNow);

  /** Merges new reports into the object that was read and returns the write;
   * none if the read failed. aWallMs: milliseconds since the Unix epoch. */
  std::optional<StatusWrite> OnRead(const Result<Object>& aResult,
                                    std::int64_t aWallMs);

  /** Ends the round. After an error other than Timeout, the figures that this
   * write was the first to include are written again under a new id. */
  void OnWritten(const Result<StoreVersion>& aResult);

  std::uint64_t Failures() const { return mFailures; }

private:
  /** Figures of a write, and the id that the write adds to the object. */
  struct PendingWrite
  {
    std::string mId;
    std::map<std::string, PolicyFigures> mFigures;
  };

  static void Add(const std::map<std::string, PolicyFigures>& aFrom,
                  std::map<std::string, PolicyFigures>& aTo);
  void RemoveCompletedWrites(const StatusObject& aStored);
  void MergeProcesses(StatusObject& aStored, std::int64_t aWallMs);
  void MergeFigures(StatusObject& aStored);

  Options mOptions;
  std::map<std::string, ProcessStatus> mProcesses;
  std::map<std::string, PolicyFigures> mFigures;
  /** Writes in flight, or whose outcome is unknown. */
  std::vector<PendingWrite> mPending;
  /** True if the write in flight added mPending.back(), whose figures return to
   * mFigures if the write fails without effect. False if mPending was full. */
  bool mIsLastPendingNew = false;
  /** True if reports arrived since the last write, or that write failed. */
  bool mHasChanges = false;
  bool mIsInRound = false;
  Time mNextRoundAt{};
  std::uint64_t mWriteCount = 0;
  std::uint64_t mFailures = 0;
};

/** Number of shards of a data centre's status: one per 25 balancers, from 1
 * to 8. It limits the size of an object and the load of a writer. Thread safe.
 */
std::uint32_t CountStatusShards(std::size_t aBalancers);

/** The shard of a process, by a hash of its name. Thread safe. */
std::uint32_t StatusShardOf(std::string_view aProcess, std::uint32_t aShards);

} // namespace heatherplank
