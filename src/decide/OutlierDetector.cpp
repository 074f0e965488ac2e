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

constexpr Duration kFirstEjection = 2s;
constexpr Duration kMaxEjection = 30s;
constexpr std::uint32_t kCapDivisor = 3;
// Consecutive answers after which the next ejection is as short as the first.
// Also the number of results that must follow the load report that last ejected
// a host before another report on the host is evaluated.
constexpr std::uint32_t kRecoveryAnswers = 5;
// Consecutive failures that eject a host, without and with an unhealthy hint.
// At a failure rate of 10 %, five in a row occur by chance once in 100,000
// requests.
constexpr std::uint32_t kEjectionFailures = 5;
constexpr std::uint32_t kEjectionFailuresWithHint = 3;
// HostLoad::mFailureRate after five consecutive failures.
constexpr double kFailureRateLimit = 0.48;
// Ejection threshold as a multiple of the median host. Hosts with two slots and
// uneven work differ by up to a factor of three without any fault.
constexpr double kMedianFactor = 3.0;
constexpr double kMinFailureRate = 0.2;
constexpr double kSampleWeight = 0.125;
constexpr std::uint32_t kMinSamples = 10;

struct Record
{
  std::uint32_t mFailuresInARow = 0;
  std::uint32_t mAnswersInARow = 0;
  std::uint32_t mSamples = 0;
  /** HostLoad::mResultCount of the load report that last ejected the host. */
  std::uint64_t mResults = 0;
  double mFailing = 0;
  double mLatency = 0;
  bool mUnhealthyHint = false;
  std::uint32_t mEjections = 0;
  Time mEjectedUntil;
};

// Base of both detectors: records, cap and ejection time.
class DetectorBase : public OutlierDetector
{
public:
  explicit DetectorBase(bool aCapped)
    : mCapped(aCapped)
  {
  }

  void Add(HostId aHost) override { mRecords.try_emplace(aHost); }
  void Remove(HostId aHost) override { mRecords.erase(aHost); }

  void OnHealthHint(HostId aHost, bool aHealthy) override
  {
    mRecords[aHost].mUnhealthyHint = !aHealthy;
  }

  void OnResult(HostId aHost, bool aAnswered, Duration aLatency,
                Time aNow) override
  {
    Record& record = mRecords[aHost];
    CountResult(record, aAnswered, aLatency);
    if (aNow >= record.mEjectedUntil && IsOutlier(record)) {
      Eject(record, aNow);
    }
  }

  void OnLoadReport(HostId aHost, const HostLoad& aLoad, Time aNow) override
  {
    Record& record = mRecords[aHost];
    // A load report from before the ejection would eject the host again. So
    // would an unchanged report after it, since the host got no work that could
    // improve its values.
    const bool isStale = aNow - aLoad.mAge < record.mEjectedUntil;
    if (isStale || aLoad.mResultCount < record.mResults + kRecoveryAnswers) {
      return;
    }
    record.mFailing = aLoad.mFailureRate;
    record.mLatency = static_cast<double>(aLoad.mServiceTime.count());
    record.mSamples = std::max(record.mSamples, kMinSamples);
    if (IsOutlier(record) || aLoad.mFailureRate >= kFailureRateLimit) {
      Eject(record, aNow);
      record.mResults = aLoad.mResultCount;
    }
  }

  bool IsEjected(HostId aHost, Time aNow) const override
  {
    auto it = mRecords.find(aHost);
    return it != mRecords.end() && aNow < it->second.mEjectedUntil;
  }

protected:
  virtual bool IsOutlier(const Record& aRecord) = 0;

  std::map<HostId, Record> mRecords;

private:
  static void CountResult(Record& aRecord, bool aAnswered, Duration aLatency)
  {
    ++aRecord.mSamples;
    const double failed = aAnswered ? 0.0 : 1.0;
    aRecord.mFailing += (failed - aRecord.mFailing) * kSampleWeight;
    if (!aAnswered) {
      ++aRecord.mFailuresInARow;
      aRecord.mAnswersInARow = 0;
      return;
    }
    const auto latency = static_cast<double>(aLatency.count());
    const bool isFirst = aRecord.mLatency == 0;
    const double weight = isFirst ? 1.0 : kSampleWeight;
    aRecord.mLatency += (latency - aRecord.mLatency) * weight;
    aRecord.mFailuresInARow = 0;
    if (++aRecord.mAnswersInARow >= kRecoveryAnswers) {
      aRecord.mEjections = 0;
    }
  }

  void Eject(Record& aRecord, Time aNow)
  {
    std::uint32_t ejected = 0;
    for (const auto& [host, it] : mRecords) {
      ejected += aNow < it.mEjectedUntil ? 1 : 0;
    }
    const auto hosts = static_cast<std::uint32_t>(mRecords.size());
    if (mCapped && ejected >= hosts / kCapDivisor) {
      return;
    }
    const Duration wait =
      kFirstEjection * (1U << std::min(aRecord.mEjections, 4U));
    ++aRecord.mEjections;
    aRecord.mEjectedUntil = aNow + std::min(wait, kMaxEjection);
    // Resets the record: the old results would eject the host again at once.
    aRecord.mFailuresInARow = 0;
    aRecord.mAnswersInARow = 0;
    aRecord.mSamples = 0;
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
    const std::uint32_t threshold =
      aRecord.mUnhealthyHint ? kEjectionFailuresWithHint : kEjectionFailures;
    return aRecord.mFailuresInARow >= threshold;
  }
};

class ComparedDetector final : public DetectorBase
{
public:
  using DetectorBase::DetectorBase;

protected:
  bool IsOutlier(const Record& aRecord) override
  {
    const std::uint32_t threshold =
      aRecord.mUnhealthyHint ? kMinSamples / 2 : kMinSamples;
    if (aRecord.mSamples < threshold) {
      return false;
    }
    const double failing = Median(&Record::mFailing);
    const bool failsMore = aRecord.mFailing > kMinFailureRate &&
                           aRecord.mFailing > kMedianFactor * failing;
    const double latency = Median(&Record::mLatency);
    const bool isSlow =
      latency > 0 && aRecord.mLatency > kMedianFactor * latency;
    return failsMore || isSlow;
  }

private:
  double Median(double Record::*aMember)
  {
    mScratch.clear();
    for (const auto& [host, it] : mRecords) {
      // A host without a latency was never called.
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
              "unknown outlier detector \"" + std::string(aName) + "\"",
              "use \"consecutive\" or \"compared\"");
}

} // namespace heatherplank
