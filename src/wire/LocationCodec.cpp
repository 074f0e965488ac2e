#include "src/wire/LocationCodec.h"

#include <algorithm>

#include "src/wire/Alignment.h"
#include "src/wire/WireAddress.h"
#include "src/wire/location_generated.h"

namespace heatherplank {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using WireAddresses = flatbuffers::Vector<const wire::WireAddress*>;
using WireUnobservedHosts =
  flatbuffers::Offset<flatbuffers::Vector<const wire::WireUnobservedHost*>>;

Bytes FinishedBytes(Builder& aBuilder)
{
  auto view = Finished(aBuilder);
  return { view.begin(), view.end() };
}

flatbuffers::Offset<WireAddresses> CreateAddresses(
  Builder& aBuilder, const std::vector<Address>& aAddresses)
{
  if (aAddresses.empty()) {
    return 0;
  }
  std::vector<wire::WireAddress> out;
  out.reserve(aAddresses.size());
  for (const Address& it : aAddresses) {
    out.push_back(ToWire(it));
  }
  return aBuilder.CreateVectorOfStructs(out);
}

constexpr std::uint32_t kUnknownAge = UINT32_MAX;

/** Ages above the range of the wire count as its maximum. */
std::uint32_t ToWireMs(Duration aAge)
{
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(ms, 0, kUnknownAge - 1));
}

WireUnobservedHosts CreateUnobserved(Builder& aBuilder,
                                     const std::vector<UnobservedHost>& aHosts)
{
  if (aHosts.empty()) {
    return 0;
  }
  std::vector<wire::WireUnobservedHost> out;
  out.reserve(aHosts.size());
  for (const UnobservedHost& it : aHosts) {
    out.emplace_back(ToWire(it.mTunnel), ToWireMs(it.mAges.mHost),
                     ToWireMs(it.mAges.mAgent));
  }
  return aBuilder.CreateVectorOfStructs(out);
}

/** Whether a list may be read: aligned, and no longer than aLimit. */
template<typename T>
bool IsReadable(const flatbuffers::Vector<const T*>* aList, std::size_t aLimit)
{
  return aList == nullptr || (IsAligned(aList) && aList->size() <= aLimit);
}

std::vector<Address> ReadAddresses(const WireAddresses* aList)
{
  std::vector<Address> out;
  if (aList != nullptr) {
    for (const wire::WireAddress* it : *aList) {
      out.push_back(FromWire(*it));
    }
  }
  return out;
}

std::vector<UnobservedHost> ReadUnobserved(
  const flatbuffers::Vector<const wire::WireUnobservedHost*>* aList)
{
  std::vector<UnobservedHost> out;
  if (aList != nullptr) {
    for (const wire::WireUnobservedHost* it : *aList) {
      out.push_back({ FromWire(it->tunnel()),
                      { std::chrono::milliseconds(it->host_age_ms()),
                        std::chrono::milliseconds(it->agent_age_ms()) } });
    }
  }
  return out;
}

} // namespace

Bytes EncodePayload(const FlowRecords& aMessage)
{
  Builder builder(64 + aMessage.mRecords.size() * sizeof(wire::WireFlowRecord));
  std::vector<wire::WireFlowRecord> records;
  records.reserve(aMessage.mRecords.size());
  for (const FlowRecord& it : aMessage.mRecords) {
    records.emplace_back(it.mFlowHash, it.mHost.mValue);
  }
  builder.Finish(
    wire::CreateFlowRecords(builder, builder.CreateVectorOfStructs(records)));
  return FinishedBytes(builder);
}

Result<FlowRecords> DecodeFlowRecords(ByteView aPayload)
{
  static constexpr const char* kMessageName = "flow records";
  auto root = ReadRoot<wire::FlowRecords>(aPayload, kMessageName);
  if (!root) {
    return tl::unexpected(root.error());
  }
  const auto* records = (*root)->records();
  if (!IsReadable(records, FlowRecords::kMaxRecords)) {
    return MalformedMessage(kMessageName);
  }
  FlowRecords out;
  for (const wire::WireFlowRecord* it : *records) {
    out.mRecords.push_back({ it->flow_hash(), { it->host() } });
  }
  return out;
}

Bytes EncodePayload(const FlowQuery& aMessage)
{
  Builder builder(1024);
  std::vector<wire::WireQueriedFlow> flows;
  flows.reserve(aMessage.mFlows.size());
  for (const QueriedFlow& it : aMessage.mFlows) {
    flows.emplace_back(ToWire(it.mFlow), it.mAcknowledged.value_or(0),
                       it.mAcknowledged.has_value());
  }
  auto flowList = builder.CreateVectorOfStructs(flows);
  auto hosts = CreateAddresses(builder, aMessage.mHosts);
  auto asker = ToWire(aMessage.mAsker);
  builder.Finish(
    wire::CreateFlowQuery(builder, aMessage.mRound, &asker, hosts, flowList));
  return FinishedBytes(builder);
}

Result<FlowQuery> DecodeFlowQuery(ByteView aPayload)
{
  static constexpr const char* kMessageName = "flow query";
  auto root = ReadRoot<wire::FlowQuery>(aPayload, kMessageName);
  if (!root) {
    return tl::unexpected(root.error());
  }
  const wire::FlowQuery& in = **root;
  if (!IsReadable(in.hosts(), FlowQuery::kMaxHosts) ||
      !IsReadable(in.flows(), FlowQuery::kMaxFlows)) {
    return MalformedMessage(kMessageName);
  }
  FlowQuery out;
  out.mRound = in.round();
  out.mAsker = FromWire(*in.asker());
  out.mHosts = ReadAddresses(in.hosts());
  for (const wire::WireQueriedFlow* it : *in.flows()) {
    std::optional<std::uint32_t> acknowledged;
    if (it->has_acknowledged()) {
      acknowledged = it->acknowledged();
    }
    out.mFlows.push_back({ FromWire(it->flow()), acknowledged });
  }
  if (out.mAsker.IsNone() || out.mFlows.empty()) {
    return MalformedMessage(kMessageName);
  }
  return out;
}

Bytes EncodePayload(const FlowQueryReply& aMessage)
{
  Builder builder(512);
  std::vector<wire::WireFlowAnswer> answers;
  answers.reserve(aMessage.mAnswers.size());
  for (const FlowAnswer& it : aMessage.mAnswers) {
    answers.emplace_back(it.mHost.mValue, it.mFlowIndex,
                         static_cast<std::uint8_t>(it.mOutcome));
  }
  auto answerList = builder.CreateVectorOfStructs(answers);
  auto undecided = CreateAddresses(builder, aMessage.mUndecided);
  auto unobserved = CreateUnobserved(builder, aMessage.mUnobserved);
  builder.Finish(wire::CreateFlowQueryReply(
    builder, aMessage.mRound, aMessage.mFrom.mValue, aMessage.mIsFinal,
    answerList, undecided, unobserved,
    aMessage.mOldestHost ? ToWireMs(*aMessage.mOldestHost) : kUnknownAge));
  return FinishedBytes(builder);
}

Result<FlowQueryReply> DecodeFlowQueryReply(ByteView aPayload)
{
  static constexpr const char* kMessageName = "reply to a flow query";
  auto root = ReadRoot<wire::FlowQueryReply>(aPayload, kMessageName);
  if (!root) {
    return tl::unexpected(root.error());
  }
  const wire::FlowQueryReply& in = **root;
  if (!IsReadable(in.answers(), FlowQuery::kMaxFlows) ||
      !IsReadable(in.undecided(), FlowQuery::kMaxHosts + 1) ||
      !IsReadable(in.unobserved(), FlowQuery::kMaxHosts + 1)) {
    return MalformedMessage(kMessageName);
  }
  FlowQueryReply out;
  out.mRound = in.round();
  out.mFrom = { in.from() };
  out.mIsFinal = in.is_final();
  out.mUndecided = ReadAddresses(in.undecided());
  out.mUnobserved = ReadUnobserved(in.unobserved());
  if (in.oldest_host_ms() != kUnknownAge) {
    out.mOldestHost = std::chrono::milliseconds(in.oldest_host_ms());
  }
  for (const wire::WireFlowAnswer* it : *in.answers()) {
    bool isHeld = it->outcome() == static_cast<std::uint8_t>(FlowOutcome::Held);
    if (it->flow_index() >= FlowQuery::kMaxFlows ||
        it->outcome() > static_cast<std::uint8_t>(FlowOutcome::Last) ||
        isHeld == (it->host() == 0)) {
      return MalformedMessage(kMessageName);
    }
    out.mAnswers.push_back({ it->flow_index(),
                             static_cast<FlowOutcome>(it->outcome()),
                             { it->host() } });
  }
  return out;
}

} // namespace heatherplank
