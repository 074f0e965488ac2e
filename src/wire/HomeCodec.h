#pragma once

#include <vector>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/record/RunOnceActions.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Wire form of the AskHome action, for RunOnce::OnWishes at the home. */
struct ShardWishes
{
  ServiceId mService;
  std::vector<ShardWish> mWishes;
};

/** Wire form of the TellAgent action, for the agent's RunOnce::OnOutcomes. */
struct ShardOutcomes
{
  ServiceId mService;
  std::vector<ShardOutcome> mOutcomes;
  Duration mRetryAfter{};
};

/** Encodes the payload of a frame; the caller adds the header. */
Bytes EncodePayload(const ShardWishes& aMessage);
Bytes EncodePayload(const ShardOutcomes& aMessage);

/** Decodes a payload; Malformed if it does not verify, or holds an unknown
 * change kind or result. */
Result<ShardWishes> DecodeShardWishes(ByteView aPayload);
Result<ShardOutcomes> DecodeShardOutcomes(ByteView aPayload);

} // namespace heatherplank
