#pragma once

#include <vector>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/record/RunOnceActions.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** Changes of run-once keys that an agent sends (SendToHome) to the agent at
 * the shard's home, which writes them to the platform (OnPendingWrites). */
struct PendingShardWrites
{
  ServiceId mService;
  std::vector<PendingShardWrite> mPendingWrites;
};

/** Wire form of the ReplyToAgent action, for the agent's RunOnce::OnOutcomes.
 */
struct ShardOutcomes
{
  ServiceId mService;
  std::vector<ShardOutcome> mOutcomes;
  Duration mRetryAfter{};
};

/** Encodes the payload of a frame; the caller adds the header. */
Bytes EncodePayload(const PendingShardWrites& aMessage);
Bytes EncodePayload(const ShardOutcomes& aMessage);

/** Decodes a payload; Malformed if it does not verify, or holds an unknown
 * ChangeKind (pending writes) or result (outcomes). */
Result<PendingShardWrites> DecodePendingShardWrites(ByteView aPayload);
Result<ShardOutcomes> DecodeShardOutcomes(ByteView aPayload);

} // namespace heatherplank
