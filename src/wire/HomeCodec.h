#pragma once

#include <vector>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/record/RunOnceActions.h"
#include "src/wire/Frame.h"

namespace heatherplank {

/** AskHome on its way: for RunOnce::OnWishes at the home. */
struct ShardWishes
{
  ServiceId mService;
  std::vector<ShardWish> mWishes;
};

/** TellAgent on its way: for RunOnce::OnOutcomes at the agent. */
struct ShardOutcomes
{
  ServiceId mService;
  std::vector<ShardOutcome> mOutcomes;
  Duration mRetryAfter{};
};

/** The payload of a frame; the caller adds the header. */
Bytes EncodePayload(const ShardWishes& aMessage);
Bytes EncodePayload(const ShardOutcomes& aMessage);

/** Reads a payload of its kind; Malformed if it does not verify, or names a
 * kind or result that can't be. */
Result<ShardWishes> DecodeShardWishes(ByteView aPayload);
Result<ShardOutcomes> DecodeShardOutcomes(ByteView aPayload);

} // namespace heatherplank
