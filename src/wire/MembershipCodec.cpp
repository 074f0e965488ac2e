#include "src/wire/MembershipCodec.h"

#include <algorithm>
#include <bit>
#include <chrono>

#include "src/wire/WireAddress.h"
#include "src/wire/membership_generated.h"

namespace heatherplank {

namespace {

static_assert(sizeof(wire::MemberRecord) == kRecordWireSize);

/** Maximum number of ranges in a digest; no process sends more. */
constexpr std::size_t kMaxDigestRanges = 65536;

using RecordVector = flatbuffers::Vector<const wire::MemberRecord*>;

std::uint32_t ToMilliseconds(Duration aAge)
{
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

wire::MemberRecord ToWire(const MemberRecord& aRecord)
{
  const Member& member = aRecord.mMember;
  wire::WireAddress tunnel = heatherplank::ToWire(member.mTunnel);
  wire::WireAddress control = heatherplank::ToWire(member.mControl);
  return { member.mHost.mValue,
           member.mService.mValue,
           member.mDataCentre.mValue,
           member.mIncarnation,
           tunnel.ip_high(),
           tunnel.ip_low(),
           control.ip_high(),
           control.ip_low(),
           aRecord.mRevision,
           aRecord.mHeartbeatNumber,
           ToMilliseconds(aRecord.mAge),
           member.mSlots,
           member.mWeight,
           tunnel.port(),
           control.port(),
           static_cast<std::uint8_t>(member.mState),
           static_cast<std::uint8_t>(aRecord.mVerdict) };
}

bool IsValid(const wire::MemberRecord& aRecord)
{
  return aRecord.host() != 0 && aRecord.service_id() != 0 &&
         aRecord.state() <= static_cast<std::uint8_t>(HostState::Leaving) &&
         aRecord.verdict() <= static_cast<std::uint8_t>(Verdict::Dead);
}

bool IsKnownTable(std::uint8_t aTable)
{
  return aTable <= static_cast<std::uint8_t>(MemberTableId::Balancers);
}

MemberRecord FromWire(const wire::MemberRecord& aFrom)
{
  MemberRecord record;
  record.mMember = {
    { aFrom.host() },
    { aFrom.service_id() },
    { aFrom.data_centre() },
    aFrom.incarnation(),
    static_cast<HostState>(aFrom.state()),
    aFrom.slots(),
    aFrom.weight(),
    heatherplank::FromWire(wire::WireAddress(
      aFrom.tunnel_ip_high(), aFrom.tunnel_ip_low(), aFrom.tunnel_port())),
    heatherplank::FromWire(wire::WireAddress(
      aFrom.control_ip_high(), aFrom.control_ip_low(), aFrom.control_port()))
  };
  record.mRevision = aFrom.revision();
  record.mHeartbeatNumber = aFrom.beat();
  record.mVerdict = static_cast<Verdict>(aFrom.verdict());
  record.mAge = std::chrono::milliseconds(aFrom.age_ms());
  return record;
}

flatbuffers::Offset<RecordVector> RecordsToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const std::vector<MemberRecord>& aRecords)
{
  std::vector<wire::MemberRecord> out;
  out.reserve(aRecords.size());
  for (const MemberRecord& it : aRecords) {
    out.push_back(ToWire(it));
  }
  return aBuilder.CreateVectorOfStructs(out);
}

/** True if a vector of 8-byte values is aligned within the payload. Failure
 * met: a damaged offset placed the values at a misaligned address, which not
 * every machine can read (found by UBSan); the FlatBuffers verifier checks only
 * the alignment of the vector's length. */
bool IsAligned(ByteView aPayload, const std::uint8_t* aData)
{
  return (aData - aPayload.data()) % 8 == 0;
}

/** False if there are too many records, or one is misaligned or invalid. */
bool ReadRecords(ByteView aPayload, const RecordVector& aFrom,
                 std::vector<MemberRecord>& aOut)
{
  if (aFrom.size() > kMaxRecordsPerMessage ||
      !IsAligned(aPayload, aFrom.Data())) {
    return false;
  }
  aOut.reserve(aFrom.size());
  for (const wire::MemberRecord* it : aFrom) {
    if (!IsValid(*it)) {
      return false;
    }
    aOut.push_back(FromWire(*it));
  }
  return true;
}

template<typename Message>
Bytes FinishPayload(flatbuffers::FlatBufferBuilder& aBuilder,
                    flatbuffers::Offset<Message> aRoot)
{
  aBuilder.Finish(aRoot);
  ByteView view = Finished(aBuilder);
  return { view.begin(), view.end() };
}

} // namespace

Bytes EncodePayload(const Heartbeat& aMessage)
{
  flatbuffers::FlatBufferBuilder builder(256);
  wire::MemberRecord record = ToWire(aMessage.mRecord);
  return FinishPayload(
    builder,
    wire::CreateHeartbeat(builder, static_cast<std::uint8_t>(aMessage.mTable),
                          &record, aMessage.mVersion, aMessage.mServiceDigest,
                          aMessage.mBalancerDigest,
                          static_cast<std::uint8_t>(aMessage.mMonitorSource)));
}

Bytes EncodePayload(const MemberDelta& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  auto records = RecordsToWire(builder, aMessage.mRecords);
  return FinishPayload(
    builder, wire::CreateMemberDelta(
               builder, static_cast<std::uint8_t>(aMessage.mTable),
               aMessage.mVersion, aMessage.mTree, aMessage.mIsComplete,
               aMessage.mAnswersHeartbeat, records, aMessage.mRequestsHeartbeat,
               aMessage.mAssignedMonitors, aMessage.mIsProvisional));
}

Bytes EncodePayload(const MemberDigest& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  auto hashes = builder.CreateVector(aMessage.mHashes);
  return FinishPayload(builder,
                       wire::CreateMemberDigest(
                         builder, static_cast<std::uint8_t>(aMessage.mTable),
                         aMessage.mFrom.mValue, aMessage.mIsReply,
                         aMessage.mVersion, hashes));
}

Bytes EncodePayload(const MemberSnapshotRequest& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  return FinishPayload(builder,
                       wire::CreateMemberSnapshotRequest(
                         builder, static_cast<std::uint8_t>(aMessage.mTable),
                         aMessage.mFrom.mValue, aMessage.mFirst.mValue,
                         aMessage.mLast.mValue, aMessage.mMaxRecords));
}

Bytes EncodePayload(const MemberSnapshot& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  auto records = RecordsToWire(builder, aMessage.mRecords);
  return FinishPayload(
    builder, wire::CreateMemberSnapshot(
               builder, static_cast<std::uint8_t>(aMessage.mTable),
               aMessage.mFrom.mValue, aMessage.mVersion, aMessage.mFirst.mValue,
               aMessage.mLast.mValue, records, aMessage.mIsPartial));
}

Result<Heartbeat> DecodeHeartbeat(ByteView aPayload)
{
  auto read = ReadRoot<wire::Heartbeat>(aPayload, "heartbeat");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const wire::Heartbeat& from = **read;
  if (!IsValid(*from.record()) || !IsKnownTable(from.table_id()) ||
      from.monitor_source() > static_cast<std::uint8_t>(MonitorSource::Last)) {
    return MalformedMessage("heartbeat");
  }
  return Heartbeat{ static_cast<MemberTableId>(from.table_id()),
                    FromWire(*from.record()),
                    from.version(),
                    from.service_digest(),
                    from.balancer_digest(),
                    static_cast<MonitorSource>(from.monitor_source()) };
}

Result<MemberDelta> DecodeMemberDelta(ByteView aPayload)
{
  auto read = ReadRoot<wire::MemberDelta>(aPayload, "member delta");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const wire::MemberDelta& from = **read;
  MemberDelta out;
  out.mTable = static_cast<MemberTableId>(from.table_id());
  out.mVersion = from.version();
  out.mTree = from.tree();
  out.mIsComplete = from.is_complete();
  out.mAnswersHeartbeat = from.answers_beat();
  out.mRequestsHeartbeat = from.asks();
  out.mAssignedMonitors = from.assigned_monitors();
  out.mIsProvisional = from.is_provisional();
  if (!IsKnownTable(from.table_id()) ||
      !ReadRecords(aPayload, *from.records(), out.mRecords)) {
    return MalformedMessage("member delta");
  }
  return out;
}

Result<MemberDigest> DecodeMemberDigest(ByteView aPayload)
{
  auto read = ReadRoot<wire::MemberDigest>(aPayload, "member digest");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const wire::MemberDigest& from = **read;
  std::size_t n = from.hashes()->size();
  if (!IsKnownTable(from.table_id()) || !std::has_single_bit(n) ||
      !IsAligned(aPayload, from.hashes()->Data()) || n > kMaxDigestRanges) {
    return MalformedMessage("member digest");
  }
  return MemberDigest{ static_cast<MemberTableId>(from.table_id()),
                       { from.from() },
                       from.is_reply(),
                       from.version(),
                       { from.hashes()->begin(), from.hashes()->end() } };
}

Result<MemberSnapshotRequest> DecodeMemberSnapshotRequest(ByteView aPayload)
{
  auto read =
    ReadRoot<wire::MemberSnapshotRequest>(aPayload, "member snapshot request");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const wire::MemberSnapshotRequest& from = **read;
  if (!IsKnownTable(from.table_id()) || from.first() > from.last()) {
    return MalformedMessage("member snapshot request");
  }
  return MemberSnapshotRequest{ static_cast<MemberTableId>(from.table_id()),
                                { from.from() },
                                { from.first() },
                                { from.last() },
                                from.max_records() };
}

Result<MemberSnapshot> DecodeMemberSnapshot(ByteView aPayload)
{
  auto read = ReadRoot<wire::MemberSnapshot>(aPayload, "member snapshot");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const wire::MemberSnapshot& from = **read;
  MemberSnapshot out;
  out.mTable = static_cast<MemberTableId>(from.table_id());
  out.mVersion = from.version();
  out.mFrom = { from.from() };
  out.mFirst = { from.first() };
  out.mLast = { from.last() };
  out.mIsPartial = from.is_partial();
  if (!IsKnownTable(from.table_id()) || from.first() > from.last() ||
      !ReadRecords(aPayload, *from.records(), out.mRecords)) {
    return MalformedMessage("member snapshot");
  }
  return out;
}

namespace {

MessageKind KindOf(const Heartbeat&)
{
  return MessageKind::Heartbeat;
}

MessageKind KindOf(const MemberDelta&)
{
  return MessageKind::MemberDelta;
}

MessageKind KindOf(const MemberDigest&)
{
  return MessageKind::MemberDigest;
}

MessageKind KindOf(const MemberSnapshotRequest&)
{
  return MessageKind::MemberSnapshotRequest;
}

MessageKind KindOf(const MemberSnapshot&)
{
  return MessageKind::MemberSnapshot;
}

template<typename T>
Result<MembershipMessage> ToMembershipMessage(Result<T> aMessage)
{
  if (!aMessage) {
    return tl::unexpected(aMessage.error());
  }
  return MembershipMessage(std::move(*aMessage));
}

} // namespace

EncodedMembership EncodeMembership(const MembershipMessage& aMessage)
{
  return std::visit(
    [](const auto& aIt) {
      return EncodedMembership{ KindOf(aIt), EncodePayload(aIt) };
    },
    aMessage);
}

bool IsMembership(MessageKind aKind)
{
  return aKind >= MessageKind::Heartbeat &&
         aKind <= MessageKind::MemberSnapshot;
}

Result<MembershipMessage> DecodeMembership(const Frame& aFrame)
{
  switch (aFrame.mKind) {
    case MessageKind::Heartbeat:
      return ToMembershipMessage(DecodeHeartbeat(aFrame.mPayload));
    case MessageKind::MemberDelta:
      return ToMembershipMessage(DecodeMemberDelta(aFrame.mPayload));
    case MessageKind::MemberDigest:
      return ToMembershipMessage(DecodeMemberDigest(aFrame.mPayload));
    case MessageKind::MemberSnapshotRequest:
      return ToMembershipMessage(DecodeMemberSnapshotRequest(aFrame.mPayload));
    case MessageKind::MemberSnapshot:
      return ToMembershipMessage(DecodeMemberSnapshot(aFrame.mPayload));
    default:
      return MalformedMessage("membership message");
  }
}

} // namespace heatherplank
