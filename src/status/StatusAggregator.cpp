#include "src/status/StatusAggregator.h"

#include <algorithm>
#include <utility>

#include "include/heatherplank/Types.h"

namespace heatherplank {

namespace {

/** Maximum number of write ids retained in an object. Each of its few writers
 * starts at most one write per period; a write lists up to 8 ids, its own and
 * those of earlier writes whose outcome is unknown. So the outcome of a write
 * whose reply was lost is known long before its id is removed. */
constexpr std::size_t kMaxWriteIds = 32;
/** Maximum number of writes with unknown outcome; at it, new figures wait. */
constexpr std::size_t kMaxPendingWrites = 8;
constexpr std::size_t kBalancersPerShard = 25;
constexpr std::uint32_t kMaxShards = 8;

} // namespace

StatusAggregator::StatusAggregator(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void StatusAggregator::Add(const std::map<std::string, PolicyFigures>& aFrom,
                           std::map<std::string, PolicyFigures>& aTo)
{
  for (const auto& [name, figures] : aFrom) {
    PolicyFigures& sum = aTo[name];
    sum.mName = name;
    sum.Add(figures);
  }
}

void StatusAggregator::OnReport(const StatusReport& aReport,
                                std::int64_t aWallMs)
{
  ProcessStatus process = aReport.mProcess;
  process.mLastReportMs = aWallMs;
  mProcesses[process.mName] = std::move(process);
  for (const auto& it : aReport.mFigures) {
    Add({ { it.mName, it } }, mFigures);
  }
  mHasChanges = true;
}

std::optional<StatusRead> StatusAggregator::Tick(Time aNow)
{
  if (mIsInRound || !mHasChanges || aNow < mNextRoundAt) {
    return std::nullopt;
  }
  mIsInRound = true;
  mNextRoundAt = aNow + mOptions.mPeriod;
  return StatusRead{ mOptions.mKey };
}

/** A write whose reply was lost may have taken effect, or may still do so.
 * Adding its figures again could count flows twice in the report; dropping them
 * could lose flows. The object lists the ids of its last writes, which shows
 * whether the write took effect. Until its id appears there, later writes
 * include its figures and its id.
 */
void StatusAggregator::RemoveCompletedWrites(const StatusObject& aStored)
{
  if (!mOptions.mResolveLostAnswers) {
    return;
  }
  std::erase_if(mPending, [&](const PendingWrite& aIt) {
    return std::ranges::find(aStored.mWrites, aIt.mId) != aStored.mWrites.end();
  });
}

void StatusAggregator::MergeProcesses(StatusObject& aStored,
                                      std::int64_t aWallMs)
{
  for (const auto& [name, process] : mProcesses) {
    ProcessStatus& stored = aStored.mProcesses[name];
    if (stored.mLastReportMs <= process.mLastReportMs) {
      stored = process;
    }
  }
  auto isExpired = [&](const auto& aIt) {
    return aIt.second.mLastReportMs + mOptions.mExpiryMs < aWallMs;
  };
  std::erase_if(mProcesses, isExpired);
  std::erase_if(aStored.mProcesses, isExpired);
}

void StatusAggregator::MergeFigures(StatusObject& aStored)
{
  RemoveCompletedWrites(aStored);
  mIsLastPendingNew = mPending.size() < kMaxPendingWrites;
  if (mIsLastPendingNew) {
    mPending.push_back({ mOptions.mWriter + "-" + std::to_string(++mWriteCount),
                         std::exchange(mFigures, {}) });
  }
  for (const auto& it : mPending) {
    Add(it.mFigures, aStored.mFigures);
    aStored.mWrites.push_back(it.mId);
  }
  while (aStored.mWrites.size() > kMaxWriteIds) {
    aStored.mWrites.erase(aStored.mWrites.begin());
  }
}

std::optional<StatusWrite> StatusAggregator::OnRead(
  const Result<Object>& aResult, std::int64_t aWallMs)
{
  bool isAbsent = !aResult && aResult.error().mKind == ErrorKind::NotFound;
  if (!aResult && !isAbsent) {
    ++mFailures;
    mIsInRound = false;
    return std::nullopt;
  }
  // An object that cannot be parsed is replaced.
  StatusObject status =
    isAbsent ? StatusObject()
             : ParseStatus(aResult->mValue).value_or(StatusObject());
  MergeProcesses(status, aWallMs);
  MergeFigures(status);
  mHasChanges = false;
  return StatusWrite{ mOptions.mKey, SerializeStatus(status),
                      isAbsent ? WriteCondition::IfAbsent()
                               : WriteCondition::IfVersion(aResult->mVersion) };
}

void StatusAggregator::OnWritten(const Result<StoreVersion>& aResult)
{
  mIsInRound = false;
  if (aResult) {
    mPending.clear();
    return;
  }
  ++mFailures;
  mHasChanges = true;
  // The write did not take effect, so its figures can be added under a new id.
  if (aResult.error().mKind != ErrorKind::Timeout && mIsLastPendingNew) {
    Add(mPending.back().mFigures, mFigures);
    mPending.pop_back();
  }
}

std::uint32_t CountStatusShards(std::size_t aBalancers)
{
  return std::clamp<std::uint32_t>(
    static_cast<std::uint32_t>(aBalancers / kBalancersPerShard), 1, kMaxShards);
}

std::uint32_t StatusShardOf(std::string_view aProcess, std::uint32_t aShards)
{
  return static_cast<std::uint32_t>(HashBytes(aProcess) % aShards);
}

} // namespace heatherplank
