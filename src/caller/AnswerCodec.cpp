#include "src/caller/AnswerCodec.h"

#include <vector>

#include "src/wire/WireAddress.h"

namespace heatherplank {

namespace {

std::string Text(const flatbuffers::String* aText)
{
  return aText == nullptr ? std::string() : aText->str();
}

} // namespace

Result<Answer> FromWire(const wire::KeptAnswer& aFrom)
{
  if (aFrom.outcome() > static_cast<std::uint8_t>(Outcome::Unknown)) {
    return MalformedMessage("outcome of a retained answer");
  }
  Answer answer;
  answer.mStatus = aFrom.status();
  answer.mOutcome = static_cast<Outcome>(aFrom.outcome());
  answer.mReason = Text(aFrom.reason());
  answer.mRetryAfter = std::chrono::nanoseconds(aFrom.retry_after_ns());
  answer.mContentType = Text(aFrom.content_type());
  answer.mBody = Text(aFrom.body());
  answer.mServedBy = Text(aFrom.served_by());
  answer.mService = Text(aFrom.service());
  return answer;
}

flatbuffers::Offset<wire::KeptAnswer> ToWire(
  flatbuffers::FlatBufferBuilder& aBuilder, const std::string& aRequestId,
  const Answer& aAnswer)
{
  auto retryAfter = std::chrono::nanoseconds(aAnswer.mRetryAfter).count();
  return wire::CreateKeptAnswer(aBuilder, aBuilder.CreateString(aRequestId),
                                static_cast<std::uint16_t>(aAnswer.mStatus),
                                static_cast<std::uint8_t>(aAnswer.mOutcome),
                                aBuilder.CreateString(aAnswer.mReason),
                                retryAfter,
                                aBuilder.CreateString(aAnswer.mContentType),
                                aBuilder.CreateString(aAnswer.mBody),
                                aBuilder.CreateString(aAnswer.mServedBy),
                                aBuilder.CreateString(aAnswer.mService));
}

std::string PackAnswer(const Answer& aAnswer)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::KeptAnswer>> one{ ToWire(builder, {},
                                                                 aAnswer) };
  builder.Finish(wire::CreateKeptAnswers(builder, builder.CreateVector(one)));
  ByteView bytes = Finished(builder);
  return { bytes.begin(), bytes.end() };
}

Result<Answer> UnpackAnswer(std::string_view aBytes)
{
  // Copied, since FlatBuffers needs alignment, which a string does not ensure.
  Bytes bytes(aBytes.begin(), aBytes.end());
  auto read = ReadRoot<wire::KeptAnswers>(bytes, "retained answer");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const auto* answers = (*read)->answers();
  if (answers == nullptr || answers->size() != 1) {
    return MalformedMessage("retained answer");
  }
  return FromWire(*answers->Get(0));
}

} // namespace heatherplank
