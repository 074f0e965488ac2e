// Output of a table: views for routing, records and digests for peers.
#include <algorithm>
#include <bit>
#include <iterator>

#include "src/membership/MemberTable.h"

namespace heatherplank {

namespace {

/** Target number of members per digest range: small ranges limit the records
 * sent by a repair, large ones keep the digest short. 16 records are 1.4 KB,
 * one datagram. */
constexpr std::size_t kMembersPerRange = 16;
constexpr std::size_t kMaxRanges = 1024;
/** Record limit of a snapshot if the request sets none. */
constexpr std::size_t kDefaultMaxRecords = 512;

/** Tombstones are excluded from digests: each table expires them at a different
 * time, and repair would exchange them indefinitely. */
std::uint64_t HashIfInView(const MemberEntry& aEntry)
{
  return aEntry.IsGone() ? 0 : HashRecord(aEntry.mRecord);
}

std::size_t RangeOf(HostId aHost, std::size_t aRanges)
{
  int bits = std::countr_zero(aRanges);
  return bits == 0 ? 0 : aHost.mValue >> (64 - bits);
}

HostId FirstOf(std::size_t aRange, std::size_t aRanges)
{
  int bits = std::countr_zero(aRanges);
  return { bits == 0 ? 0 : std::uint64_t{ aRange } << (64 - bits) };
}

HostId LastOf(std::size_t aRange, std::size_t aRanges)
{
  bool last = aRange + 1 == aRanges;
  return { last ? UINT64_MAX : FirstOf(aRange + 1, aRanges).mValue - 1 };
}

std::vector<std::uint64_t> HashRanges(
  const std::map<HostId, MemberEntry>& aEntries, std::size_t aRanges)
{
  std::vector<std::uint64_t> hashes(aRanges, 0);
  for (const auto& [host, entry] : aEntries) {
    hashes[RangeOf(host, aRanges)] += HashIfInView(entry);
  }
  return hashes;
}

} // namespace

void MemberTable::MarkChanged(MemberEntry& aEntry)
{
  mUncommittedServices.push_back(aEntry.mRecord.mMember.mService);
  mChangedHosts.insert(aEntry.mRecord.mMember.mHost);
}

void MemberTable::MarkForPeers(MemberEntry& aEntry)
{
  if (!aEntry.mPeerChangeHook.is_linked()) {
    mPeerChanges.push_back(aEntry);
  }
}

void MemberTable::CommitChanges(std::uint64_t aPeerVersion)
{
  mVersion =
    std::max(mVersion + (mUncommittedServices.empty() ? 0 : 1), aPeerVersion);
  for (ServiceId it : mUncommittedServices) {
    ServiceState& state = mServices[it];
    state.mVersion = mVersion;
    state.mView.reset();
    state.mDigest.reset();
    if (!state.mChanged) {
      state.mChanged = true;
      mChangedServices.push_back(it);
    }
  }
  mUncommittedServices.clear();
}

std::vector<ServiceId> MemberTable::TakeChangedServices()
{
  std::vector<ServiceId> out;
  out.swap(mChangedServices);
  for (ServiceId it : out) {
    mServices[it].mChanged = false;
  }
  return out;
}

MemberViewPtr MemberTable::View(ServiceId aService) const
{
  static const MemberViewPtr kNone = std::make_shared<MemberView>();
  auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return kNone;
  }
  if (!it->second.mView) {
    it->second.mView = Build(it->second);
  }
  return it->second.mView;
}

MemberViewPtr MemberTable::Build(const ServiceState& aState) const
{
  auto view = std::make_shared<MemberView>();
  view->mVersion = aState.mVersion;
  for (const auto& [host, entry] : aState.mEntries) {
    // A process that still holds a flow of a leaving host must see that the
    // host left voluntarily and handed off its flows. A host that disappears
    // from the view is considered dead, and its flows are fenced.
    bool showsLeaving =
      mId == MemberTableId::Hosts && entry->mRecord.mVerdict != Verdict::Dead;
    if (entry->IsGone() && !showsLeaving) {
      continue;
    }
    Member member = entry->mRecord.mMember;
    std::uint32_t weight = std::uint32_t{ member.mWeight } *
                           entry->mSlowStartStep / mOptions.mSlowStartSteps;
    member.mWeight = static_cast<std::uint16_t>(std::max(1U, weight));
    view->mMembers.push_back(member);
    if (entry->mRecord.mVerdict == Verdict::Suspect) {
      view->mSuspects.push_back(host);
    }
  }
  return view;
}

MemberRecord MemberTable::Export(const MemberEntry& aEntry, Time aNow) const
{
  MemberRecord record = aEntry.mRecord;
  bool isServing = record.mMember.mState == HostState::Serving;
  record.mAge = isServing ? aNow - aEntry.mServingSince : Duration{};
  return record;
}

std::vector<MemberRecord> MemberTable::TakePeerChanges(std::size_t aLimit,
                                                       Time aNow)
{
  std::vector<MemberRecord> out;
  while (!mPeerChanges.empty() && out.size() < aLimit) {
    out.push_back(Export(mPeerChanges.front(), aNow));
    mPeerChanges.pop_front();
  }
  return out;
}

std::vector<MemberRecord> MemberTable::TakeViewChanges(Time aNow)
{
  std::vector<MemberRecord> out;
  for (HostId it : mChangedHosts) {
    const MemberEntry* entry = Find(it);
    if (entry != nullptr) {
      out.push_back(Export(*entry, aNow));
    }
  }
  mChangedHosts.clear();
  return out;
}

MemberDigest MemberTable::Digest() const
{
  std::size_t ranges = std::bit_ceil(1 + mEntries.size() / kMembersPerRange);
  MemberDigest digest;
  digest.mTable = mId;
  digest.mVersion = mVersion;
  digest.mHashes = HashRanges(mEntries, std::min(ranges, kMaxRanges));
  return digest;
}

std::vector<MemberSnapshotRequest> MemberTable::Differences(
  const MemberDigest& aPeer, std::size_t aLimit) const
{
  std::size_t ranges = aPeer.mHashes.size();
  std::vector<std::uint64_t> localHashes = HashRanges(mEntries, ranges);
  std::vector<MemberSnapshotRequest> out;
  for (std::size_t i = 0; i < ranges; ++i) {
    if (localHashes[i] == aPeer.mHashes[i]) {
      continue;
    }
    HostId first = FirstOf(i, ranges);
    bool isAdjacent =
      !out.empty() && out.back().mLast.mValue + 1 == first.mValue;
    if (isAdjacent) {
      out.back().mLast = LastOf(i, ranges);
    } else if (out.size() < aLimit) {
      out.push_back({ mId, {}, first, LastOf(i, ranges), 0 });
    } else {
      break;
    }
  }
  return out;
}

MemberSnapshot MemberTable::Snapshot(const MemberSnapshotRequest& aRequest,
                                     std::size_t aMaxRecords, Time aNow) const
{
  std::size_t limit =
    aRequest.mMaxRecords == 0 ? kDefaultMaxRecords : aRequest.mMaxRecords;
  limit = std::max<std::size_t>(1, std::min(limit, aMaxRecords));
  MemberSnapshot out{ mId, {}, mVersion, aRequest.mFirst, aRequest.mLast, {} };
  auto it = mEntries.lower_bound(aRequest.mFirst);
  for (; it != mEntries.end() && it->first <= aRequest.mLast; ++it) {
    if (out.mRecords.size() == limit) {
      out.mLast = { it->first.mValue - 1 };
      break;
    }
    out.mRecords.push_back(Export(it->second, aNow));
  }
  return out;
}

MemberDelta MemberTable::ServiceDelta(ServiceId aService, Time aNow) const
{
  MemberDelta out;
  out.mTable = mId;
  out.mVersion = mVersion;
  out.mIsComplete = true;
  auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return out;
  }
  for (const auto& [host, entry] : it->second.mEntries) {
    out.mRecords.push_back(Export(*entry, aNow));
  }
  return out;
}

std::optional<MemberRecord> MemberTable::Find(HostId aHost, Time aNow) const
{
  auto it = mEntries.find(aHost);
  if (it == mEntries.end()) {
    return std::nullopt;
  }
  return Export(it->second, aNow);
}

std::uint64_t MemberTable::ServiceDigest(ServiceId aService) const
{
  auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return 0;
  }
  const ServiceState& state = it->second;
  if (!state.mDigest) {
    state.mDigest = 0;
    for (const auto& [host, entry] : state.mEntries) {
      *state.mDigest += HashIfInView(*entry);
    }
  }
  return *state.mDigest;
}

std::vector<Member> MemberTable::Sample(std::size_t aCount,
                                        std::mt19937_64& aRandom) const
{
  std::vector<const MemberEntry*> inView;
  for (const auto& [host, entry] : mEntries) {
    if (!entry.IsGone()) {
      inView.push_back(&entry);
    }
  }
  std::vector<const MemberEntry*> chosen;
  std::sample(inView.begin(), inView.end(), std::back_inserter(chosen), aCount,
              aRandom);
  std::vector<Member> out;
  out.reserve(chosen.size());
  for (const MemberEntry* it : chosen) {
    out.push_back(it->mRecord.mMember);
  }
  return out;
}

} // namespace heatherplank
