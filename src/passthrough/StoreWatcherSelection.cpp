#include "src/passthrough/StoreWatcherSelection.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace heatherplank {

namespace {

/** Any fixed value: all balancers select the same watchers by it. */
constexpr std::uint64_t kRankSeed = 0x726f75746573;

/** In a fleet above kSmallFleetSize: the longest time that one watch call
 * waits, as a share of Options::mPropagationTimeout. */
constexpr double kWatchShare = 0.5;
/** How long a confirmation is valid, as a share of the propagation timeout. The
 * rest is left for the store call and the transfer of the document. */
constexpr double kConfirmationShare = 0.7;
/** Balancers without a confirmation start to watch at different times, spread
 * over this share of the propagation timeout; the first one that gets a
 * confirmation notifies the others. */
constexpr double kJitterShare = 0.1;

Duration Scale(Duration aSpan, double aFactor)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, Duration::period>(
      static_cast<double>(aSpan.count()) * aFactor));
}

double ToUnitInterval(std::uint64_t aHash)
{
  return static_cast<double>(aHash % 1024) / 1024;
}

struct Ranked
{
  std::uint64_t mScore = 0;
  HostId mHost;
  DataCentreId mDataCentre;
  /** Has the highest score in its data centre. */
  bool mIsBest = false;
};

Ranked MakeRanked(HostId aHost, DataCentreId aDataCentre)
{
  return { MixHash(kRankSeed, aHost.mValue), aHost, aDataCentre };
}

} // namespace

StoreWatcherSelection::StoreWatcherSelection(const Options& aOptions)
  : mOptions(aOptions)
  , mConfirmationLifetime(Scale(
      aOptions.mPropagationTimeout,
      kConfirmationShare + kJitterShare * ToUnitInterval(MixHash(
                                            aOptions.mSelf.mValue, kRankSeed))))
  , mRandom(static_cast<std::uint32_t>(aOptions.mSeed))
{
}

void StoreWatcherSelection::OnConfirmed(Time aAt)
{
  mConfirmedAt = std::max(mConfirmedAt.value_or(aAt), aAt);
}

std::optional<WatchSchedule::WatchWait> StoreWatcherSelection::NextWatchWait(
  std::span<const Member> aOthers, bool aHasRoutes, bool aIsDocumentPending,
  Time aNow)
{
  if (!ShouldWatch(aOthers, aHasRoutes, aIsDocumentPending, aNow)) {
    return std::nullopt;
  }
  if (aOthers.size() < kSmallFleetSize) {
    return SmallFleetWait(aOthers);
  }
  // A change ends all watches at once; random durations spread the
  // confirmations that follow.
  double factor = std::uniform_real_distribution<double>(0.5, 1)(mRandom);
  Duration wait = Scale(mOptions.mPropagationTimeout, kWatchShare * factor);
  return WatchSchedule::WatchWait{ wait, wait };
}

WatchSchedule::WatchWait StoreWatcherSelection::SmallFleetWait(
  std::span<const Member> aOthers) const
{
  auto scoreOf = [](HostId aHost) { return MixHash(kRankSeed, aHost.mValue); };
  auto rank = 1 + std::ranges::count_if(aOthers, [&](const Member& aIt) {
                return scoreOf(aIt.mHost) > scoreOf(mOptions.mSelf);
              });
  auto size = static_cast<std::ptrdiff_t>(aOthers.size() + 1);
  Duration next = std::clamp(kWatchGap * size, kSmallFleetMinWatchDuration,
                             kSmallFleetWatchDuration);
  return { mOptions.mGuards.mStaggerWatches ? next * rank / size : next, next };
}

bool StoreWatcherSelection::ShouldAbandonWatch(Time aConfirmedAt,
                                               Duration aPending,
                                               Time aNow) const
{
  // In a large fleet, a watch that is not silent has ended by then.
  Duration longestWait = Scale(mOptions.mPropagationTimeout, kWatchShare);
  return mOptions.mGuards.mReadIfUnconfirmed &&
         aNow - aConfirmedAt >= mConfirmationLifetime &&
         aPending >= longestWait;
}

bool StoreWatcherSelection::ShouldWatch(std::span<const Member> aOthers,
                                        bool aHasRoutes,
                                        bool aIsDocumentPending,
                                        Time aNow) const
{
  Duration age = aNow - mOptions.mStartedAt;
  if (!aHasRoutes) {
    return !aIsDocumentPending && age >= kPeerResponseTimeout;
  }
  bool isConfirmed =
    mConfirmedAt && aNow - *mConfirmedAt < mConfirmationLifetime;
  if (!isConfirmed && mOptions.mGuards.mWatchIfUnconfirmed) {
    return true;
  }
  return age >= kPeerDiscoveryTimeout && IsSelected(aOthers);
}

/** Whether this balancer is one of the watchers: the balancers with the highest
 * score of each data centre, in the order of their scores, then the others, if
 * there are fewer data centres than watchers. */
bool StoreWatcherSelection::IsSelected(std::span<const Member> aOthers) const
{
  if (aOthers.size() < kSmallFleetSize) {
    return true;
  }
  std::vector<Ranked> ranked{ MakeRanked(mOptions.mSelf,
                                         mOptions.mDataCentre) };
  for (const Member& it : aOthers) {
    ranked.push_back(MakeRanked(it.mHost, it.mDataCentre));
  }
  std::unordered_map<DataCentreId, std::uint64_t> bestOf;
  for (const Ranked& it : ranked) {
    auto& best = bestOf[it.mDataCentre];
    best = std::max(best, it.mScore);
  }
  for (Ranked& it : ranked) {
    it.mIsBest = it.mScore == bestOf[it.mDataCentre];
  }
  auto last = ranked.begin() + kWatcherCount;
  std::ranges::partial_sort(ranked, last,
                            [](const auto& aLeft, const auto& aRight) {
                              return std::tie(aLeft.mIsBest, aLeft.mScore) >
                                     std::tie(aRight.mIsBest, aRight.mScore);
                            });
  return std::any_of(ranked.begin(), last, [&](const Ranked& aIt) {
    return aIt.mHost == mOptions.mSelf;
  });
}

} // namespace heatherplank
