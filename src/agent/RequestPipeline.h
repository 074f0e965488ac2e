#pragma once

#include <array>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/agent/PendingRequest.h"
#include "src/decide/AdmissionPolicy.h"
#include "src/decide/Retry.h"

namespace heatherplank {

class Counter;
class GrantRecorder;
struct GrantDecision;
class Histogram;
class MetricsRegistry;

/** What the pipeline gives back to the agent. Called with no lock held. */
class RequestOutput
{
public:
  virtual ~RequestOutput() = default;

  /** The final answer of a request; called once for each, unless it was handed
   * on. */
  virtual void OnAnswer(const PendingRequestPtr& aRequest, Answer aAnswer) = 0;

  /** Another host shall run the request and answer it. False if it can't be
   * reached; the pipeline then refuses the request. */
  virtual bool OnHandOn(const PendingRequestPtr& aRequest, HostId aTarget) = 0;
};

/** The agent's filters from "this host owns the flow" to the answer: admit,
 * record, dispatch, answer. It carries the decisions out; what is decided
 * stands in src/decide and in the grant recorder. Thread safe, by one lock for
 * the host, since its slots are one resource.
 */
class RequestPipeline
{
public:
  struct Parts
  {
    const Clock& mClock;
    MetricsRegistry& mMetrics;
    BackendClient& mBackend;
    GrantRecorder& mGrants;
    RequestOutput& mOutput;
  };

  /** The parts must outlive the pipeline. */
  RequestPipeline(const Parts& aParts, std::string aHost, std::uint32_t aSlots);
  ~RequestPipeline();

  /** Puts a service's rules in force. */
  void SetService(const Service& aService);

  /** The class of a request by the service's rules: rule and class index of
   * aRequest are set. False if no service is in force yet. */
  bool Classify(PendingRequest& aRequest) const;

  /** Takes a request that this host owns. */
  void Start(const PendingRequestPtr& aRequest);

  /** The caller withdrew a request; its answer comes as for any other. */
  void Cancel(const FlowKey& aFlow, const std::string& aRequestId);

  /** Fresh figures of the other candidates. */
  void SetPeers(std::span<const Candidate> aPeers);

  /** What waits goes elsewhere or is refused from now on; what runs goes on.
   */
  void Drain();

  /** Call every few milliseconds. */
  void Tick();

  HostLoad Load() const;

  /** Requests that wait or run. */
  std::size_t Active() const;

private:
  struct Decisions;

  /** Both under the lock. */
  Decisions Collect(const Actions& aActions) const;
  HostId LightestPeer() const;

  PendingRequestPtr Take(RequestId aId);
  PendingRequestPtr Find(RequestId aId) const;
  void CarryOut(const Decisions& aDecisions);
  void Dispatch(const PendingRequestPtr& aRequest);
  void OnGrant(const PendingRequestPtr& aRequest, GrantDecision aDecision);
  void SendToBackend(const PendingRequestPtr& aRequest);
  void OnBackend(const PendingRequestPtr& aRequest, BackendAnswer aAnswer);
  /** It was not run here: another host may, or its caller is told. */
  void RetryOrRefuse(const PendingRequestPtr& aRequest, AttemptEnd aEnd,
                     RunResult aResult, Answer aAnswer);
  void SettleNotRun(const PendingRequestPtr& aRequest, RunResult aResult,
                    Answer aAnswer);
  void Finish(const PendingRequestPtr& aRequest, RunResult aResult,
              Answer aAnswer);
  void End(const PendingRequestPtr& aRequest, RunResult aResult);
  void Refuse(const PendingRequestPtr& aRequest, RefusalReason aReason,
              Duration aRetryAfter);
  void Send(const PendingRequestPtr& aRequest, Answer aAnswer);

  Parts mParts;
  std::string mHost;
  std::uint32_t mSlots;
  std::uint64_t mSeed;
  std::array<Counter*, kRefusalReasons> mRefusals{};
  Counter& mAnswered;
  Counter& mUnknown;
  Counter& mDispatched;
  std::array<Counter*, kRetryReasons> mRetried{};
  Histogram& mLatency;

  mutable std::mutex mLock;
  Service mService;
  std::unique_ptr<AdmissionPolicy> mAdmission;
  std::vector<Candidate> mPeers;
  bool mDraining = false;
  RetryBudget mRetries;
  RequestId mNextId = 1;
  std::unordered_map<RequestId, PendingRequestPtr> mRequests;
};

} // namespace heatherplank
