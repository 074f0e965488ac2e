#include "src/status/StatusView.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <boost/json/array.hpp>

namespace heatherplank {

namespace json = boost::json;

namespace {

/** Time without a report after which a process is unresponsive: three missed
 * reports, as a process reports at least every 60 s. */
constexpr std::int64_t kUnresponsiveMs = 180000;
constexpr int kNameWidth = 24;
constexpr int kColumnWidth = 12;

double Seconds(std::int64_t aMilliseconds)
{
  return static_cast<double>(aMilliseconds) / 1000;
}

std::string StateOf(const ProcessView& aProcess)
{
  if (aProcess.mIsUnresponsive) {
    return "silent";
  }
  return aProcess.mLagMs > 0 ? "lags" : "current";
}

std::uint64_t Sum(const std::map<std::string, std::uint64_t>& aCounts)
{
  std::uint64_t sum = 0;
  for (const auto& it : aCounts) {
    sum += it.second;
  }
  return sum;
}

json::object Counts(const std::map<std::string, std::uint64_t>& aCounts)
{
  json::object out;
  for (const auto& [reason, n] : aCounts) {
    out[reason] = n;
  }
  return out;
}

json::object ToReport(const PolicyFigures& aFigures,
                      const PolicyChoice& aWeights)
{
  json::object latency;
  for (const auto& [importance, bins] : aFigures.mLatency) {
    latency[importance] = { { "count", bins.Count() },
                            { "p50", bins.Quantile(0.5) },
                            { "p99", bins.Quantile(0.99) } };
  }
  json::object out;
  out["policy"] = aFigures.mName;
  out["in_force"] = aFigures.mName == aWeights.mName;
  out["process_seconds"] = aFigures.mSeconds;
  out["flows_opened"] = aFigures.mFlowsOpened;
  out["flows_broken"] = aFigures.mFlowsBroken;
  out["imbalance"] = aFigures.Imbalance();
  out["requests"] = aFigures.mRequests;
  out["answered"] = aFigures.mAnswered;
  out["refusals"] = Counts(aFigures.mRefusals);
  out["retries"] = Counts(aFigures.mRetries);
  out["latency_ms"] = std::move(latency);
  out["score"] = aFigures.Score(aWeights);
  return out;
}

void PrintCounts(std::ostream& aOut, const char* aName,
                 const std::map<std::string, std::uint64_t>& aCounts)
{
  for (const auto& [reason, n] : aCounts) {
    aOut << "  " << aName << " " << reason << ": " << n << "\n";
  }
}

void PrintFigures(std::ostream& aOut, const PolicyFigures& aFigures,
                  const PolicyChoice& aWeights)
{
  aOut << std::left << std::setw(kNameWidth)
       << aFigures.mName + (aFigures.mName == aWeights.mName ? " *" : "")
       << std::right << std::setw(kColumnWidth) << aFigures.mFlowsOpened
       << std::setw(kColumnWidth) << aFigures.mFlowsBroken
       << std::setw(kColumnWidth) << aFigures.Imbalance()
       << std::setw(kColumnWidth) << aFigures.mAnswered
       << std::setw(kColumnWidth) << Sum(aFigures.mRefusals)
       << std::setw(kColumnWidth) << Sum(aFigures.mRetries)
       << std::setw(kColumnWidth) << aFigures.Score(aWeights) << "\n";
  for (const auto& [importance, bins] : aFigures.mLatency) {
    aOut << "  latency " << importance << ": p50 " << bins.Quantile(0.5)
         << " ms, p99 " << bins.Quantile(0.99) << " ms, " << bins.Count()
         << " answers\n";
  }
  PrintCounts(aOut, "refused", aFigures.mRefusals);
  PrintCounts(aOut, "retried", aFigures.mRetries);
}

} // namespace

bool StatusView::IsLagging() const
{
  return std::ranges::any_of(mProcesses, [](const ProcessView& aProcess) {
    return aProcess.mLagMs > 0 && !aProcess.mIsUnresponsive;
  });
}

StatusView MakeStatusView(const ConfigurationHead& aAccepted,
                          const StatusObject& aStatus, std::int64_t aNowMs)
{
  StatusView out{ aAccepted, {} };
  for (const auto& [name, process] : aStatus.mProcesses) {
    ProcessView view;
    view.mStatus = process;
    view.mIsUnresponsive = process.mLastReportMs + kUnresponsiveMs < aNowMs;
    if (process.mVersion < aAccepted.mVersion) {
      view.mLagMs = std::max<std::int64_t>(1, aNowMs - aAccepted.mTimeMs);
    }
    out.mProcesses.push_back(std::move(view));
  }
  // The processes that need the operator's attention come first.
  std::ranges::stable_sort(out.mProcesses, std::greater<>(),
                           &ProcessView::mLagMs);
  return out;
}

json::object ToJson(const StatusView& aView)
{
  json::array processes;
  for (const auto& it : aView.mProcesses) {
    processes.push_back({ { "name", it.mStatus.mName },
                          { "role", it.mStatus.mRole },
                          { "data_centre", it.mStatus.mDataCentre },
                          { "version", it.mStatus.mVersion },
                          { "since_ms", it.mStatus.mInForceSinceMs },
                          { "seen_ms", it.mStatus.mLastReportMs },
                          { "state", StateOf(it) },
                          { "lag_ms", it.mLagMs } });
  }
  json::object out;
  out["accepted_version"] = aView.mAccepted.mVersion;
  out["author"] = aView.mAccepted.mAuthor;
  out["time_ms"] = aView.mAccepted.mTimeMs;
  out["lagging"] = aView.IsLagging();
  out["processes"] = std::move(processes);
  return out;
}

std::string ToTable(const StatusView& aView)
{
  std::ostringstream out;
  out << "Accepted: " << DescribeHead(aView.mAccepted) << "\n"
      << std::left << std::setw(kNameWidth) << "PROCESS"
      << std::setw(kColumnWidth) << "ROLE" << std::setw(kColumnWidth)
      << "DATA CENTRE" << std::right << std::setw(kColumnWidth) << "VERSION"
      << std::setw(kColumnWidth) << "STATE" << std::setw(kColumnWidth)
      << "LAG s"
      << "\n"
      << std::fixed << std::setprecision(1);
  for (const auto& it : aView.mProcesses) {
    out << std::left << std::setw(kNameWidth) << it.mStatus.mName
        << std::setw(kColumnWidth) << it.mStatus.mRole
        << std::setw(kColumnWidth) << it.mStatus.mDataCentre << std::right
        << std::setw(kColumnWidth) << it.mStatus.mVersion
        << std::setw(kColumnWidth) << StateOf(it) << std::setw(kColumnWidth)
        << Seconds(it.mLagMs) << "\n";
  }
  return out.str();
}

json::object ReportToJson(const StatusObject& aStatus,
                          const PolicyChoice& aWeights)
{
  json::array policies;
  for (const auto& it : aStatus.mFigures) {
    policies.push_back(ToReport(it.second, aWeights));
  }
  json::object out;
  out["broken_flows_weight"] = aWeights.mBrokenFlowsWeight;
  out["imbalance_weight"] = aWeights.mImbalanceWeight;
  out["policies"] = std::move(policies);
  return out;
}

std::string ReportToTable(const StatusObject& aStatus,
                          const PolicyChoice& aWeights)
{
  std::ostringstream out;
  out << "Score: mean of broken flows in percent (weight "
      << aWeights.mBrokenFlowsWeight << ") and imbalance in percent (weight "
      << aWeights.mImbalanceWeight << "); lower is better. *: in force\n"
      << std::left << std::setw(kNameWidth) << "POLICY" << std::right;
  for (const char* it : { "FLOWS", "BROKEN", "IMBALANCE", "ANSWERED", "REFUSED",
                          "RETRIED", "SCORE" }) {
    out << std::setw(kColumnWidth) << it;
  }
  out << "\n" << std::fixed << std::setprecision(3);
  for (const auto& it : aStatus.mFigures) {
    PrintFigures(out, it.second, aWeights);
  }
  return out.str();
}

} // namespace heatherplank
