#include "src/record/KeyCodec.h"

#include "src/wire/WireAddress.h"
#include "src/wire/keys_generated.h"

namespace heatherplank {

namespace {

Bytes FinishedBytes(const flatbuffers::FlatBufferBuilder& aBuilder)
{
  ByteView view = Finished(aBuilder);
  return { view.begin(), view.end() };
}

} // namespace

Bytes EncodePayload(const KeyQuestion& aMessage)
{
  flatbuffers::FlatBufferBuilder builder(256);
  auto key = builder.CreateString(aMessage.mKey);
  builder.Finish(
    wire::CreateKeyQuestion(builder, aMessage.mTicket, aMessage.mService.mValue,
                            key, aMessage.mNonce, aMessage.mIncarnation));
  return FinishedBytes(builder);
}

Bytes EncodePayload(const KeyAnswer& aMessage)
{
  const std::string& answer = aMessage.mReply.mAnswer;
  flatbuffers::FlatBufferBuilder builder(256 + answer.size());
  auto key = builder.CreateString(aMessage.mKey);
  auto bytes = builder.CreateVector(
    reinterpret_cast<const std::uint8_t*>(answer.data()), answer.size());
  auto knowledge = static_cast<std::uint8_t>(aMessage.mReply.mKnowledge);
  builder.Finish(wire::CreateKeyAnswer(builder, aMessage.mTicket,
                                       aMessage.mService.mValue, key, knowledge,
                                       bytes));
  return FinishedBytes(builder);
}

Result<KeyQuestion> DecodeKeyQuestion(ByteView aPayload)
{
  auto read = ReadRoot<wire::KeyQuestion>(aPayload, "key question");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const wire::KeyQuestion& from = **read;
  return KeyQuestion{ from.ticket(),
                      { from.service_id() },
                      from.key()->str(),
                      from.nonce(),
                      from.incarnation() };
}

Result<KeyAnswer> DecodeKeyAnswer(ByteView aPayload)
{
  auto read = ReadRoot<wire::KeyAnswer>(aPayload, "run-once key reply");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const wire::KeyAnswer& from = **read;
  if (from.knowledge() > static_cast<std::uint8_t>(KeyKnowledge::GivenUp)) {
    return MalformedMessage("run-once key reply");
  }
  KeyAnswer out{ from.ticket(),
                 { from.service_id() },
                 from.key()->str(),
                 { static_cast<KeyKnowledge>(from.knowledge()), {} } };
  if (from.answer() != nullptr) {
    out.mReply.mAnswer.assign(from.answer()->begin(), from.answer()->end());
  }
  return out;
}

} // namespace heatherplank
