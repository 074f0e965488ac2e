#include "src/decide/FairQueue.h"

#include <algorithm>
#include <bit>

namespace heatherplank {

namespace {

// Fibonacci hashing: the top bits of the product are well mixed.
constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15;
constexpr int kHashBits = 64;

} // namespace

FairQueue::FairQueue(std::uint64_t aSeed, bool aFair, std::size_t aCallerQueues)
  : mSeed(aSeed)
  , mFair(aFair)
  , mCallerQueues(aCallerQueues)
{
}

void FairQueue::Push(QueuedRequest& aQueued)
{
  CallerQueue& queue = mCallerQueues[QueueIndexOf(aQueued.mRequest.mCaller)];
  if (queue.mList.empty()) {
    mActive.push_back(queue);
  }
  queue.mList.push_back(aQueued);
  mDeadlines.insert(aQueued);
  ++mSize;
}

QueuedRequest* FairQueue::Pop()
{
  if (mActive.empty()) {
    return nullptr;
  }
  CallerQueue& queue = mActive.front();
  QueuedRequest& first = queue.mList.front();
  mActive.pop_front();
  mActive.push_back(queue);
  Remove(first);
  return &first;
}

void FairQueue::Remove(QueuedRequest& aQueued)
{
  CallerQueue& queue = mCallerQueues[QueueIndexOf(aQueued.mRequest.mCaller)];
  queue.mList.erase(queue.mList.iterator_to(aQueued));
  mDeadlines.erase(mDeadlines.iterator_to(aQueued));
  --mSize;
  if (queue.mList.empty()) {
    mActive.erase(mActive.iterator_to(queue));
  }
}

QueuedRequest* FairQueue::EarliestDeadline()
{
  return mDeadlines.empty() ? nullptr : &*mDeadlines.begin();
}

QueuedRequest* FairQueue::LastOfLongest()
{
  auto shorter = [](const CallerQueue& aLeft, const CallerQueue& aRight) {
    return aLeft.mList.size() < aRight.mList.size();
  };
  auto it = std::ranges::max_element(mActive, shorter);
  return it == mActive.end() ? nullptr : &it->mList.back();
}

std::vector<QueuedRequest*> FairQueue::InOrder()
{
  std::vector<QueuedRequest*> all;
  all.reserve(mSize);
  std::vector<std::pair<std::size_t, QueuedRequest*>> rounds;
  for (auto& queue : mActive) {
    std::size_t round = 0;
    for (auto& it : queue.mList) {
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
  return static_cast<std::uint32_t>(
    mCallerQueues[QueueIndexOf(aCaller)].mList.size());
}

std::uint32_t FairQueue::CountAhead(std::uint64_t aCaller) const
{
  const std::uint32_t depth = Depth(aCaller);
  return std::min(mSize, (depth + 1) * ActiveQueues());
}

std::size_t FairQueue::QueueIndexOf(std::uint64_t aCaller) const
{
  if (!mFair) {
    return 0;
  }
  int shift = kHashBits - std::countr_zero(mCallerQueues.size());
  return ((aCaller ^ mSeed) * kGoldenRatio) >> shift;
}

} // namespace heatherplank
