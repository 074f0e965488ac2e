#include "src/decide/FairQueue.h"

#include <algorithm>

namespace heatherplank {

namespace {

// Fibonacci hashing: the top bits of the product are well mixed.
constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15;
constexpr int kLaneShift = 56;

} // namespace

FairQueue::FairQueue(std::uint64_t aSeed, bool aFair)
  : mSeed(aSeed)
  , mFair(aFair)
{
}

void FairQueue::Push(Waiting& aWaiting)
{
  Lane& lane = mLanes[LaneOf(aWaiting.mRequest.mCaller)];
  if (lane.mList.empty()) {
    mActive.push_back(lane);
  }
  lane.mList.push_back(aWaiting);
  mDeadlines.insert(aWaiting);
  ++mSize;
}

Waiting* FairQueue::Pop()
{
  if (mActive.empty()) {
    return nullptr;
  }
  Lane& lane = mActive.front();
  Waiting& first = lane.mList.front();
  mActive.pop_front();
  mActive.push_back(lane);
  Remove(first);
  return &first;
}

void FairQueue::Remove(Waiting& aWaiting)
{
  Lane& lane = mLanes[LaneOf(aWaiting.mRequest.mCaller)];
  lane.mList.erase(lane.mList.iterator_to(aWaiting));
  mDeadlines.erase(mDeadlines.iterator_to(aWaiting));
  --mSize;
  if (lane.mList.empty()) {
    mActive.erase(mActive.iterator_to(lane));
  }
}

Waiting* FairQueue::Earliest()
{
  return mDeadlines.empty() ? nullptr : &*mDeadlines.begin();
}

Waiting* FairQueue::LastOfLongest()
{
  auto shorter = [](const Lane& aLeft, const Lane& aRight) {
    return aLeft.mList.size() < aRight.mList.size();
  };
  auto it = std::ranges::max_element(mActive, shorter);
  return it == mActive.end() ? nullptr : &it->mList.back();
}

std::vector<Waiting*> FairQueue::InOrder()
{
  std::vector<Waiting*> all;
  all.reserve(mSize);
  std::vector<std::pair<std::size_t, Waiting*>> rounds;
  for (auto& lane : mActive) {
    std::size_t round = 0;
    for (auto& it : lane.mList) {
      rounds.emplace_back(round++, &it);
    }
  }
  std::ranges::stable_sort(rounds, {}, &decltype(rounds)::value_type::first);
  for (auto& [round, it] : rounds) {
    all.push_back(it);
  }
  return all;
}

std::uint32_t FairQueue::Depth(std::uint64_t aCaller) const
{
  return static_cast<std::uint32_t>(mLanes[LaneOf(aCaller)].mList.size());
}

std::uint32_t FairQueue::Ahead(std::uint64_t aCaller) const
{
  const std::uint32_t depth = Depth(aCaller);
  return std::min(mSize, (depth + 1) * Lanes());
}

std::size_t FairQueue::LaneOf(std::uint64_t aCaller) const
{
  if (!mFair) {
    return 0;
  }
  return ((aCaller ^ mSeed) * kGoldenRatio) >> kLaneShift;
}

} // namespace heatherplank
