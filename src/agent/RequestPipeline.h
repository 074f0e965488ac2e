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

/** Receives answers and forwarded requests from the pipeline. Called with no
 * lock held. */
class RequestOutput
{
public:
  virtual ~RequestOutput() = default;

  /** Delivers the final answer of a request. Called exactly once for each
   * request that was not forwarded. */
  virtual void OnAnswer(const PendingRequestPtr& aRequest, Answer aAnswer) = 0;

  /** Forwards a request to another host, which runs and answers it. Returns
   * false if the request can't be forwarded; it then stays with the pipeline,
   * which answers it. */
  virtual bool OnForward(const PendingRequestPtr& aRequest, HostId aTarget) = 0;
};

/** Processes the requests of flows that this host owns: admits them, records
 * grants, dispatches to the backend server and answers. It executes decisions
 * that src/decide and the grant recorder make. Thread safe; a single lock,
 * since the host's slots are one resource.
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

  /** Applies a service's rules and admission options. */
  void SetService(const Service& aService);

  /** Sets the rule, class and deadline of aRequest by the service's rules.
   * Returns false if no service is configured yet. */
  bool Classify(PendingRequest& aRequest) const;

  /** Submits a classified request to admission. Precondition: Classify returned
   * true for it. */
  void Start(const PendingRequestPtr& aRequest);

  /** Cancels a request that its caller withdrew; OnAnswer is still called. */
  void Cancel(const FlowKey& aFlow, const std::string& aRequestId);

  /** Updates the load and weight of the other candidates. */
  void SetPeers(std::span<const Candidate> aPeers);

  /** From now on, forwards or refuses waiting requests. Running requests
   * continue. */
  void Drain();

  /** Call every few milliseconds. */
  void Tick();

  HostLoad Load() const;

  /** Number of requests that wait or run. */
  std::size_t Active() const;

private:
  struct ActionBatch;

  /** Both require mLock. LeastLoadedPeer returns none if no peer has weight. */
  ActionBatch ResolveActions(const Actions& aActions) const;
  HostId LeastLoadedPeer() const;

  PendingRequestPtr Remove(RequestId aId);
  PendingRequestPtr Find(RequestId aId) const;
  void Execute(const ActionBatch& aBatch);
  void Dispatch(const PendingRequestPtr& aRequest);
  void OnGrant(const PendingRequestPtr& aRequest, GrantDecision aDecision);
  void SendToBackend(const PendingRequestPtr& aRequest);
  void OnBackend(const PendingRequestPtr& aRequest, BackendAnswer aAnswer);
  /** Handles a request that did not run here: forwards it to another host if
   * the retry rules allow that, else answers "not run". */
  void RetryOrRefuse(const PendingRequestPtr& aRequest, AttemptEnd aEnd,
                     RunResult aResult, Answer aAnswer);
  /** Answers "not run", after the grant recorder confirmed it for a recorded
   * request. */
  void FinishNotRun(const PendingRequestPtr& aRequest, RunResult aResult,
                    Answer aAnswer);
  void Finish(const PendingRequestPtr& aRequest, RunResult aResult,
              Answer aAnswer);
  /** Removes the request and reports its result to admission, which may
   * dispatch a waiting request into the freed slot. */
  void RemoveFromAdmission(const PendingRequestPtr& aRequest,
                           RunResult aResult);
  void Refuse(const PendingRequestPtr& aRequest, RefusalReason aReason,
              Duration aRetryAfter);
  void SendAnswer(const PendingRequestPtr& aRequest, Answer aAnswer);

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
