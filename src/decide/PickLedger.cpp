#include "src/decide/PickLedger.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

constexpr Duration kLongestCount = std::chrono::seconds(1);

} // namespace

double PickLedger::Load(const Candidate& aCandidate, Time aNow)
{
  const Time figuresAt = aNow - aCandidate.mLoad.mAge;
  Entry& entry = mEntries[aCandidate.mHost];
  const bool newer = figuresAt > entry.mFiguresAt;
  if (newer || aNow - entry.mFiguresAt > kLongestCount) {
    entry = { std::max(figuresAt, entry.mFiguresAt), 0 };
  }
  const double slots = std::max<std::uint32_t>(1, aCandidate.mLoad.mSlots);
  return LoadPerSlot(aCandidate.mLoad) + entry.mPicks / slots;
}

void PickLedger::Note(const Candidate& aCandidate)
{
  ++mEntries[aCandidate.mHost].mPicks;
}

} // namespace heatherplank
