#include "src/decide/OutlierDetector.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heatherplank {

namespace {

using namespace std::chrono_literals;

constexpr Duration kFirstOut = 2s;
constexpr Duration kLongestOut = 30s;
constexpr std::uint32_t kCapDivisor = 3;
constexpr std::uint32_t kGoodAnswers = 5;
// Failures in a row that hold a host out, and with an unhealthy hint. Chance
// alone makes five in a row at 10 % of failures once in 100,000 requests.
constexpr std::uint32_t kFailures = 5;
constexpr std::uint32_t kFailuresWithHint = 3;
// Five failures in a row take the moving share of HostLoad::mFailing to this.
constexpr double kFailingShare = 0.48;
// Against the median of the hosts. Under a factor of three lies what slots of
// two and uneven work do by themselves.
constexpr double kTimesMedian = 3.0;
constexpr double kLeastFailing = 0.2;
constexpr double kNewWeight = 0.125;
constexpr std::uint32_t kFewest = 10;

struct Record
{
  std::uint32_t mFailuresInARow = 0;
  std::uint32_t mAnswersInARow = 0;
  std::uint32_t mSeen = 0;
  /** HostLoad::mResults when its figures last held it out. */
  std::uint64_t mResults = 0;
  double mFailing = 0;
  double mLatency = 0;
  bool mUnhealthyHint = false;
  std::uint32_t mTimesOut = 0;
  Time mOutUntil;
};

// What both ways share: records, the cap, the time out.
class DetectorBase : public OutlierDetector
{
public:
  explicit DetectorBase(bool aCapped)
    : mCapped(aCapped)
  {
  }

  void Add(HostId aHost) override { mRecords.try_emplace(aHost); }
  void Remove(HostId aHost) override { mRecords.erase(aHost); }

  void OnHint(HostId aHost, bool aHealthy) override
  {
    mRecords[aHost].mUnhealthyHint = !aHealthy;
  }

  void OnResult(HostId aHost, bool aAnswered, Duration aLatency,
                Time aNow) override
  {
    Record& record = mRecords[aHost];
    Count(record, aAnswered, aLatency);
    if (aNow >= record.mOutUntil && IsOutlier(record)) {
      HoldOut(record, aNow);
    }
  }

  void OnFigures(HostId aHost, const HostLoad& aLoad, Time aNow) override
  {
    Record& record = mRecords[aHost];
    // Figures from before it was held out would hold it out again, and so
    // would the same ones after it, as it got no work that could better them.
    const bool isOld = aNow - aLoad.mAge < record.mOutUntil;
    if (isOld || aLoad.mResults < record.mResults + kGoodAnswers) {
      return;
    }
    record.mFailing = aLoad.mFailing;
    record.mLatency = static_cast<double>(aLoad.mServiceTime.count());
    record.mSeen = std::max(record.mSeen, kFewest);
    if (IsOutlier(record) || aLoad.mFailing >= kFailingShare) {
      HoldOut(record, aNow);
      record.mResults = aLoad.mResults;
    }
  }

  bool IsOut(HostId aHost, Time aNow) const override
  {
    auto it = mRecords.find(aHost);
    return it != mRecords.end() && aNow < it->second.mOutUntil;
  }

protected:
  virtual bool IsOutlier(const Record& aRecord) = 0;

  std::map<HostId, Record> mRecords;

private:
  static void Count(Record& aRecord, bool aAnswered, Duration aLatency)
  {
    ++aRecord.mSeen;
    const double failed = aAnswered ? 0.0 : 1.0;
    aRecord.mFailing += (failed - aRecord.mFailing) * kNewWeight;
    if (!aAnswered) {
      ++aRecord.mFailuresInARow;
      aRecord.mAnswersInARow = 0;
      return;
    }
    const auto latency = static_cast<double>(aLatency.count());
    const bool isFirst = aRecord.mLatency == 0;
    const double weight = isFirst ? 1.0 : kNewWeight;
    aRecord.mLatency += (latency - aRecord.mLatency) * weight;
    aRecord.mFailuresInARow = 0;
    if (++aRecord.mAnswersInARow >= kGoodAnswers) {
      aRecord.mTimesOut = 0;
    }
  }

  void HoldOut(Record& aRecord, Time aNow)
  {
    std::uint32_t out = 0;
    for (const auto& [host, it] : mRecords) {
      out += aNow < it.mOutUntil ? 1 : 0;
    }
    const auto hosts = static_cast<std::uint32_t>(mRecords.size());
    if (mCapped && out >= hosts / kCapDivisor) {
      return;
    }
    const Duration wait = kFirstOut * (1U << std::min(aRecord.mTimesOut, 4U));
    ++aRecord.mTimesOut;
    aRecord.mOutUntil = aNow + std::min(wait, kLongestOut);
    // It starts over: what it did before would hold it out at once again.
    aRecord.mFailuresInARow = 0;
    aRecord.mAnswersInARow = 0;
    aRecord.mSeen = 0;
    aRecord.mFailing = 0;
    aRecord.mLatency = 0;
  }

  bool mCapped;
};

class ConsecutiveDetector final : public DetectorBase
{
public:
  using DetectorBase::DetectorBase;

protected:
  bool IsOutlier(const Record& aRecord) override
  {
    const std::uint32_t enough =
      aRecord.mUnhealthyHint ? kFailuresWithHint : kFailures;
    return aRecord.mFailuresInARow >= enough;
  }
};

class ComparedDetector final : public DetectorBase
{
public:
  using DetectorBase::DetectorBase;

protected:
  bool IsOutlier(const Record& aRecord) override
  {
    const std::uint32_t enough = aRecord.mUnhealthyHint ? kFewest / 2 : kFewest;
    if (aRecord.mSeen < enough) {
      return false;
    }
    const double failing = Median(&Record::mFailing);
    const bool failsMore = aRecord.mFailing > kLeastFailing &&
                           aRecord.mFailing > kTimesMedian * failing;
    const double latency = Median(&Record::mLatency);
    const bool isSlow =
      latency > 0 && aRecord.mLatency > kTimesMedian * latency;
    return failsMore || isSlow;
  }

private:
  double Median(double Record::*aMember)
  {
    mScratch.clear();
    for (const auto& [host, it] : mRecords) {
      // One without a latency was never called.
      if (it.mLatency > 0 || it.mFailing > 0) {
        mScratch.push_back(it.*aMember);
      }
    }
    const auto middle =
      mScratch.begin() + static_cast<std::ptrdiff_t>(mScratch.size() / 2);
    std::ranges::nth_element(mScratch, middle);
    return middle == mScratch.end() ? 0.0 : *middle;
  }

  std::vector<double> mScratch;
};

} // namespace

Result<std::unique_ptr<OutlierDetector>> MakeOutlierDetector(
  std::string_view aName, bool aCapped)
{
  if (aName == "consecutive") {
    return std::make_unique<ConsecutiveDetector>(aCapped);
  }
  if (aName == "compared") {
    return std::make_unique<ComparedDetector>(aCapped);
  }
  return Fail(ErrorKind::InvalidInput,
              "no outlier detector is named \"" + std::string(aName) + "\"",
              "use consecutive or compared");
}

} // namespace heatherplank
