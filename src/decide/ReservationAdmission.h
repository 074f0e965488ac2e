#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "src/decide/AdmissionPolicy.h"
#include "src/decide/ClassState.h"
#include "src/decide/ForwardPlanner.h"
#include "src/decide/WaitEstimate.h"

namespace heatherplank {

/** The default admission policy: one bounded, deadline-aware queue per class.
 *
 * A request is refused or forwarded on arrival if its answer can't be expected
 * by its deadline. Queued requests are re-evaluated every 50 ms, and those that
 * can no longer meet their deadline are refused then. A free slot goes to the
 * most important class that has queued requests and may take the slot
 * (SlotLending.h); within a class, callers are served round-robin
 * (FairQueue.h). Deferrable work (mMayWait) is admitted only at the rate that
 * more important classes leave free, is not dropped to make room, and is
 * dispatched first when its latest start time is near.
 *
 * Dispatch pauses when the backend server sheds a request or can't be reached,
 * twice as long for each consecutive failure: without the pause, the server
 * would reject the whole queue within milliseconds.
 */
class ReservationAdmission final : public AdmissionPolicy
{
public:
  /** Precondition: at least one slot and one class. */
  explicit ReservationAdmission(const AdmissionOptions& aOptions);
  ~ReservationAdmission() override;

  void OnRequest(const Request& aRequest, Time aNow, Actions& aOut) override;
  void OnDone(RequestId aId, RunResult aResult, Duration aServiceTime,
              Time aNow, Actions& aOut) override;
  bool OnCancel(RequestId aId, Time aNow, Actions& aOut) override;
  void OnSlots(std::uint32_t aSlots, Time aNow, Actions& aOut) override;
  void OnOptions(const AdmissionOptions& aOptions, Time aNow,
                 Actions& aOut) override;
  void OnPeers(std::span<const Candidate> aPeers, Time aNow,
               Actions& aOut) override;
  void OnDrain(Time aNow, Actions& aOut) override;
  void OnTick(Time aNow, Actions& aOut) override;
  std::optional<Time> NextWakeUp() const override;
  HostLoad Load() const override;

private:
  HostView View() const;
  bool HasFreeSlot(Time aNow) const;
  double CurrentLoadPerSlot() const;
  void LimitReservations();
  std::vector<std::uint16_t> ReplaceClasses(const AdmissionOptions& aOptions);
  std::vector<QueuedRequest*> TakeAllQueued();

  // Admission of new requests.
  std::optional<RefusalReason> EvaluateRequest(const Request& aRequest,
                                               Time aNow);
  std::optional<RefusalReason> EvaluateWait(const Request& aRequest, Time aNow);
  Duration ToleratedWait(const Request& aRequest, Time aNow) const;
  bool IsBusyCaller(const ClassState& aClass, const Request& aRequest) const;
  bool TryTakeProbe(ClassState& aClass, Time aNow);

  // Dispatch from the queues to the slots.
  void DispatchQueued(Time aNow, Actions& aOut);
  QueuedRequest* TakeNext(Time aNow);
  ClassState* NextClass();
  void CatchUpShare(ClassState& aClass) const;
  bool HasPrecedence(const ClassState& aFirst, const ClassState& aSecond) const;
  QueuedRequest* TakeUrgent(Time aNow);
  void Start(const QueuedRequest& aQueued, Time aNow, Actions& aOut);

  // Refusal, forwarding and removal of queued requests.
  void RefuseDeadlineUnreachable(Time aNow, Actions& aOut);
  void Review(Time aNow, Actions& aOut);
  void ReviewClass(std::size_t aClass, Time aNow, Actions& aOut);
  void ForwardToLessLoaded(Time aNow, Actions& aOut);
  void ForwardOrRefuse(const Request& aRequest, RefusalReason aReason,
                       Time aNow, Actions& aOut);
  void Refuse(const Request& aRequest, RefusalReason aReason, Time aNow,
              Actions& aOut);
  void Forward(RequestId aId, HostId aTarget, RetryReason aReason,
               Actions& aOut);
  void RemoveQueued(QueuedRequest& aQueued);

  void RecordResult(const RunningSlot& aSlot, RunResult aResult,
                    Duration aServiceTime, Time aNow);
  void RecordServiceTime(Duration aTime, Time aNow);
  void RecordFailure();
  void Pause(Time aNow);

  ClassState& ClassOf(const Request& aRequest)
  {
    return *mClasses[aRequest.mClass];
  }

  AdmissionOptions mOptions;
  std::uint32_t mSlots;
  bool mDraining = false;
  std::vector<std::unique_ptr<ClassState>> mClasses;
  std::unordered_map<RequestId, QueuedRequest> mQueuedRequests;
  std::vector<RunningSlot> mRunning;
  ForwardPlanner mForwardPlanner;
  Time mPausedUntil;
  std::uint32_t mPausesInARow = 0;
  Time mNextReview;
  /** Time of the last event. */
  Time mLastEventAt;
  Duration mLatency{};
  Duration mServiceTime{};
  std::uint32_t mServiceCount = 0;
  Time mLastServiceAt;
  double mFailing = 0;
  std::uint64_t mResults = 0;
};

} // namespace heatherplank
