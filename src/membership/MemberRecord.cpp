#include "src/membership/MemberRecord.h"

#include <array>
#include <string_view>
#include <tuple>

namespace heatherplank {

namespace {

std::uint64_t HashAddressOf(const Address& aAddress)
{
  std::string_view ip(reinterpret_cast<const char*>(aAddress.mIp.data()),
                      aAddress.mIp.size());
  return HashBytes(ip, aAddress.mPort);
}

auto ContentRank(const MemberRecord& aRecord)
{
  // The member itself breaks ties. Otherwise two agents that wrongly share an
  // incarnation would keep tables different permanently.
  return std::tie(aRecord.mMember.mState, aRecord.mRevision, aRecord.mMember);
}

auto VerdictRank(const MemberRecord& aRecord)
{
  return std::tie(aRecord.mHeartbeatNumber, aRecord.mVerdict);
}

} // namespace

ServiceId BalancerService()
{
  return MakeServiceId("heatherplank/balancers");
}

bool MergeRecord(MemberRecord& aInto, const MemberRecord& aFrom)
{
  Incarnation current = aInto.mMember.mIncarnation;
  if (aFrom.mMember.mIncarnation != current) {
    bool newer = aFrom.mMember.mIncarnation > current;
    if (newer) {
      aInto = aFrom;
    }
    return newer;
  }
  bool changed = false;
  if (ContentRank(aFrom) > ContentRank(aInto)) {
    aInto.mMember = aFrom.mMember;
    aInto.mRevision = aFrom.mRevision;
    changed = true;
  }
  if (VerdictRank(aFrom) > VerdictRank(aInto)) {
    changed = changed || aFrom.mVerdict != aInto.mVerdict;
    aInto.mHeartbeatNumber = aFrom.mHeartbeatNumber;
    aInto.mVerdict = aFrom.mVerdict;
  }
  return changed;
}

std::uint64_t HashRecord(const MemberRecord& aRecord)
{
  const Member& member = aRecord.mMember;
  std::array<std::uint64_t, 9> words{
    member.mHost.mValue,
    member.mService.mValue,
    member.mDataCentre.mValue,
    member.mIncarnation,
    static_cast<std::uint64_t>(member.mState),
    std::uint64_t{ member.mSlots } << 16 | member.mWeight,
    aRecord.mRevision,
    HashAddressOf(member.mTunnel),
    HashAddressOf(member.mControl),
  };
  return HashBytes(
    { reinterpret_cast<const char*>(words.data()), sizeof(words) });
}

} // namespace heatherplank
