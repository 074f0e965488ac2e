#include "src/passthrough/StoreWatchDuty.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace heatherplank {

namespace {

/** Any fixed value: all balancers choose the same watchers by it. */
constexpr std::uint64_t kRankSeed = 0x726f75746573;

/** Of the time in which routes come into force, how long a watch waits at most.
 */
constexpr double kWatchShare = 0.5;
/** The same for how long a confirmation is relied on. What is left is for the
 * call to the store and the document. */
constexpr double kTrustShare = 0.7;
/** Balancers that miss a confirmation turn to the store over this share of the
 * time, each at its own moment; the first that hears it tells the others. */
constexpr double kSpreadShare = 0.1;

Duration Scale(Duration aSpan, double aFactor)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, Duration::period>(
      static_cast<double>(aSpan.count()) * aFactor));
}

double UnitOf(std::uint64_t aHash)
{
  return static_cast<double>(aHash % 1024) / 1024;
}

struct Ranked
{
  std::uint64_t mScore = 0;
  HostId mHost;
  DataCentreId mDataCentre;
  /** The best of its data centre. */
  bool mIsBest = false;
};

Ranked RankOf(HostId aHost, DataCentreId aDataCentre)
{
  return { MixHash(kRankSeed, aHost.mValue), aHost, aDataCentre };
}

} // namespace

StoreWatchDuty::StoreWatchDuty(const Options& aOptions)
  : mOptions(aOptions)
  , mTrustFor(
      Scale(aOptions.mInForceWithin,
            kTrustShare +
              kSpreadShare * UnitOf(MixHash(aOptions.mSelf.mValue, kRankSeed))))
  , mRandom(static_cast<std::uint32_t>(aOptions.mSeed))
{
}

void StoreWatchDuty::OnConfirmed(Time aAt)
{
  mConfirmedAt = std::max(mConfirmedAt.value_or(aAt), aAt);
}

std::optional<Duration> StoreWatchDuty::WatchFor(
  std::span<const Member> aOthers, bool aHasRoutes, bool aIsAsking, Time aNow)
{
  if (!IsDue(aOthers, aHasRoutes, aIsAsking, aNow)) {
    return std::nullopt;
  }
  if (aOthers.size() < kAllUpTo) {
    return kWatchForIfAll;
  }
  // A change ends all watches at once; drawn waits keep the confirmations that
  // follow apart.
  double drawn = std::uniform_real_distribution<double>(0.5, 1)(mRandom);
  return Scale(mOptions.mInForceWithin, kWatchShare * drawn);
}

bool StoreWatchDuty::IsDue(std::span<const Member> aOthers, bool aHasRoutes,
                           bool aIsAsking, Time aNow) const
{
  Duration age = aNow - mOptions.mStartedAt;
  if (!aHasRoutes) {
    return !aIsAsking && age >= kPeersAnswerWithin;
  }
  if (!mConfirmedAt || aNow - *mConfirmedAt >= mTrustFor) {
    return true;
  }
  return age >= kSeesOthersWithin && IsChosen(aOthers);
}

/** The best ranked of each data centre come first, in the order of their
 * ranks; then, where there are fewer data centres than watchers, the others. */
bool StoreWatchDuty::IsChosen(std::span<const Member> aOthers) const
{
  if (aOthers.size() < kAllUpTo) {
    return true;
  }
  std::vector<Ranked> ranked{ RankOf(mOptions.mSelf, mOptions.mDataCentre) };
  for (const Member& it : aOthers) {
    ranked.push_back(RankOf(it.mHost, it.mDataCentre));
  }
  std::unordered_map<DataCentreId, std::uint64_t> bestOf;
  for (const Ranked& it : ranked) {
    auto& best = bestOf[it.mDataCentre];
    best = std::max(best, it.mScore);
  }
  for (Ranked& it : ranked) {
    it.mIsBest = it.mScore == bestOf[it.mDataCentre];
  }
  auto last = ranked.begin() + kWatchers;
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
