#pragma once

#include <cstdint>
#include <string>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/record/RunOnceActions.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Query to another agent about a run-once key. HolderQuery sends it with the
 * grant's nonce and incarnation, PeerQuery with 0 for both. */
struct KeyQuestion
{
  /** Query number chosen by the sender; the reply returns it. */
  std::uint64_t mTicket = 0;
  ServiceId mService;
  std::string mKey;
  Nonce mNonce = 0;
  Incarnation mIncarnation = 0;
};

/** Reply to a KeyQuestion: the result of RunOnce::OnKeyQuery. */
struct KeyAnswer
{
  std::uint64_t mTicket = 0;
  ServiceId mService;
  std::string mKey;
  KeyReply mReply;
};

/** Encodes the payload of a datagram or frame; the caller adds the header. */
Bytes EncodePayload(const KeyQuestion& aMessage);
Bytes EncodePayload(const KeyAnswer& aMessage);

/** Malformed if it does not verify or the reply's knowledge is unknown. */
Result<KeyQuestion> DecodeKeyQuestion(ByteView aPayload);
Result<KeyAnswer> DecodeKeyAnswer(ByteView aPayload);

} // namespace heatherplank
