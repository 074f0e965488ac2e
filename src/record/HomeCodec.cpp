#include "src/record/HomeCodec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "src/wire/WireAddress.h"
#include "src/wire/keys_generated.h"

namespace heatherplank {

namespace {

using WireBytes = flatbuffers::Vector<std::uint8_t>;

std::uint32_t ToMilliseconds(Duration aDuration)
{
  auto ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, 3600000));
}

flatbuffers::Offset<WireBytes> AnswerToWire(
  flatbuffers::FlatBufferBuilder& aBuilder,
  const std::optional<std::string>& aAnswer)
{
  if (!aAnswer) {
    return {};
  }
  return aBuilder.CreateVector(
    reinterpret_cast<const std::uint8_t*>(aAnswer->data()), aAnswer->size());
}

std::optional<std::string> AnswerFromWire(const WireBytes* aFrom)
{
  if (aFrom == nullptr) {
    return std::nullopt;
  }
  return std::string(aFrom->begin(), aFrom->end());
}

bool IsKnownKind(std::uint8_t aKind)
{
  return aKind <= static_cast<std::uint8_t>(ChangeKind::Withdraw);
}

bool IsKnownResult(std::uint8_t aResult)
{
  return aResult <= static_cast<std::uint8_t>(ChangeResult::Queued);
}

flatbuffers::Offset<wire::ShardWish> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder, const PendingShardWrite& aWrite)
{
  auto key = aBuilder.CreateString(aWrite.mKey);
  auto answer = AnswerToWire(aBuilder, aWrite.mGrant.mAnswer);
  return wire::CreateShardWish(
    aBuilder, key, static_cast<std::uint8_t>(aWrite.mKind),
    aWrite.mGrant.mHost.mValue, aWrite.mGrant.mIncarnation,
    aWrite.mGrant.mNonce, aWrite.mGrant.mAnswered, answer, aWrite.mReplaces,
    ToMilliseconds(aWrite.mTimeout));
}

flatbuffers::Offset<wire::ShardOutcome> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder, const ShardOutcome& aOutcome)
{
  const Grant& present = aOutcome.mPresent;
  auto key = aBuilder.CreateString(aOutcome.mKey);
  auto answer = AnswerToWire(aBuilder, present.mAnswer);
  return wire::CreateShardOutcome(
    aBuilder, key, static_cast<std::uint8_t>(aOutcome.mKind),
    aOutcome.mHolder.mValue, aOutcome.mIncarnation, aOutcome.mNonce,
    static_cast<std::uint8_t>(aOutcome.mResult), present.mHost.mValue,
    present.mIncarnation, present.mNonce, present.mAnswered, answer);
}

PendingShardWrite FromWire(const wire::ShardWish& aFrom)
{
  PendingShardWrite write;
  write.mKey = aFrom.key()->str();
  write.mKind = static_cast<ChangeKind>(aFrom.kind());
  write.mGrant = { { aFrom.host() },
                   aFrom.incarnation(),
                   aFrom.nonce(),
                   aFrom.answered(),
                   AnswerFromWire(aFrom.answer()) };
  write.mReplaces = aFrom.replaces();
  write.mTimeout = std::chrono::milliseconds(aFrom.within_ms());
  return write;
}

ShardOutcome FromWire(const wire::ShardOutcome& aFrom)
{
  ShardOutcome outcome;
  outcome.mKey = aFrom.key()->str();
  outcome.mKind = static_cast<ChangeKind>(aFrom.kind());
  outcome.mHolder = { aFrom.host() };
  outcome.mIncarnation = aFrom.incarnation();
  outcome.mNonce = aFrom.nonce();
  outcome.mResult = static_cast<ChangeResult>(aFrom.result());
  outcome.mPresent = { { aFrom.present_host() },
                       aFrom.present_incarnation(),
                       aFrom.present_nonce(),
                       aFrom.present_answered(),
                       AnswerFromWire(aFrom.present_answer()) };
  return outcome;
}

Bytes FinishedBytes(const flatbuffers::FlatBufferBuilder& aBuilder)
{
  ByteView view = Finished(aBuilder);
  return { view.begin(), view.end() };
}

} // namespace

Bytes EncodePayload(const PendingShardWrites& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::ShardWish>> writes;
  writes.reserve(aMessage.mPendingWrites.size());
  for (const PendingShardWrite& it : aMessage.mPendingWrites) {
    writes.push_back(ToWire(builder, it));
  }
  auto all = builder.CreateVector(writes);
  builder.Finish(
    wire::CreateShardWishes(builder, aMessage.mService.mValue, all));
  return FinishedBytes(builder);
}

Bytes EncodePayload(const ShardOutcomes& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::ShardOutcome>> outcomes;
  outcomes.reserve(aMessage.mOutcomes.size());
  for (const ShardOutcome& it : aMessage.mOutcomes) {
    outcomes.push_back(ToWire(builder, it));
  }
  auto all = builder.CreateVector(outcomes);
  builder.Finish(
    wire::CreateShardOutcomes(builder, aMessage.mService.mValue, all,
                              ToMilliseconds(aMessage.mRetryAfter)));
  return FinishedBytes(builder);
}

Result<PendingShardWrites> DecodePendingShardWrites(ByteView aPayload)
{
  auto read = ReadRoot<wire::ShardWishes>(aPayload, "shard wishes");
  if (!read) {
    return tl::unexpected(read.error());
  }
  PendingShardWrites out;
  out.mService = { (*read)->service_id() };
  for (const wire::ShardWish* it : *(*read)->wishes()) {
    if (!IsKnownKind(it->kind())) {
      return MalformedMessage("shard wish");
    }
    out.mPendingWrites.push_back(FromWire(*it));
  }
  return out;
}

Result<ShardOutcomes> DecodeShardOutcomes(ByteView aPayload)
{
  auto read = ReadRoot<wire::ShardOutcomes>(aPayload, "shard outcomes");
  if (!read) {
    return tl::unexpected(read.error());
  }
  ShardOutcomes out;
  out.mService = { (*read)->service_id() };
  out.mRetryAfter = std::chrono::milliseconds((*read)->retry_after_ms());
  for (const wire::ShardOutcome* it : *(*read)->outcomes()) {
    if (!IsKnownKind(it->kind()) || !IsKnownResult(it->result())) {
      return MalformedMessage("shard outcome");
    }
    out.mOutcomes.push_back(FromWire(*it));
  }
  return out;
}

} // namespace heatherplank
