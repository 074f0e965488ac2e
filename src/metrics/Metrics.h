#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Clock.h"

namespace heatherplank {

/** Converts a duration to milliseconds, the unit of Histogram. */
inline double InMs(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/** A monotonic counter. Thread safe. */
class Counter
{
public:
  void Add(std::uint64_t aBy = 1)
  {
    mValue.fetch_add(aBy, std::memory_order_relaxed);
  }
  std::uint64_t Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> mValue{ 0 };
};

/** A value that can rise and fall. Thread safe. */
class Gauge
{
public:
  void Set(double aValue) { mValue.store(aValue, std::memory_order_relaxed); }
  double Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<double> mValue{ 0 };
};

/** Histogram of times from 0.05 ms to 60 s (Boost.Histogram), with a
 * logarithmic axis and bins 5 % wide. Thread safe: locks internally.
 */
class Histogram
{
public:
  Histogram();
  ~Histogram();
  void Record(double aMilliseconds);
  /** In milliseconds; 0 if nothing was recorded. aQuantile is from 0 to 1. */
  double Quantile(double aQuantile) const;
  std::uint64_t Count() const;
  double Sum() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/** All counters, gauges and histograms of a process, by name and labels.
 * Returned references are valid as long as the registry. Thread safe.
 */
class MetricsRegistry
{
public:
  /** Find or create a metric. aLabels as in Prometheus: reason="queue_full". */
  Counter& GetCounter(std::string_view aName, std::string_view aLabels = {});
  Gauge& GetGauge(std::string_view aName, std::string_view aLabels = {});
  Histogram& GetHistogram(std::string_view aName,
                          std::string_view aLabels = {});

  /** The Prometheus text format. */
  std::string ToPrometheus() const;
  /** {"name{labels}": value, ...}; a histogram is {count,sum,p50,p99}. */
  std::string ToJson() const;

private:
  template<typename T>
  using Table =
    std::map<std::pair<std::string, std::string>, std::unique_ptr<T>>;

  mutable std::mutex mLock;
  Table<Counter> mCounters;
  Table<Gauge> mGauges;
  Table<Histogram> mHistograms;
};

} // namespace heatherplank
