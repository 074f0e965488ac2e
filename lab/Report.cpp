#include "lab/Report.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "lab/Details.h"

namespace heatherplank::lab {

namespace json = boost::json;

namespace {

struct Tally
{
  std::uint64_t mFlows = 0;
  std::uint64_t mBroken = 0;
  std::uint64_t mSent = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mLost = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mWrongService = 0;
  std::uint64_t mWrongAnswer = 0;
  std::map<std::string, std::vector<double>> mLatency;
};

using HostCounts = std::map<std::string, std::map<std::string, std::uint64_t>>;

double ToMilliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

double Rounded(double aValue)
{
  return std::round(aValue * 1000) / 1000;
}

double Quantile(std::vector<double>& aSorted, double aShare)
{
  auto last = static_cast<double>(aSorted.size() - 1);
  return Rounded(aSorted[static_cast<std::size_t>(last * aShare)]);
}

void AddRequest(Tally& aTally, const RequestRecord& aRecord)
{
  ++aTally.mSent;
  aTally.mWrongService += aRecord.mWrongService ? 1 : 0;
  aTally.mWrongAnswer += aRecord.mWrongAnswer ? 1 : 0;
  switch (aRecord.mFinal) {
    case FinalAnswer::Run:
      ++aTally.mAnswered;
      aTally.mLatency[aRecord.mLoad->mClass].push_back(
        ToMilliseconds(aRecord.mEnd - aRecord.mStart));
      break;
    case FinalAnswer::NotRun:
      ++aTally.mRefused;
      // Taken in and then refused is lost: it was promised an answer.
      aTally.mLost += aRecord.mAccepted ? 1 : 0;
      break;
    case FinalAnswer::Unknown:
      ++aTally.mUnknown;
      break;
    case FinalAnswer::None:
      ++aTally.mLost;
      break;
  }
}

json::object DescribeTally(Tally& aTally)
{
  json::object latency;
  for (auto& [name, values] : aTally.mLatency) {
    std::sort(values.begin(), values.end());
    latency[name] = json::object{ { "p50", Quantile(values, 0.5) },
                                  { "p99", Quantile(values, 0.99) } };
  }
  return {
    { "flows_opened", aTally.mFlows },
    { "flows_broken", aTally.mBroken },
    { "requests_sent", aTally.mSent },
    { "answered", aTally.mAnswered },
    { "refused", aTally.mRefused },
    { "lost", aTally.mLost },
    { "outcome_unknown", aTally.mUnknown },
    { "wrong_service", aTally.mWrongService },
    { "wrong_answer", aTally.mWrongAnswer },
    { "latency_ms", latency },
  };
}

/** Computes max / mean - 1 over all hosts, including idle ones. */
json::object DescribeImbalance(const Evidence& aEvidence,
                               const HostCounts& aCounts)
{
  json::object out;
  for (const auto& [service, hosts] : aEvidence.mSteadyHosts) {
    std::uint64_t sum = 0;
    std::uint64_t most = 0;
    for (const auto& host : hosts) {
      auto found = aCounts.find(service);
      auto n = found == aCounts.end() ? 0 : [&] {
        auto of = found->second.find(host);
        return of == found->second.end() ? 0 : of->second;
      }();
      sum += n;
      most = std::max(most, n);
    }
    if (sum > 0) {
      auto mean = static_cast<double>(sum) / static_cast<double>(hosts.size());
      out[service] = Rounded(static_cast<double>(most) / mean - 1);
    }
  }
  return out;
}

double Worst(const json::object& aValues)
{
  double worst = 0;
  for (const auto& it : aValues) {
    worst = std::max(worst, it.value().to_number<double>());
  }
  return worst;
}

std::string PolicyAt(const Evidence& aEvidence, Time aAt)
{
  std::string policy;
  for (const auto& [since, name] : aEvidence.mPolicies) {
    if (since <= aAt) {
      policy = name;
    }
  }
  return policy;
}

json::object DescribePolicies(const Evidence& aEvidence)
{
  std::map<std::string, Tally> tallies;
  std::map<std::string, HostCounts> counts;
  for (const auto& it : aEvidence.mCallers->mRequests) {
    AddRequest(tallies[it.mPolicy], it);
  }
  for (const auto& it : aEvidence.mCallers->mFlows) {
    ++tallies[it.mPolicy].mFlows;
    tallies[it.mPolicy].mBroken += it.mBroken ? 1 : 0;
  }
  for (const auto& it : *aEvidence.mExecutions) {
    ++counts[PolicyAt(aEvidence, it.mStart)][it.mService][it.mHost];
  }
  json::object out;
  for (auto& [name, tally] : tallies) {
    auto policy = DescribeTally(tally);
    policy["imbalance"] = DescribeImbalance(aEvidence, counts[name]);
    out[name] = policy;
  }
  return out;
}

/** Counts executions by a host of another service than the caller addressed: a
 * request id begins with the service's name. */
std::uint64_t CountMisdelivered(const ExecutionLog& aExecutions)
{
  return static_cast<std::uint64_t>(
    std::count_if(aExecutions.begin(), aExecutions.end(), [](const auto& aIt) {
      return !aIt.mRequestId.starts_with(aIt.mService + ".");
    }));
}

void AddKeys(const Evidence& aEvidence, json::object& aOut)
{
  std::uint64_t doubled = 0;
  std::uint64_t falsely = 0;
  for (const auto& [key, history] : CollectKeys(aEvidence)) {
    doubled += history.mRuns > 1 ? 1 : 0;
    falsely +=
      history.mRuns > 0 && history.mLast == FinalAnswer::NotRun ? 1 : 0;
  }
  aOut["run_twice"] = doubled;
  aOut["false_not_run"] = falsely;
}

json::object ToObject(const std::map<std::string, std::uint64_t>& aCounts)
{
  json::object out;
  for (const auto& [name, n] : aCounts) {
    out[name.empty() ? "none" : name] = n;
  }
  return out;
}

json::object CountBreaks(const CallerRecord& aCallers)
{
  std::map<std::string, std::uint64_t> counts;
  for (const auto& it : aCallers.mFlows) {
    if (it.mBroken) {
      ++counts[it.mWhy.starts_with("epoch") ? "epoch_changed" : "no_answer"];
    }
  }
  return ToObject(counts);
}

/** Returns the value of a dotted key, or 0. */
double Lookup(const json::object& aReport, std::string_view aKey)
{
  const json::object* at = &aReport;
  while (at) {
    if (const auto* found = at->if_contains(aKey)) {
      return found->is_number() ? found->to_number<double>() : 0;
    }
    auto dot = aKey.find('.');
    const auto* next = at->if_contains(aKey.substr(0, dot));
    at = next && dot != std::string_view::npos ? next->if_object() : nullptr;
    aKey.remove_prefix(std::min(dot, aKey.size() - 1) + 1);
  }
  return 0;
}

} // namespace

json::object MakeReport(const Evidence& aEvidence)
{
  Tally tally;
  HostCounts counts;
  for (const auto& it : aEvidence.mCallers->mRequests) {
    AddRequest(tally, it);
  }
  for (const auto& it : aEvidence.mCallers->mFlows) {
    ++tally.mFlows;
    tally.mBroken += it.mBroken ? 1 : 0;
  }
  for (const auto& it : *aEvidence.mExecutions) {
    ++counts[it.mService][it.mHost];
  }
  tally.mWrongService += CountMisdelivered(*aEvidence.mExecutions);
  tally.mWrongAnswer += aEvidence.mCallers->mForeignAnswers;
  json::object report{ { "scenario", aEvidence.mScenario->mName } };
  for (auto& it : DescribeTally(tally)) {
    report[it.key()] = it.value();
  }
  AddKeys(aEvidence, report);
  auto imbalance = DescribeImbalance(aEvidence, counts);
  report["imbalance"] = Worst(imbalance);
  report["imbalance_by_service"] = imbalance;
  report["broken_by"] = CountBreaks(*aEvidence.mCallers);
  report["refusals"] = ToObject(aEvidence.mCallers->mRefusals);
  report["retries"] = ToObject(aEvidence.mCallers->mRetries);
  report["no_retry_after"] = aEvidence.mCallers->mNoRetryAfter;
  report["details"] = DescribeDetails(aEvidence);
  report["executions"] = aEvidence.mExecutions->size();
  report["per_policy"] = DescribePolicies(aEvidence);
  return report;
}

std::vector<std::string> CheckExpectations(const Scenario& aScenario,
                                           const json::object& aReport)
{
  std::vector<std::string> unmet;
  for (const auto& it : aScenario.mExpect) {
    double value = Lookup(aReport, it.mKey);
    std::ostringstream line;
    if (it.mMin && value < *it.mMin) {
      line << it.mKey << " is " << value << ", at least " << *it.mMin
           << " expected";
    } else if (it.mMax && value > *it.mMax) {
      line << it.mKey << " is " << value << ", at most " << *it.mMax
           << " expected";
    }
    if (!line.str().empty()) {
      unmet.push_back(line.str());
    }
  }
  return unmet;
}

std::string DescribeReport(const json::object& aReport)
{
  std::ostringstream out;
  auto value = [&](std::string_view aKey) { return Lookup(aReport, aKey); };
  out << "flows     " << value("flows_opened") << " opened, "
      << value("flows_broken") << " broken\n"
      << "requests  " << value("requests_sent") << " sent, "
      << value("answered") << " answered, " << value("refused") << " refused, "
      << value("outcome_unknown") << " unknown, " << value("lost") << " lost\n"
      << "wrong     " << value("run_twice") << " run twice, "
      << value("false_not_run") << " falsely not run, "
      << value("wrong_service") << " at another service, "
      << value("wrong_answer") << " wrong answers\n"
      << "imbalance " << value("imbalance") << "\n";
  for (const auto& it : aReport.at("latency_ms").as_object()) {
    auto at = [&](const char* aName) {
      return it.value().at(aName).to_number<double>();
    };
    out << "latency   " << it.key() << ": p50 " << at("p50") << " ms, p99 "
        << at("p99") << " ms\n";
  }
  return out.str();
}

} // namespace heatherplank::lab
