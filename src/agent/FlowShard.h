#pragma once

#include <mutex>
#include <unordered_map>

#include "src/agent/AnswerStore.h"
#include "src/agent/OwnerPicker.h"
#include "src/steer/Ownership.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

/** A packet that is held until Ownership decides on it. */
struct HeldPacket
{
  FlowKey mFlow;
  Address mReturnTo;
  Address mHintTo;
  std::uint8_t mHops = 0;
  Bytes mPayload;
};

/** One shard of this host's flows, split by hash, with their state. mLock
 * guards all other members.
 */
struct FlowShard
{
  FlowShard(const Peer& aSelf, ServiceId aService,
            OwnerPicker::CandidateFactory aMakeCandidate, std::uint64_t aSeed,
            const OwnershipOptions& aOptions, std::size_t aMaxAnswerBytes,
            Time aStart)
    : mPicker(std::move(aMakeCandidate), aSeed)
    , mOwnership(aSelf, aService, mPicker, aOptions, aStart)
    , mAnswers(aMaxAnswerBytes)
  {
  }

  std::mutex mLock;
  OwnerPicker mPicker;
  Ownership mOwnership;
  AnswerStore mAnswers;
  std::unordered_map<PacketToken, HeldPacket> mHeld;
  /** A request that this host lent: before it ran here, it was forwarded to
   * another host, the borrower, which runs and answers it, while the flow keeps
   * its owner. A packet forwarded to the owner of its flow is not lent. Copies
   * of the request are forwarded to the borrower until mExpiresAt. */
  struct LentRequest
  {
    HostId mBorrower;
    Time mExpiresAt;
  };
  /** By flow and request id. */
  std::unordered_map<FlowKey, std::unordered_map<std::string, LentRequest>>
    mLentRequests;
  std::uint64_t mViewVersion = 0;
};

} // namespace heatherplank
