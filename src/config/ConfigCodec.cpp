#include "src/config/ConfigCodec.h"

#include <utility>

#include "src/wire/Alignment.h"
#include "src/wire/WireAddress.h"
#include "src/wire/config_generated.h"

namespace heatherplank {

namespace {

/** Maximum number of parts in a message; no configuration has as many. */
constexpr std::size_t kMaxEntries = 8192;
constexpr std::size_t kMaxAuthorBytes = 1024;

wire::WirePartHash ToWire(const PartHash& aHash)
{
  return { aHash.mHigh, aHash.mLow };
}

PartHash FromWire(const wire::WirePartHash* aHash)
{
  return aHash == nullptr ? PartHash{}
                          : PartHash{ aHash->high(), aHash->low() };
}

std::string StringOrEmpty(const flatbuffers::String* aText)
{
  return aText == nullptr ? "" : aText->str();
}

template<typename T>
std::size_t SizeOrZero(const T* aVector)
{
  return aVector == nullptr ? 0 : aVector->size();
}

Bytes FinishedBytes(flatbuffers::FlatBufferBuilder& aBuilder)
{
  ByteView view = Finished(aBuilder);
  return { view.begin(), view.end() };
}

EncodedConfigMessage Encode(const ConfigOffer& aOffer)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<wire::WirePartChange> list;
  list.reserve(aOffer.mChanges.size());
  for (const auto& it : aOffer.mChanges) {
    list.emplace_back(ToWire(it.mPart.mHash), it.mPart.mWriter, it.mIndex);
  }
  auto changes = builder.CreateVectorOfStructs(list);
  auto author = builder.CreateString(aOffer.mAuthor);
  auto root = ToWire(aOffer.mRoot);
  auto base = ToWire(aOffer.mBaseRoot);
  wire::ConfigOfferBuilder offer(builder);
  offer.add_version(aOffer.mVersion);
  offer.add_root(&root);
  offer.add_base_root(&base);
  offer.add_author(author);
  offer.add_time_ms(aOffer.mTimeMs);
  offer.add_nonce(aOffer.mNonce);
  offer.add_changes(changes);
  builder.Finish(offer.Finish());
  return { MessageKind::ConfigOffer, FinishedBytes(builder) };
}

EncodedConfigMessage Encode(const ConfigRequest& aRequest)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<wire::WirePartHash> list;
  list.reserve(aRequest.mParts.size());
  for (const auto& it : aRequest.mParts) {
    list.push_back(ToWire(it));
  }
  auto parts = builder.CreateVectorOfStructs(list);
  auto root = ToWire(aRequest.mRoot);
  wire::ConfigRequestBuilder request(builder);
  request.add_version(aRequest.mVersion);
  request.add_service_id(aRequest.mService.mValue);
  request.add_root(&root);
  request.add_wants_head(aRequest.mWantsHead);
  request.add_parts(parts);
  builder.Finish(request.Finish());
  return { MessageKind::ConfigRequest, FinishedBytes(builder) };
}

EncodedConfigMessage Encode(const ConfigObjects& aObjects)
{
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::ConfigPart>> list;
  list.reserve(aObjects.mParts.size());
  for (const auto& it : aObjects.mParts) {
    auto bytes = builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(it.data()), it.size());
    list.push_back(wire::CreateConfigPart(builder, bytes));
  }
  auto parts = builder.CreateVector(list);
  auto text = builder.CreateString(aObjects.mText);
  builder.Finish(
    wire::CreateConfigObjects(builder, aObjects.mVersion, text, parts));
  return { MessageKind::ConfigObjects, FinishedBytes(builder) };
}

Result<ConfigMessage> DecodeOffer(ByteView aPayload)
{
  auto read = ReadRoot<wire::ConfigOffer>(aPayload, "configuration offer");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const auto& from = **read;
  ConfigOffer out;
  out.mVersion = from.version();
  out.mRoot = FromWire(from.root());
  out.mBaseRoot = FromWire(from.base_root());
  out.mAuthor = StringOrEmpty(from.author());
  out.mTimeMs = from.time_ms();
  out.mNonce = from.nonce();
  if (SizeOrZero(from.changes()) > kMaxEntries || !IsAligned(from.changes()) ||
      out.mAuthor.size() > kMaxAuthorBytes) {
    return MalformedMessage("configuration offer");
  }
  for (std::size_t i = 0; i < SizeOrZero(from.changes()); ++i) {
    const auto* it = from.changes()->Get(static_cast<unsigned>(i));
    out.mChanges.push_back(
      { it->index(), { FromWire(&it->hash()), it->writer() } });
  }
  return ConfigMessage(std::move(out));
}

Result<ConfigMessage> DecodeRequest(ByteView aPayload)
{
  auto read = ReadRoot<wire::ConfigRequest>(aPayload, "configuration request");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const auto& from = **read;
  ConfigRequest out;
  out.mVersion = from.version();
  out.mService = { from.service_id() };
  out.mRoot = FromWire(from.root());
  out.mWantsHead = from.wants_head();
  if (SizeOrZero(from.parts()) > kMaxEntries || !IsAligned(from.parts())) {
    return MalformedMessage("configuration request");
  }
  for (std::size_t i = 0; i < SizeOrZero(from.parts()); ++i) {
    out.mParts.push_back(FromWire(from.parts()->Get(static_cast<unsigned>(i))));
  }
  return ConfigMessage(std::move(out));
}

Result<ConfigMessage> DecodeObjects(ByteView aPayload)
{
  auto read = ReadRoot<wire::ConfigObjects>(aPayload, "configuration objects");
  if (!read) {
    return tl::unexpected(read.error());
  }
  const auto& from = **read;
  ConfigObjects out;
  out.mVersion = from.version();
  out.mText = StringOrEmpty(from.text());
  if (SizeOrZero(from.parts()) > kMaxEntries) {
    return MalformedMessage("configuration objects");
  }
  for (std::size_t i = 0; i < SizeOrZero(from.parts()); ++i) {
    const auto* bytes = from.parts()->Get(static_cast<unsigned>(i))->bytes();
    out.mParts.emplace_back(bytes->begin(), bytes->end());
  }
  return ConfigMessage(std::move(out));
}

} // namespace

EncodedConfigMessage EncodeConfigMessage(const ConfigMessage& aMessage)
{
  return std::visit([](const auto& aIt) { return Encode(aIt); }, aMessage);
}

Result<ConfigMessage> DecodeConfigMessage(const Frame& aFrame)
{
  switch (aFrame.mKind) {
    case MessageKind::ConfigOffer:
      return DecodeOffer(aFrame.mPayload);
    case MessageKind::ConfigRequest:
      return DecodeRequest(aFrame.mPayload);
    case MessageKind::ConfigObjects:
      return DecodeObjects(aFrame.mPayload);
    default:
      return MalformedMessage("configuration message");
  }
}

} // namespace heatherplank
