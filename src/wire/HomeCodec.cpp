#include "src/wire/HomeCodec.h"

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
  flatbuffers::FlatBufferBuilder& aBuilder, const ShardWish& aWish)
{
  auto key = aBuilder.CreateString(aWish.mKey);
  auto answer = AnswerToWire(aBuilder, aWish.mGrant.mAnswer);
  return wire::CreateShardWish(
    aBuilder, key, static_cast<std::uint8_t>(aWish.mKind),
    aWish.mGrant.mHost.mValue, aWish.mGrant.mIncarnation, aWish.mGrant.mNonce,
    aWish.mGrant.mAnswered, answer, aWish.mReplaces,
    ToMilliseconds(aWish.mWithin));
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

ShardWish FromWire(const wire::ShardWish& aFrom)
{
  ShardWish wish;
  wish.mKey = aFrom.key()->str();
  wish.mKind = static_cast<ChangeKind>(aFrom.kind());
  wish.mGrant = { { aFrom.host() },
                  aFrom.incarnation(),
                  aFrom.nonce(),
                  aFrom.answered(),
                  AnswerFromWire(aFrom.answer()) };
  wish.mReplaces = aFrom.replaces();
  wish.mWithin = std::chrono::milliseconds(aFrom.within_ms());
  return wish;
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

Bytes EncodePayload(const ShardWishes& aMessage)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::ShardWish>> wishes;
  wishes.reserve(aMessage.mWishes.size());
  for (const ShardWish& it : aMessage.mWishes) {
    wishes.push_back(ToWire(builder, it));
  }
  auto all = builder.CreateVector(wishes);
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

Result<ShardWishes> DecodeShardWishes(ByteView aPayload)
{
  auto read = ReadRoot<wire::ShardWishes>(aPayload, "shard wishes");
  if (!read) {
    return tl::unexpected(read.error());
  }
  ShardWishes out;
  out.mService = { (*read)->service_id() };
  for (const wire::ShardWish* it : *(*read)->wishes()) {
    if (!IsKnownKind(it->kind())) {
      return MalformedMessage("shard wish");
    }
    out.mWishes.push_back(FromWire(*it));
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
