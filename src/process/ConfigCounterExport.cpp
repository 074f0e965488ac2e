#include "src/process/ConfigCounterExport.h"

#include <array>
#include <string>

#include "src/metrics/Metrics.h"

namespace heatherplank {

namespace {

struct Export
{
  const char* mName;
  const char* mLabel;
  std::uint64_t ConfigCounters::*mField;
};

constexpr std::array kExports{
  Export{ "configurations_refused_total", "reason=\"older\"",
          &ConfigCounters::mRefusedOlder },
  Export{ "configurations_refused_total", "reason=\"different\"",
          &ConfigCounters::mRefusedDifferent },
  Export{ "configurations_refused_total", "reason=\"invalid\"",
          &ConfigCounters::mRefusedInvalid },
  Export{ "configurations_refused_total", "reason=\"malformed\"",
          &ConfigCounters::mRefusedMalformed },
  Export{ "configuration_requests_retried_total", "reason=\"no_answer\"",
          &ConfigCounters::mRetriedRequests },
  Export{ "platform_calls_total", "kind=\"configuration\"",
          &ConfigCounters::mPlatformCalls },
  Export{ "platform_failures_total", "kind=\"configuration\"",
          &ConfigCounters::mPlatformFailures },
  Export{ "configurations_adopted_total", "", &ConfigCounters::mAdopted },
};

} // namespace

void ExportConfigCounters(const ConfigCounters& aNow, ConfigCounters& aExported,
                          MetricsRegistry& aMetrics)
{
  for (const auto& it : kExports) {
    auto increase = aNow.*it.mField - aExported.*it.mField;
    if (increase > 0) {
      aMetrics.GetCounter(it.mName, it.mLabel).Add(increase);
    }
  }
  aExported = aNow;
}

} // namespace heatherplank
