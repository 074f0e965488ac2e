#include "src/steer/RankTable.h"

#include <algorithm>
#include <cmath>

#include "include/heatherplank/Types.h"
#include "src/steer/ServiceView.h"

namespace heatherplank {

namespace {

/** Numbers of buckets up to kSmallTableMaxMembers members, and above. Tens of
 * buckets per member balance the flows of arbiters within a few tens of percent
 * (owners are balanced by policy, not by the table).
 */
constexpr std::size_t kSmallTableBuckets = 16384;
constexpr std::size_t kLargeTableBuckets = 65536;
constexpr std::size_t kSmallTableMaxMembers = 1024;
/** Mean number of points per bucket that one pass draws. After the first pass,
 * one bucket in a thousand has fewer than kRankDepth members, so another pass
 * follows. */
constexpr double kPointsPerBucket = 20;
constexpr double kTwoTo64 = 18446744073709551616.0;

/** Maps a hash to an exponentially distributed number with mean 1. */
double Exponential(std::uint64_t aHash)
{
  return -std::log((static_cast<double>(aHash) + 0.5) / kTwoTo64);
}

/** Generates the points of one member's Poisson process in time order. */
struct PointSource
{
  std::uint64_t mHash = 0;
  double mRate = 0;
  double mTime = 0;
  std::uint64_t mIndex = 0;

  void Step()
  {
    mTime += Exponential(MixHash(mHash, 2 * mIndex)) / mRate;
    ++mIndex;
  }

  std::size_t BucketIn(std::size_t aBuckets) const
  {
    return MixHash(mHash, 2 * mIndex - 1) & (aBuckets - 1);
  }
};

/** The best members of one bucket and their times while a table is built. */
struct BucketBuilder
{
  std::array<double, kRankDepth> mTimes{};
  std::array<std::uint16_t, kRankDepth> mHosts{};
  std::size_t mSize = 0;

  bool Has(std::uint16_t aHost) const
  {
    return std::find(mHosts.begin(), mHosts.begin() + mSize, aHost) !=
           mHosts.begin() + mSize;
  }

  void Insert(std::uint16_t aHost, double aTime)
  {
    bool full = mSize == kRankDepth;
    if ((full && mTimes[mSize - 1] <= aTime) || Has(aHost)) {
      return;
    }
    std::size_t at = full ? mSize - 1 : mSize++;
    for (; at > 0 && mTimes[at - 1] > aTime; --at) {
      mTimes[at] = mTimes[at - 1];
      mHosts[at] = mHosts[at - 1];
    }
    mTimes[at] = aTime;
    mHosts[at] = aHost;
  }
};

} // namespace

RankTable::RankTable(std::span<const Member> aMembers, std::size_t aScanLimit)
{
  mHosts.reserve(aMembers.size());
  for (std::size_t i = 0; i < aMembers.size(); ++i) {
    const Member& it = aMembers[i];
    if (it.mState != HostState::Leaving) {
      mHosts.push_back({ it.mHost.mValue, static_cast<float>(it.mWeight),
                         static_cast<std::uint16_t>(i), CanAdopt(it) });
    }
  }
  auto differs = [this](const Host& aIt) {
    return aIt.mWeight != mHosts.front().mWeight;
  };
  mHasEqualWeights = std::none_of(mHosts.begin(), mHosts.end(), differs);
  if (mHosts.size() > aScanLimit) {
    FillBuckets();
  }
}

double RankTable::Draw(std::uint64_t aFlowHash, const Host& aHost) const
{
  std::uint64_t hash = MixHash(aFlowHash, aHost.mHash);
  // With equal weights, -log(u) / w orders members as -u does, which saves the
  // logarithm, most of the cost.
  return mHasEqualWeights ? -static_cast<double>(hash)
                          : Exponential(hash) / aHost.mWeight;
}

Ranks RankTable::Scan(std::uint64_t aFlowHash, std::size_t aCount,
                      bool aAdoptableOnly) const
{
  Ranks out;
  std::array<double, kRankDepth + 1> times{};
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    if (aAdoptableOnly && !mHosts[i].mAdoptable) {
      continue;
    }
    double time = Draw(aFlowHash, mHosts[i]);
    std::size_t at = out.size();
    while (at > 0 && times[at - 1] > time) {
      times[at] = times[at - 1];
      --at;
    }
    if (at >= aCount) {
      continue;
    }
    times[at] = time;
    if (out.size() == aCount) {
      out.pop_back();
    }
    out.insert(out.begin() + static_cast<std::ptrdiff_t>(at),
               static_cast<std::uint16_t>(i));
  }
  return ToMembers(out);
}

std::vector<std::uint16_t> RankTable::BestByScan(std::uint64_t aFlowHash,
                                                 std::size_t aCount) const
{
  std::vector<std::pair<double, std::uint16_t>> drawn;
  drawn.reserve(mHosts.size());
  for (const Host& it : mHosts) {
    drawn.emplace_back(Draw(aFlowHash, it), it.mMember);
  }
  std::size_t n = std::min(aCount, drawn.size());
  std::ranges::partial_sort(drawn,
                            drawn.begin() + static_cast<std::ptrdiff_t>(n));
  std::vector<std::uint16_t> out;
  out.reserve(n);
  for (std::size_t i = 0; i < n; ++i) {
    out.push_back(drawn[i].second);
  }
  return out;
}

std::uint16_t RankTable::First(std::uint64_t aFlowHash) const
{
  if (!mBuckets.empty() || !mHasEqualWeights) {
    Ranks best = BestAdoptable(aFlowHash, 1);
    return best.empty() ? kNoMember : best.front();
  }
  std::uint64_t highest = 0;
  std::uint16_t first = kNoMember;
  for (const Host& it : mHosts) {
    std::uint64_t hash = MixHash(aFlowHash, it.mHash);
    if (it.mAdoptable && (first == kNoMember || hash > highest)) {
      highest = hash;
      first = it.mMember;
    }
  }
  return first;
}

Ranks RankTable::ToMembers(Ranks aHosts) const
{
  for (std::uint16_t& it : aHosts) {
    it = mHosts[it].mMember;
  }
  return aHosts;
}

const RankTable::Bucket& RankTable::BucketOf(std::uint64_t aFlowHash) const
{
  return mBuckets[aFlowHash & (mBuckets.size() - 1)];
}

Ranks RankTable::Best(std::uint64_t aFlowHash) const
{
  if (mBuckets.empty()) {
    return Scan(aFlowHash, kRankDepth, false);
  }
  const Bucket& bucket = BucketOf(aFlowHash);
  return ToMembers({ bucket.begin(), bucket.end() });
}

Ranks RankTable::BestAdoptable(std::uint64_t aFlowHash,
                               std::size_t aCount) const
{
  if (mBuckets.empty()) {
    return Scan(aFlowHash, aCount, true);
  }
  Ranks out;
  for (std::uint16_t it : BucketOf(aFlowHash)) {
    if (mHosts[it].mAdoptable && out.size() < aCount) {
      out.push_back(it);
    }
  }
  // All members of the bucket drain at once: rare enough for a scan.
  return out.empty() ? Scan(aFlowHash, aCount, true) : ToMembers(out);
}

void RankTable::FillBuckets()
{
  std::size_t count = mHosts.size() > kSmallTableMaxMembers
                        ? kLargeTableBuckets
                        : kSmallTableBuckets;
  double total = 0;
  std::vector<PointSource> sources;
  for (const Host& it : mHosts) {
    total += it.mWeight;
    sources.push_back({ it.mHash, it.mWeight * static_cast<double>(count) });
    sources.back().Step();
  }
  std::vector<BucketBuilder> open(count);
  auto isFull = [](const BucketBuilder& aIt) {
    return aIt.mSize == kRankDepth;
  };
  double until = 0;
  do {
    until += kPointsPerBucket / total;
    for (std::size_t i = 0; i < sources.size(); ++i) {
      for (; sources[i].mTime < until; sources[i].Step()) {
        open[sources[i].BucketIn(count)].Insert(static_cast<std::uint16_t>(i),
                                                sources[i].mTime);
      }
    }
  } while (!std::all_of(open.begin(), open.end(), isFull));
  mBuckets.reserve(count);
  for (const BucketBuilder& it : open) {
    mBuckets.push_back(it.mHosts);
  }
}

std::size_t RankTable::MemoryUse() const
{
  return mHosts.capacity() * sizeof(Host) +
         mBuckets.capacity() * sizeof(Bucket);
}

} // namespace heatherplank
