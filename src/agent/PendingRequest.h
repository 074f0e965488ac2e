#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "include/heatherplank/Configuration.h"
#include "src/agent/BackendClient.h"
#include "src/caller/CallerRequest.h"
#include "src/decide/Request.h"
#include "src/wire/PacketCodec.h"

namespace heatherplank {

/** A request that the agent processes. The fields of the first group are set
 * before RequestPipeline::Start; those of the second belong to the pipeline.
 */
struct PendingRequest : boost::intrusive_ref_counter<PendingRequest>
{
  FlowKey mFlow;
  FlowEpoch mEpoch = 0;
  Address mReturnTo;
  Address mHintTo;
  /** Another host owns the flow and lent the request to this one, which runs
   * it; see FlowShard::LentRequest. */
  bool mLent = false;
  std::uint8_t mHops = 0;
  CallerRequest mRequest;
  /** The service's first rule that matches the request; default if none. */
  Rule mRule;
  std::uint16_t mClass = 0;
  Time mArrival;
  Time mDeadline;

  // Second group: owned by the pipeline.
  RequestId mId = 0;
  std::uint64_t mNonce = 0;
  BackendClient::Ticket mTicket = 0;
  Time mDispatchedAt;
  bool mSent = false;
  bool mCancelled = false;
};

using PendingRequestPtr = boost::intrusive_ptr<PendingRequest>;

} // namespace heatherplank
