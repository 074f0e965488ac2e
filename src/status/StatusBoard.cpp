#include "src/status/StatusBoard.h"

#include <algorithm>
#include <utility>

#include "include/heatherplank/Types.h"

namespace heatherplank {

namespace {

/** Names of writes that an object keeps. Each of its few writers makes one a
 * period, so a lost answer is settled long before its name is dropped. */
constexpr std::size_t kKeptWrites = 32;
/** Writes of unknown outcome; beyond it new figures wait. */
constexpr std::size_t kMaxPending = 8;
constexpr std::size_t kBalancersPerShard = 25;
constexpr std::uint32_t kMaxShards = 8;

} // namespace

StatusBoard::StatusBoard(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void StatusBoard::Add(const std::map<std::string, PolicyFigures>& aFrom,
                      std::map<std::string, PolicyFigures>& aTo)
{
  for (const auto& [name, figures] : aFrom) {
    PolicyFigures& sum = aTo[name];
    sum.mName = name;
    sum.Add(figures);
  }
}

void StatusBoard::OnReport(const StatusReport& aReport, std::int64_t aWallMs)
{
  ProcessStatus process = aReport.mProcess;
  process.mSeenMs = aWallMs;
  mProcesses[process.mName] = std::move(process);
  for (const auto& it : aReport.mFigures) {
    Add({ { it.mName, it } }, mFigures);
  }
  mIsNew = true;
}

std::optional<StatusRead> StatusBoard::Tick(Time aNow)
{
  if (mIsBusy || !mIsNew || aNow < mNextAt) {
    return std::nullopt;
  }
  mIsBusy = true;
  mNextAt = aNow + mOptions.mPeriod;
  return StatusRead{ mOptions.mKey };
}

/** A write whose answer was lost may have taken effect, or may yet. Its figures
 * added once more would count flows twice in the report; dropped, they would be
 * missing. The object names its last writes, which tells the two apart; and
 * until a write is seen there, later ones carry its figures and its name.
 */
void StatusBoard::Settle(const StatusObject& aStored)
{
  if (!mOptions.mSettleLostAnswers) {
    return;
  }
  std::erase_if(mPending, [&](const Pending& aIt) {
    return std::ranges::find(aStored.mWrites, aIt.mName) !=
           aStored.mWrites.end();
  });
}

void StatusBoard::MergeProcesses(StatusObject& aStored, std::int64_t aWallMs)
{
  for (const auto& [name, process] : mProcesses) {
    ProcessStatus& stored = aStored.mProcesses[name];
    if (stored.mSeenMs <= process.mSeenMs) {
      stored = process;
    }
  }
  auto isGone = [&](const auto& aIt) {
    return aIt.second.mSeenMs + mOptions.mForgetMs < aWallMs;
  };
  std::erase_if(mProcesses, isGone);
  std::erase_if(aStored.mProcesses, isGone);
}

void StatusBoard::MergeFigures(StatusObject& aStored)
{
  Settle(aStored);
  mCarriesNew = mPending.size() < kMaxPending;
  if (mCarriesNew) {
    mPending.push_back({ mOptions.mWriter + "-" + std::to_string(++mWrites),
                         std::exchange(mFigures, {}) });
  }
  for (const auto& it : mPending) {
    Add(it.mFigures, aStored.mFigures);
    aStored.mWrites.push_back(it.mName);
  }
  while (aStored.mWrites.size() > kKeptWrites) {
    aStored.mWrites.erase(aStored.mWrites.begin());
  }
}

std::optional<StatusWrite> StatusBoard::OnRead(const Result<Object>& aResult,
                                               std::int64_t aWallMs)
{
  bool absent = !aResult && aResult.error().mKind == ErrorKind::NotFound;
  if (!aResult && !absent) {
    ++mFailures;
    mIsBusy = false;
    return std::nullopt;
  }
  // An object that makes no sense is written anew.
  StatusObject status =
    absent ? StatusObject()
           : ParseStatus(aResult->mValue).value_or(StatusObject());
  MergeProcesses(status, aWallMs);
  MergeFigures(status);
  mIsNew = false;
  return StatusWrite{ mOptions.mKey, SerializeStatus(status),
                      absent ? WriteCondition::IfAbsent()
                             : WriteCondition::IfVersion(aResult->mVersion) };
}

void StatusBoard::OnWritten(const Result<std::uint64_t>& aResult)
{
  mIsBusy = false;
  if (aResult) {
    mPending.clear();
    return;
  }
  ++mFailures;
  mIsNew = true;
  // Surely not written, so its figures can be carried under another name.
  if (aResult.error().mKind != ErrorKind::Timeout && mCarriesNew) {
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
