#include "src/metrics/Metrics.h"

#include <sstream>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/json.hpp>

namespace heatherplank {

namespace bh = boost::histogram;

namespace {

constexpr double kMinMs = 0.05;
constexpr double kMaxMs = 60000;
constexpr int kBinCount = 287;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

auto MakeBins()
{
  return bh::make_histogram(LogAxis(kBinCount, kMinMs, kMaxMs));
}

std::string SeriesName(const std::pair<std::string, std::string>& aKey,
                       const std::string& aSuffix = {},
                       const std::string& aExtra = {})
{
  std::string labels = aKey.second;
  if (!aExtra.empty()) {
    labels += labels.empty() ? aExtra : "," + aExtra;
  }
  std::string out = aKey.first + aSuffix;
  return labels.empty() ? out : out + "{" + labels + "}";
}

template<typename Table>
auto& FindOrCreate(Table& aTable, std::string_view aName,
                   std::string_view aLabels)
{
  auto& slot = aTable[{ std::string(aName), std::string(aLabels) }];
  if (!slot) {
    slot = std::make_unique<
      typename std::remove_reference_t<decltype(slot)>::element_type>();
  }
  return *slot;
}

/** Writes a TYPE line before the first series of a name. */
void WriteType(std::ostream& aOut, std::string& aLastName,
               const std::string& aName, const char* aType)
{
  if (aLastName != aName) {
    aOut << "# TYPE " << aName << ' ' << aType << '\n';
    aLastName = aName;
  }
}

} // namespace

struct Histogram::Impl
{
  mutable std::mutex mLock;
  decltype(MakeBins()) mBins = MakeBins();
  std::uint64_t mCount = 0;
  double mSum = 0;
};

Histogram::Histogram()
  : mImpl(std::make_unique<Impl>())
{
}

Histogram::~Histogram() = default;

void Histogram::Record(double aMilliseconds)
{
  std::lock_guard lock(mImpl->mLock);
  mImpl->mBins(aMilliseconds);
  ++mImpl->mCount;
  mImpl->mSum += aMilliseconds;
}

double Histogram::Quantile(double aQuantile) const
{
  std::lock_guard lock(mImpl->mLock);
  if (mImpl->mCount == 0) {
    return 0;
  }
  const auto& axis = mImpl->mBins.axis();
  double target = aQuantile * static_cast<double>(mImpl->mCount);
  double cumulative = 0;
  for (int i = -1; i <= kBinCount; ++i) {
    cumulative += mImpl->mBins.at(i);
    if (cumulative >= target && cumulative > 0) {
      return i < 0 ? kMinMs : axis.value(i < kBinCount ? i + 0.5 : kBinCount);
    }
  }
  return kMaxMs;
}

std::uint64_t Histogram::Count() const
{
  std::lock_guard lock(mImpl->mLock);
  return mImpl->mCount;
}

double Histogram::Sum() const
{
  std::lock_guard lock(mImpl->mLock);
  return mImpl->mSum;
}

Counter& MetricsRegistry::GetCounter(std::string_view aName,
                                     std::string_view aLabels)
{
  std::lock_guard lock(mLock);
  return FindOrCreate(mCounters, aName, aLabels);
}

Gauge& MetricsRegistry::GetGauge(std::string_view aName,
                                 std::string_view aLabels)
{
  std::lock_guard lock(mLock);
  return FindOrCreate(mGauges, aName, aLabels);
}

Histogram& MetricsRegistry::GetHistogram(std::string_view aName,
                                         std::string_view aLabels)
{
  std::lock_guard lock(mLock);
  return FindOrCreate(mHistograms, aName, aLabels);
}

std::string MetricsRegistry::ToPrometheus() const
{
  std::lock_guard lock(mLock);
  std::ostringstream out;
  std::string lastName;
  for (const auto& [key, it] : mCounters) {
    WriteType(out, lastName, key.first, "counter");
    out << SeriesName(key) << ' ' << it->Value() << '\n';
  }
  for (const auto& [key, it] : mGauges) {
    WriteType(out, lastName, key.first, "gauge");
    out << SeriesName(key) << ' ' << it->Value() << '\n';
  }
  for (const auto& [key, it] : mHistograms) {
    WriteType(out, lastName, key.first, "summary");
    out << SeriesName(key, {}, "quantile=\"0.5\"") << ' ' << it->Quantile(0.5)
        << '\n';
    out << SeriesName(key, {}, "quantile=\"0.99\"") << ' ' << it->Quantile(0.99)
        << '\n';
    out << SeriesName(key, "_sum") << ' ' << it->Sum() << '\n';
    out << SeriesName(key, "_count") << ' ' << it->Count() << '\n';
  }
  return out.str();
}

std::string MetricsRegistry::ToJson() const
{
  std::lock_guard lock(mLock);
  boost::json::object out;
  for (const auto& [key, it] : mCounters) {
    out[SeriesName(key)] = it->Value();
  }
  for (const auto& [key, it] : mGauges) {
    out[SeriesName(key)] = it->Value();
  }
  for (const auto& [key, it] : mHistograms) {
    out[SeriesName(key)] = { { "count", it->Count() },
                             { "sum", it->Sum() },
                             { "p50", it->Quantile(0.5) },
                             { "p99", it->Quantile(0.99) } };
  }
  return boost::json::serialize(out);
}

} // namespace heatherplank
