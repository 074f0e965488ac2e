#pragma once

#include "include/heatherplank/Error.h"
#include "src/wire/Frame.h"
#include "src/wire/InventoryMessages.h"
#include "src/wire/SteerMessages.h"

namespace heatherplank {

/** Maximum number of candidates in a steered packet. */
constexpr std::size_t kMaxCandidates = 64;

/** Encode the payload of a datagram or frame; the caller adds the header.
 * Thread safe. */
Bytes EncodePayload(const SteeredPacket& aMessage);
Bytes EncodePayload(const PlacementReport& aMessage);
Bytes EncodePayload(const InventoryNotice& aMessage);
Bytes EncodePayload(const InventoryDocument& aMessage);
Bytes EncodePayload(const DrainNotice& aMessage);
Bytes EncodePayload(const PastServicesRequest& aMessage);
Bytes EncodePayload(const PastServices& aMessage);

/** Decode a payload; Malformed if it does not verify, or holds values out of
 * range or unsorted drains. Thread safe. */
Result<SteeredPacket> DecodeSteeredPacket(ByteView aPayload);
Result<PlacementReport> DecodePlacementReport(ByteView aPayload);
Result<InventoryNotice> DecodeInventoryNotice(ByteView aPayload);
Result<InventoryDocument> DecodeInventoryDocument(ByteView aPayload);
Result<DrainNotice> DecodeDrainNotice(ByteView aPayload);
Result<PastServicesRequest> DecodePastServicesRequest(ByteView aPayload);
Result<PastServices> DecodePastServices(ByteView aPayload);

} // namespace heatherplank
