#include "src/wire/PassthroughCodec.h"

#include <algorithm>
#include <limits>

#include "src/wire/Alignment.h"
#include "src/wire/WireAddress.h"
#include "src/wire/passthrough_generated.h"

namespace heatherplank {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

Bytes Finish(Builder& aBuilder)
{
  auto view = Finished(aBuilder);
  return { view.begin(), view.end() };
}

/** The largest value stands for none. */
constexpr auto kNoMs = std::numeric_limits<std::uint32_t>::max();

std::uint32_t ToWireMs(std::optional<Duration> aSpan)
{
  if (!aSpan) {
    return kNoMs;
  }
  auto ms = duration_cast<milliseconds>(*aSpan).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, kNoMs - 1));
}

std::optional<Duration> FromWireMs(std::uint32_t aMs)
{
  return aMs == kNoMs ? std::nullopt
                      : std::optional<Duration>(milliseconds(aMs));
}

bool IsAddressed(const SteeredPacket& aMessage)
{
  return !aMessage.mIngress.IsNone() &&
         aMessage.mCandidates.size() <= kMostCandidates;
}

} // namespace

Bytes EncodePayload(const SteeredPacket& aMessage)
{
  Builder builder(512);
  std::vector<wire::WireAddress> candidates;
  candidates.reserve(aMessage.mCandidates.size());
  for (const Address& it : aMessage.mCandidates) {
    candidates.push_back(ToWire(it));
  }
  flatbuffers::Offset<flatbuffers::Vector<const wire::WireAddress*>> list;
  if (!candidates.empty()) {
    list = builder.CreateVectorOfStructs(candidates);
  }
  auto packet = builder.CreateVector(aMessage.mPacket);
  auto ingress = ToWire(aMessage.mIngress);
  auto best = ToWire(aMessage.mBest);
  wire::SteeredPacketBuilder out(builder);
  out.add_service_id(aMessage.mService.mValue);
  out.add_purpose(static_cast<std::uint8_t>(aMessage.mPurpose));
  out.add_importance(static_cast<std::uint8_t>(aMessage.mImportance));
  out.add_must_take(aMessage.mMustTake);
  out.add_latency_target_ms(static_cast<std::uint32_t>(
    duration_cast<milliseconds>(aMessage.mLatencyTarget).count()));
  out.add_ingress(&ingress);
  out.add_candidates(list);
  if (!aMessage.mBest.IsNone()) {
    out.add_best(&best);
    out.add_best_wait_us(static_cast<std::uint32_t>(
      duration_cast<microseconds>(aMessage.mBestWait).count()));
  }
  out.add_packet(packet);
  builder.Finish(out.Finish());
  return Finish(builder);
}

Result<SteeredPacket> DecodeSteeredPacket(ByteView aPayload)
{
  static constexpr const char* kWhat = "steered packet";
  auto root = ReadRoot<wire::SteeredPacket>(aPayload, kWhat);
  if (!root) {
    return tl::unexpected(root.error());
  }
  const wire::SteeredPacket& in = **root;
  if (in.purpose() > static_cast<std::uint8_t>(SteerPurpose::Last) ||
      in.importance() > static_cast<std::uint8_t>(Importance::Critical) ||
      !IsAligned(in.candidates())) {
    return MalformedMessage(kWhat);
  }
  SteeredPacket out;
  out.mService = { in.service_id() };
  out.mPurpose = static_cast<SteerPurpose>(in.purpose());
  out.mImportance = static_cast<Importance>(in.importance());
  out.mMustTake = in.must_take();
  out.mLatencyTarget = milliseconds(in.latency_target_ms());
  out.mIngress = FromWire(*in.ingress());
  if (in.candidates() != nullptr) {
    for (const wire::WireAddress* it : *in.candidates()) {
      out.mCandidates.push_back(FromWire(*it));
    }
  }
  if (in.best() != nullptr) {
    out.mBest = FromWire(*in.best());
    out.mBestWait = microseconds(in.best_wait_us());
  }
  out.mPacket.assign(in.packet()->begin(), in.packet()->end());
  if (!IsAddressed(out)) {
    return MalformedMessage(kWhat);
  }
  return out;
}

Bytes EncodePayload(const PlacementReport& aMessage)
{
  Builder builder(128);
  auto flow = ToWire(aMessage.mFlow);
  builder.Finish(
    wire::CreatePlacementReport(builder, &flow, aMessage.mHost.mValue,
                                static_cast<std::uint8_t>(aMessage.mOutcome)));
  return Finish(builder);
}

Result<PlacementReport> DecodePlacementReport(ByteView aPayload)
{
  static constexpr const char* kWhat = "placement report";
  auto root = ReadRoot<wire::PlacementReport>(aPayload, kWhat);
  if (!root) {
    return tl::unexpected(root.error());
  }
  if ((*root)->outcome() >
      static_cast<std::uint8_t>(PlacementOutcome::Refused)) {
    return MalformedMessage(kWhat);
  }
  return PlacementReport{ FromWire(*(*root)->flow()),
                          { (*root)->host() },
                          static_cast<PlacementOutcome>((*root)->outcome()) };
}

Bytes EncodePayload(const InventoryNotice& aMessage)
{
  Builder builder(128);
  auto control = ToWire(aMessage.mControl);
  builder.Finish(wire::CreateInventoryNotice(
    builder, aMessage.mVersion, &control, aMessage.mWantsDocument,
    aMessage.mIsBusy, ToWireMs(aMessage.mConfirmedAgo)));
  return Finish(builder);
}

Result<InventoryNotice> DecodeInventoryNotice(ByteView aPayload)
{
  auto root = ReadRoot<wire::InventoryNotice>(aPayload, "inventory notice");
  if (!root) {
    return tl::unexpected(root.error());
  }
  const auto* notice = *root;
  return InventoryNotice{ notice->version(), FromWire(*notice->control()),
                          notice->wants_document(), notice->is_busy(),
                          FromWireMs(notice->confirmed_ms_ago()) };
}

Bytes EncodePayload(const InventoryDocument& aMessage)
{
  Builder builder(aMessage.mPacked.size() + 64);
  auto packed = builder.CreateVector(aMessage.mPacked);
  builder.Finish(
    wire::CreateInventoryDocument(builder, aMessage.mVersion, packed));
  return Finish(builder);
}

Result<InventoryDocument> DecodeInventoryDocument(ByteView aPayload)
{
  auto root = ReadRoot<wire::InventoryDocument>(aPayload, "inventory document");
  if (!root) {
    return tl::unexpected(root.error());
  }
  const auto* packed = (*root)->packed();
  return InventoryDocument{ (*root)->version(),
                            { packed->begin(), packed->end() } };
}

} // namespace heatherplank
