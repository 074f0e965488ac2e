#pragma once

#include "src/config/ConfigMessages.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** The kind and payload of the frame for a message. Thread safe. */
struct EncodedConfigMessage
{
  MessageKind mKind{};
  Bytes mPayload;
};
EncodedConfigMessage EncodeConfigMessage(const ConfigMessage& aMessage);

/** Decodes a frame of kind ConfigOffer, ConfigRequest or ConfigObjects.
 * Malformed if the payload does not verify, the frame is of another kind, or a
 * list or the author exceeds its limit. Thread safe.
 */
Result<ConfigMessage> DecodeConfigMessage(const Frame& aFrame);

} // namespace heatherplank
