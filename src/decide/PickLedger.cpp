#include "src/decide/PickLedger.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

constexpr Duration kMaxPickAge = std::chrono::seconds(1);

} // namespace

double PickLedger::Load(const Candidate& aCandidate, Time aNow)
{
  const Time reportedAt = aNow - aCandidate.mLoad.mAge;
  Entry& entry = mEntries[aCandidate.mHost];
  const bool isNewer = reportedAt > entry.mReportedAt;
  if (isNewer || aNow - entry.mReportedAt > kMaxPickAge) {
    entry = { std::max(reportedAt, entry.mReportedAt), 0 };
  }
  const double slots = std::max<std::uint32_t>(1, aCandidate.mLoad.mSlots);
  return LoadPerSlot(aCandidate.mLoad) + entry.mPicks / slots;
}

void PickLedger::RecordPick(const Candidate& aCandidate)
{
  ++mEntries[aCandidate.mHost].mPicks;
}

} // namespace heatherplank
