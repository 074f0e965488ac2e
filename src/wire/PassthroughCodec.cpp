#include "src/wire/PassthroughCodec.h"

#include <algorithm>
#include <limits>

#include "src/base/Compression.h"
#include "src/wire/Alignment.h"
#include "src/wire/WireAddress.h"
#include "src/wire/passthrough_generated.h"

namespace heatherplank {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

Bytes FinishedBytes(Builder& aBuilder)
{
  auto view = Finished(aBuilder);
  return { view.begin(), view.end() };
}

/** Encodes an absent duration. */
constexpr auto kAbsentMs = std::numeric_limits<std::uint32_t>::max();

std::uint32_t ToWireMs(std::optional<Duration> aDuration)
{
  if (!aDuration) {
    return kAbsentMs;
  }
  auto ms = duration_cast<milliseconds>(*aDuration).count();
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(ms, 0, kAbsentMs - 1));
}

using WireVersions =
  flatbuffers::Offset<flatbuffers::Vector<const wire::WireRecentVersion*>>;

WireVersions CreateVersions(Builder& aBuilder,
                            const std::vector<RecentVersion>& aVersions)
{
  if (aVersions.empty()) {
    return 0;
  }
  std::vector<wire::WireRecentVersion> out;
  out.reserve(aVersions.size());
  for (const RecentVersion& it : aVersions) {
    out.emplace_back(it.mVersion, ToWireMs(it.mLastInForceAgo));
  }
  return aBuilder.CreateVectorOfStructs(out);
}

using WirePastServices =
  flatbuffers::Offset<flatbuffers::Vector<const wire::WirePastService*>>;

WirePastServices CreatePastServices(Builder& aBuilder,
                                    const std::vector<PastService>& aServices)
{
  if (aServices.empty()) {
    return 0;
  }
  std::vector<wire::WirePastService> out;
  out.reserve(aServices.size());
  for (const PastService& it : aServices) {
    out.emplace_back(ToWire(it.mRoute), it.mService.mValue,
                     ToWireMs(it.mLeftAgo));
  }
  return aBuilder.CreateVectorOfStructs(out);
}

std::vector<PastService> ReadPastServices(
  const flatbuffers::Vector<const wire::WirePastService*>* aList)
{
  std::vector<PastService> out;
  if (aList != nullptr) {
    for (const wire::WirePastService* it : *aList) {
      out.push_back({ FromWire(it->route()),
                      { it->service() },
                      milliseconds(it->left_ms_ago()) });
    }
  }
  return out;
}

/** Upper limit on the decompressed list of PastServices. */
constexpr std::size_t kMaxPastServiceBytes = std::size_t{ 1024 } * 1024;

/** Compressed: in a struct of the wire an address of IPv4 is mostly zeros. */
Bytes PackPastServices(const std::vector<PastService>& aServices)
{
  Builder builder(64 + aServices.size() * sizeof(wire::WirePastService));
  builder.Finish(wire::CreatePastServiceEntries(
    builder, CreatePastServices(builder, aServices)));
  auto view = Finished(builder);
  return Compress({ reinterpret_cast<const char*>(view.data()), view.size() });
}

std::optional<Duration> FromWireMs(std::uint32_t aMs)
{
  return aMs == kAbsentMs ? std::nullopt
                          : std::optional<Duration>(milliseconds(aMs));
}

bool HasValidAddresses(const SteeredPacket& aMessage)
{
  return !aMessage.mIngress.IsNone() &&
         aMessage.mCandidates.size() <= kMaxCandidates;
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
  out.add_must_take(aMessage.mIsLastOffer);
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
  out.add_drains_version(aMessage.mDrainsVersion.mRevision);
  out.add_drains_era(aMessage.mDrainsVersion.mEra);
  out.add_cold_rate(static_cast<float>(aMessage.mColdRate));
  builder.Finish(out.Finish());
  return FinishedBytes(builder);
}

Result<SteeredPacket> DecodeSteeredPacket(ByteView aPayload)
{
  static constexpr const char* kMessageName = "steered packet";
  auto root = ReadRoot<wire::SteeredPacket>(aPayload, kMessageName);
  if (!root) {
    return tl::unexpected(root.error());
  }
  const wire::SteeredPacket& in = **root;
  if (in.purpose() > static_cast<std::uint8_t>(SteerPurpose::Last) ||
      !(in.cold_rate() >= 0) ||
      in.importance() > static_cast<std::uint8_t>(Importance::Critical) ||
      !IsAligned(in.candidates())) {
    return MalformedMessage(kMessageName);
  }
  SteeredPacket out;
  out.mService = { in.service_id() };
  out.mPurpose = static_cast<SteerPurpose>(in.purpose());
  out.mImportance = static_cast<Importance>(in.importance());
  out.mIsLastOffer = in.must_take();
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
  out.mDrainsVersion = { in.drains_version(), in.drains_era() };
  out.mColdRate = in.cold_rate();
  out.mPacket.assign(in.packet()->begin(), in.packet()->end());
  if (!HasValidAddresses(out)) {
    return MalformedMessage(kMessageName);
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
  return FinishedBytes(builder);
}

Result<PlacementReport> DecodePlacementReport(ByteView aPayload)
{
  static constexpr const char* kMessageName = "placement report";
  auto root = ReadRoot<wire::PlacementReport>(aPayload, kMessageName);
  if (!root) {
    return tl::unexpected(root.error());
  }
  if ((*root)->outcome() >
      static_cast<std::uint8_t>(PlacementOutcome::Refused)) {
    return MalformedMessage(kMessageName);
  }
  return PlacementReport{ FromWire(*(*root)->flow()),
                          { (*root)->host() },
                          static_cast<PlacementOutcome>((*root)->outcome()) };
}

Bytes EncodePayload(const InventoryNotice& aMessage)
{
  Builder builder(128);
  auto control = ToWire(aMessage.mControl);
  std::vector<std::uint64_t> ids;
  for (DataCentreId it : aMessage.mDrains.mDataCentres) {
    ids.push_back(it.mValue);
  }
  flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>> drained;
  if (!ids.empty()) {
    drained = builder.CreateVector(ids);
  }
  auto versions = CreateVersions(builder, aMessage.mVersions);
  auto pastServices = CreatePastServices(builder, aMessage.mPastServices);
  builder.Finish(wire::CreateInventoryNotice(
    builder, aMessage.mVersion, &control, aMessage.mWantsDocument,
    aMessage.mIsBusy, ToWireMs(aMessage.mConfirmedAgo),
    aMessage.mDrains.mVersion.mRevision, drained,
    aMessage.mDrains.mVersion.mEra, aMessage.mStoreEra, versions,
    pastServices));
  return FinishedBytes(builder);
}

Result<InventoryNotice> DecodeInventoryNotice(ByteView aPayload)
{
  static constexpr const char* kMessageName = "inventory notice";
  auto root = ReadRoot<wire::InventoryNotice>(aPayload, kMessageName);
  if (!root) {
    return tl::unexpected(root.error());
  }
  const auto* notice = *root;
  InventoryNotice out;
  out.mVersion = notice->version();
  out.mControl = FromWire(*notice->control());
  out.mWantsDocument = notice->wants_document();
  out.mIsBusy = notice->is_busy();
  out.mConfirmedAgo = FromWireMs(notice->confirmed_ms_ago());
  out.mDrains.mVersion = { notice->drains_version(), notice->drains_era() };
  out.mStoreEra = notice->store_era();
  if (!IsAligned(notice->drained()) || !IsAligned(notice->versions()) ||
      !IsAligned(notice->past_services())) {
    return MalformedMessage(kMessageName);
  }
  if (notice->drained() != nullptr) {
    for (std::uint64_t it : *notice->drained()) {
      out.mDrains.mDataCentres.push_back({ it });
    }
  }
  if (notice->versions() != nullptr) {
    for (const wire::WireRecentVersion* it : *notice->versions()) {
      out.mVersions.push_back({ it->version(), std::chrono::milliseconds(
                                                 it->last_in_force_ms_ago()) });
    }
  }
  out.mPastServices = ReadPastServices(notice->past_services());
  if (!std::ranges::is_sorted(out.mDrains.mDataCentres)) {
    return MalformedMessage(kMessageName);
  }
  return out;
}

Bytes EncodePayload(const DrainNotice& aMessage)
{
  Builder builder(64);
  builder.Finish(wire::CreateDrainNotice(builder, aMessage.mVersion.mRevision,
                                         aMessage.mVersion.mEra));
  return FinishedBytes(builder);
}

Result<DrainNotice> DecodeDrainNotice(ByteView aPayload)
{
  auto root = ReadRoot<wire::DrainNotice>(aPayload, "drain notice");
  if (!root) {
    return tl::unexpected(root.error());
  }
  return DrainNotice{ { (*root)->version(), (*root)->era() } };
}

Bytes EncodePayload(const PastServicesRequest& aMessage)
{
  Builder builder(64);
  auto sender = ToWire(aMessage.mSender);
  builder.Finish(wire::CreatePastServicesRequest(builder, &sender));
  return FinishedBytes(builder);
}

Result<PastServicesRequest> DecodePastServicesRequest(ByteView aPayload)
{
  static constexpr const char* kMessageName = "request for past services";
  auto root = ReadRoot<wire::PastServicesRequest>(aPayload, kMessageName);
  if (!root) {
    return tl::unexpected(root.error());
  }
  PastServicesRequest out{ FromWire(*(*root)->sender()) };
  if (out.mSender.IsNone()) {
    return MalformedMessage(kMessageName);
  }
  return out;
}

Bytes EncodePayload(const PastServices& aMessage)
{
  Builder builder(256);
  flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> packed;
  if (!aMessage.mServices.empty()) {
    packed = builder.CreateVector(PackPastServices(aMessage.mServices));
  }
  builder.Finish(wire::CreatePastServices(
    builder, aMessage.mService.mValue, aMessage.mVersion,
    ToWireMs(aMessage.mKnownFor), packed));
  return FinishedBytes(builder);
}

Result<PastServices> DecodePastServices(ByteView aPayload)
{
  static constexpr const char* kMessageName = "past services";
  auto root = ReadRoot<wire::PastServices>(aPayload, kMessageName);
  if (!root) {
    return tl::unexpected(root.error());
  }
  PastServices out{ { (*root)->service() },
                    (*root)->version(),
                    milliseconds((*root)->known_ms()),
                    {} };
  const auto* packed = (*root)->packed();
  if (packed == nullptr) {
    return out;
  }
  auto bytes =
    Decompress({ packed->data(), packed->size() }, kMaxPastServiceBytes);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  auto entries = ReadRoot<wire::PastServiceEntries>(
    { reinterpret_cast<const std::uint8_t*>(bytes->data()), bytes->size() },
    kMessageName);
  if (!entries || !IsAligned((*entries)->services())) {
    return MalformedMessage(kMessageName);
  }
  out.mServices = ReadPastServices((*entries)->services());
  return out;
}

Bytes EncodePayload(const InventoryDocument& aMessage)
{
  Builder builder(aMessage.mPacked.size() + 64);
  auto packed = builder.CreateVector(aMessage.mPacked);
  builder.Finish(
    wire::CreateInventoryDocument(builder, aMessage.mVersion, packed));
  return FinishedBytes(builder);
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
