#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/flows/FlowFarm.h"

namespace heatherplank::lab {

/** Requests on open flows: how many hosts and callers, and how much load. */
struct OpenFlowLoad
{
  std::size_t mHosts = 7;
  std::uint32_t mSlots = 2;
  /** Places in a host's own queue. The host answers 503 beyond them. */
  std::size_t mQueue = 8;
  /** Offered work, in parts of what the slots can do. */
  double mFactor = 1;
  double mWorkMs = 15;
  double mTargetMs = 100;
  double mImportantShare = 0.25;
  std::uint32_t mCallers = 1000;
  /** Callers that make half of the load. */
  std::uint32_t mBusyCallers = 10;
  double mSeconds = 20;
  unsigned mSeed = 1;
};

/** A request on an open flow. */
struct OpenFlowRequest
{
  std::size_t mFlow = 0;
  std::uint32_t mCaller = 0;
  bool mIsImportant = false;
  double mTargetMs = 0;
  double mSentAt = 0;
};

/** Decides when the agent of one host delivers requests on open flows to it.
 * Times in ms of the simulated clock.
 */
class RequestDelivery
{
public:
  virtual ~RequestDelivery() = default;

  /** A request arrives while aInProgress others are at the host. Returns the
   * requests to deliver now, in order. */
  virtual std::vector<OpenFlowRequest> OnRequest(const OpenFlowRequest& aIt,
                                                 std::size_t aInProgress,
                                                 double aNow) = 0;
  /** The host answered a request; aInProgress are left. Returns as OnRequest.
   */
  virtual std::vector<OpenFlowRequest> OnAnswer(std::size_t aInProgress,
                                                double aNow) = 0;
};

/** Delivers each request at once, so that the host's queue serves them first
 * come first served. */
class ImmediateDelivery final : public RequestDelivery
{
public:
  std::vector<OpenFlowRequest> OnRequest(const OpenFlowRequest& aIt,
                                         std::size_t /*aInProgress*/,
                                         double /*aNow*/) override
  {
    return { aIt };
  }
  std::vector<OpenFlowRequest> OnAnswer(std::size_t /*aInProgress*/,
                                        double /*aNow*/) override
  {
    return {};
  }
};

/** What callers get. A request refused with 503 is not retried. */
struct OpenFlowResult
{
  FlowTally mImportant;
  FlowTally mOther;
  /** Share in time of the callers that are not busy: mean, and of the
   * worst-served tenth of them. */
  double mCallersMean = 0;
  double mCallersWorstTenth = 0;
};

/** Simulates one load. aDeliveries: one for each host. */
OpenFlowResult PlayOpenFlows(const OpenFlowLoad& aLoad,
                             std::vector<RequestDelivery*> aDeliveries);

/** Returns a Markdown table of 0.8, 1.2 and 2.0 times what the slots can do,
 * with immediate delivery. aLoad: everything but the factor. */
std::string OpenFlowTable(OpenFlowLoad aLoad);

} // namespace heatherplank::lab
