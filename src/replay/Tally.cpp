#include "src/replay/Tally.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace heatherplank::replay {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

double Ratio(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 1.0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

double Quantile(const std::vector<Duration>& aTimes, double aQuantile)
{
  if (aTimes.empty()) {
    return 0;
  }
  auto sorted = aTimes;
  const double last = static_cast<double>(sorted.size() - 1);
  const auto at = static_cast<std::ptrdiff_t>(aQuantile * last);
  std::ranges::nth_element(sorted, sorted.begin() + at);
  return Milliseconds(sorted[static_cast<std::size_t>(at)]).count();
}

// The number of requests without an outcome. Negative if more requests ended
// than arrived since the last reset.
double LostRequests(const ClassTally& aTally)
{
  const auto known =
    aTally.mAnswered + aTally.mLate + aTally.mFailed + aTally.mRefused;
  return static_cast<double>(aTally.mOffered) - static_cast<double>(known);
}

using ClassFigure = std::function<double(const ClassTally&)>;

const std::map<std::string, ClassFigure, std::less<>>& ClassFigures()
{
  static const std::map<std::string, ClassFigure, std::less<>> kFigures{
    { "offered", [](const auto& aIt) { return double(aIt.mOffered); } },
    { "answered", [](const auto& aIt) { return double(aIt.mAnswered); } },
    { "answered_share",
      [](const auto& aIt) { return Ratio(aIt.mAnswered, aIt.mOffered); } },
    { "late", [](const auto& aIt) { return double(aIt.mLate); } },
    { "late_share",
      [](const auto& aIt) { return Ratio(aIt.mLate, aIt.mOffered); } },
    { "failed", [](const auto& aIt) { return double(aIt.mFailed); } },
    { "failed_share",
      [](const auto& aIt) { return Ratio(aIt.mFailed, aIt.mOffered); } },
    { "refused", [](const auto& aIt) { return double(aIt.mRefused); } },
    { "refused_attempts",
      [](const auto& aIt) { return double(aIt.mRefusedAttempts); } },
    { "told_share",
      [](const auto& aIt) {
        return Ratio(aIt.mRefusalsWithRetryTime, aIt.mRefusedAttempts);
      } },
    { "lost", [](const auto& aIt) { return LostRequests(aIt); } },
    { "run_twice", [](const auto& aIt) { return double(aIt.mRunTwice); } },
    { "handed_on", [](const auto& aIt) { return double(aIt.mForwarded); } },
    { "retried", [](const auto& aIt) { return double(aIt.mRetried); } },
    { "attempts_each",
      [](const auto& aIt) { return Ratio(aIt.mAttempts, aIt.mOffered); } },
    { "p50_ms", [](const auto& aIt) { return Quantile(aIt.mLatencies, 0.5); } },
    { "p99_ms",
      [](const auto& aIt) { return Quantile(aIt.mLatencies, 0.99); } },
    { "refusal_p99_ms",
      [](const auto& aIt) { return Quantile(aIt.mRefusalWaits, 0.99); } },
  };
  return kFigures;
}

std::optional<double> RefusedForReason(std::string_view aReason,
                                       const ClassTally& aTally)
{
  for (std::size_t i = 0; i < kRefusalReasons; ++i) {
    if (ToString(static_cast<RefusalReason>(i)) == aReason) {
      return static_cast<double>(aTally.mByReason.at(i));
    }
  }
  return std::nullopt;
}

// The mean imbalance over all seconds with work; 1 means evenly spread load.
double Imbalance(const Tally& aTally)
{
  if (aTally.mImbalances.empty()) {
    return 1.0;
  }
  const auto& all = aTally.mImbalances;
  const double sum = std::accumulate(all.begin(), all.end(), 0.0);
  return sum / static_cast<double>(all.size());
}

Duration AnsweredWorkBy(const ClassTally& aClass, Duration aTime)
{
  Duration sum{};
  for (const auto& [at, work] : aClass.mAnswers) {
    sum += at <= aTime ? work : Duration{};
  }
  return sum;
}

// Answered work as a share of the work that the slots allowed. If the wanted
// work fits into the slot time until the last arrival: all answered work over
// the wanted work. Otherwise: the work answered until the last arrival over
// that slot time.
double ShareOfSlots(const Tally& aTally, const ClassTally& aClass)
{
  const Duration slots =
    (aTally.mLastArrival - aTally.mCountingSince) * aTally.mSlots;
  const bool isOverloaded = aClass.mWantedWork > slots;
  const Duration allowed = isOverloaded ? slots : aClass.mWantedWork;
  const Duration done = isOverloaded
                          ? AnsweredWorkBy(aClass, aTally.mLastArrival)
                          : aClass.mAnsweredWork;
  if (allowed <= Duration{}) {
    return 1.0;
  }
  return static_cast<double>(done.count()) /
         static_cast<double>(allowed.count());
}

void AddTo(ClassTally& aSum, const ClassTally& aIt)
{
  aSum.mOffered += aIt.mOffered;
  aSum.mAttempts += aIt.mAttempts;
  aSum.mAnswered += aIt.mAnswered;
  aSum.mLate += aIt.mLate;
  aSum.mFailed += aIt.mFailed;
  aSum.mRefused += aIt.mRefused;
  aSum.mRefusalsWithRetryTime += aIt.mRefusalsWithRetryTime;
  aSum.mRefusedAttempts += aIt.mRefusedAttempts;
  aSum.mForwarded += aIt.mForwarded;
  aSum.mRetried += aIt.mRetried;
  aSum.mRunTwice += aIt.mRunTwice;
  for (std::size_t i = 0; i < kRefusalReasons; ++i) {
    aSum.mByReason.at(i) += aIt.mByReason.at(i);
  }
  aSum.mLatencies.insert(aSum.mLatencies.end(), aIt.mLatencies.begin(),
                         aIt.mLatencies.end());
  aSum.mRefusalWaits.insert(aSum.mRefusalWaits.end(), aIt.mRefusalWaits.begin(),
                            aIt.mRefusalWaits.end());
  aSum.mWantedWork += aIt.mWantedWork;
  aSum.mAnsweredWork += aIt.mAnsweredWork;
  aSum.mAnswers.insert(aSum.mAnswers.end(), aIt.mAnswers.begin(),
                       aIt.mAnswers.end());
}

} // namespace

ClassTally Tally::Sum() const
{
  ClassTally sum;
  for (const auto& [name, it] : mClasses) {
    AddTo(sum, it);
  }
  return sum;
}

std::optional<double> Tally::Figure(std::string_view aName,
                                    std::string_view aClass,
                                    std::string_view aHost) const
{
  if (aName == "imbalance") {
    return Imbalance(*this);
  }
  if (aName == "most_out") {
    return mMaxEjected;
  }
  if (aName == "host_answered") {
    auto it = mHosts.find(aHost);
    return it == mHosts.end() ? std::nullopt
                              : std::optional(double(it->second.mAnswered));
  }
  auto found = mClasses.find(aClass);
  if (!aClass.empty() && found == mClasses.end()) {
    return std::nullopt;
  }
  const ClassTally tally = aClass.empty() ? Sum() : found->second;
  if (aName == "of_slots") {
    return ShareOfSlots(*this, tally);
  }
  constexpr std::string_view kReason = "refused_for_";
  if (aName.starts_with(kReason)) {
    return RefusedForReason(aName.substr(kReason.size()), tally);
  }
  auto it = ClassFigures().find(aName);
  return it == ClassFigures().end() ? std::nullopt
                                    : std::optional(it->second(tally));
}

std::string FigureNames()
{
  std::string names;
  for (const auto& [name, figure] : ClassFigures()) {
    names += name + ", ";
  }
  return names + "of_slots, refused_for_REASON, imbalance, most_out, "
                 "host_answered";
}

} // namespace heatherplank::replay
