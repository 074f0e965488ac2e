#pragma once

#include <cstdint>
#include <string>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/record/RunOnceActions.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** A question to an agent: AskHolder with the grant's nonce and incarnation,
 * AskPeers with 0 for both. */
struct KeyQuestion
{
  /** The asker's number of the question; the reply carries it back. */
  std::uint64_t mTicket = 0;
  ServiceId mService;
  std::string mKey;
  Nonce mNonce = 0;
  Incarnation mIncarnation = 0;
};

/** What RunOnce::OnQuestion gave for it. */
struct KeyAnswer
{
  std::uint64_t mTicket = 0;
  ServiceId mService;
  std::string mKey;
  KeyReply mReply;
};

/** The payload of a datagram or frame; the caller adds the header. */
Bytes EncodePayload(const KeyQuestion& aMessage);
Bytes EncodePayload(const KeyAnswer& aMessage);

/** Reads a payload of its kind; Malformed if it does not verify. */
Result<KeyQuestion> DecodeKeyQuestion(ByteView aPayload);
Result<KeyAnswer> DecodeKeyAnswer(ByteView aPayload);

} // namespace heatherplank
