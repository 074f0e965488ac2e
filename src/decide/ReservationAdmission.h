#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "src/decide/AdmissionPolicy.h"
#include "src/decide/ClassState.h"
#include "src/decide/HandOnPlanner.h"
#include "src/decide/WaitEstimate.h"

namespace heatherplank {

/** The admission in use: bounded, deadline-aware queues, one a class.
 *
 * At the door a request is refused, or handed on, as soon as its answer can't
 * be expected by its deadline; what waits is looked at again every 50 ms, and
 * whatever lost its chance is refused there and then. A free slot goes to the
 * most important class that waits and may take it (SlotLending.h), within a
 * class to callers in turn (FairQueue.h). Work that may wait is let in only at
 * the rate that more important classes leave to it, is not dropped for room,
 * and goes first when its latest moment to start comes near.
 *
 * A backend server that sheds or can't be reached is left alone for a moment,
 * twice as long each time in a row: sent more at once, it would turn away the
 * whole queue within milliseconds.
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
  double LoadPerSlotNow() const;
  void BoundReservations();
  std::vector<std::uint16_t> ReplaceClasses(const AdmissionOptions& aOptions);
  std::vector<Waiting*> TakeAllWaiting();

  // At the door.
  std::optional<RefusalReason> Judge(const Request& aRequest, Time aNow);
  std::optional<RefusalReason> JudgeWait(const Request& aRequest, Time aNow);
  Duration Tolerated(const Request& aRequest, Time aNow) const;
  bool IsBusyCaller(const ClassState& aClass, const Request& aRequest) const;
  bool TakeProbe(ClassState& aClass, Time aNow);

  // From the queues to the slots.
  void Fill(Time aNow, Actions& aOut);
  Waiting* TakeNext(Time aNow);
  ClassState* NextClass();
  void JoinShares(ClassState& aClass) const;
  bool GoesFirst(const ClassState& aFirst, const ClassState& aSecond) const;
  Waiting* TakeUrgent(Time aNow);
  void Start(const Waiting& aWaiting, Time aNow, Actions& aOut);

  // Out of the queues by other ways.
  void RefuseHopeless(Time aNow, Actions& aOut);
  void Review(Time aNow, Actions& aOut);
  void ReviewClass(std::size_t aClass, Time aNow, Actions& aOut);
  void MoveToLighter(Time aNow, Actions& aOut);
  void GiveUp(const Request& aRequest, RefusalReason aReason, Time aNow,
              Actions& aOut);
  void Refuse(const Request& aRequest, RefusalReason aReason, Time aNow,
              Actions& aOut);
  void HandOn(RequestId aId, HostId aTarget, RetryReason aReason,
              Actions& aOut);
  void Forget(Waiting& aWaiting);

  void NoteResult(const RunningSlot& aSlot, RunResult aResult,
                  Duration aServiceTime, Time aNow);
  void NoteServiceTime(Duration aTime, Time aNow);
  void NoteFailure();
  void Pause(Time aNow);

  ClassState& ClassOf(const Request& aRequest)
  {
    return *mClasses[aRequest.mClass];
  }

  AdmissionOptions mOptions;
  std::uint32_t mSlots;
  bool mDraining = false;
  std::vector<std::unique_ptr<ClassState>> mClasses;
  std::unordered_map<RequestId, Waiting> mWaiting;
  std::vector<RunningSlot> mRunning;
  HandOnPlanner mHandOn;
  Time mPausedUntil;
  std::uint32_t mPausesInARow = 0;
  Time mNextReview;
  /** When the last event came. */
  Time mSeenAt;
  Duration mLatency{};
  Duration mServiceTime{};
  std::uint32_t mServiceCount = 0;
  Time mServiceSeenAt;
  double mFailing = 0;
  std::uint64_t mResults = 0;
};

} // namespace heatherplank
