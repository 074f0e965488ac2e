#pragma once

#include "include/heatherplank/Error.h"
#include "src/passthrough/InventoryMessages.h"
#include "src/passthrough/SteerMessages.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Most candidates that a steered packet may name. */
constexpr std::size_t kMostCandidates = 64;

/** The payload of a datagram or frame of the message's kind; the caller adds
 * the header. Thread safe. */
Bytes EncodePayload(const SteeredPacket& aMessage);
Bytes EncodePayload(const PlacementReport& aMessage);
Bytes EncodePayload(const InventoryNotice& aMessage);
Bytes EncodePayload(const InventoryDocument& aMessage);
Bytes EncodePayload(const DrainNotice& aMessage);

/** Reads a payload of its kind; Malformed if it does not verify or holds values
 * out of range. Thread safe. */
Result<SteeredPacket> DecodeSteeredPacket(ByteView aPayload);
Result<PlacementReport> DecodePlacementReport(ByteView aPayload);
Result<InventoryNotice> DecodeInventoryNotice(ByteView aPayload);
Result<InventoryDocument> DecodeInventoryDocument(ByteView aPayload);
Result<DrainNotice> DecodeDrainNotice(ByteView aPayload);

} // namespace heatherplank
