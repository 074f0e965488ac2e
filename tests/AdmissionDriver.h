#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>

#include "src/decide/AdmissionPolicy.h"

namespace heatherplank::test {

using namespace std::chrono_literals;

/** Class 0: claims (critical, one reserved slot); 1: checks (high); 2:
 * documents (low, deferrable, at most one slot). */
inline AdmissionOptions ThreeClasses()
{
  Service service;
  service.mSlotsPerHost = 2;
  service.mRules = { { .mName = "claims",
                       .mMethod = "POST",
                       .mPathPrefix = "/claims",
                       .mImportance = Importance::Critical,
                       .mNeverRepeat = true,
                       .mDeadline = 1s },
                     { .mName = "checks",
                       .mMethod = "",
                       .mPathPrefix = "/checks",
                       .mImportance = Importance::High,
                       .mDeadline = 1s },
                     { .mName = "documents",
                       .mMethod = "",
                       .mPathPrefix = "",
                       .mImportance = Importance::Low,
                       .mMayWait = true,
                       .mDeadline = 10s } };
  return MakeAdmissionOptions(service, 42);
}

constexpr std::uint16_t kClaims = 0;
constexpr std::uint16_t kChecks = 1;
constexpr std::uint16_t kDocuments = 2;

/** Drives an admission policy on a clock that only the test advances. */
class AdmissionDriver
{
public:
  explicit AdmissionDriver(const AdmissionOptions& aOptions,
                           std::string_view aName = "reservation")
    : mPolicy(MakeAdmissionPolicy(aName, aOptions).value())
    , mOptions(aOptions)
  {
  }

  /** Sends a request with the deadline of its class; returns its id. */
  RequestId Send(std::uint16_t aClass, std::uint64_t aCaller = 1)
  {
    Request request;
    request.mId = ++mLast;
    request.mClass = aClass;
    request.mCaller = aCaller;
    request.mArrival = mNow;
    request.mDeadline = mNow + mOptions.mClasses[aClass].mDeadline;
    return Send(request);
  }

  RequestId Send(const Request& aRequest)
  {
    mActions.clear();
    mPolicy->OnRequest(aRequest, mNow, mActions);
    return aRequest.mId;
  }

  void Done(RequestId aId, Duration aServiceTime,
            RunResult aResult = RunResult::Answered)
  {
    mActions.clear();
    mPolicy->OnDone(aId, aResult, aServiceTime, mNow, mActions);
  }

  /** Runs requests one at a time, so that their service time is observed. */
  void TrainServiceTime(std::uint16_t aClass, Duration aServiceTime,
                        int aTimes = 40)
  {
    for (int i = 0; i < aTimes; ++i) {
      const RequestId id = Send(aClass);
      mNow += aServiceTime;
      Done(id, aServiceTime);
    }
    mNow += 5s;
  }

  void Advance(Duration aBy)
  {
    mNow += aBy;
    mActions.clear();
    mPolicy->OnTick(mNow, mActions);
  }

  /** The action on a request in the last event; null if none. */
  const Action* ActionFor(RequestId aId) const
  {
    for (const auto& it : mActions) {
      if (it.mId == aId) {
        return &it;
      }
    }
    return nullptr;
  }

  bool HasAction(RequestId aId, ActionKind aKind) const
  {
    const Action* action = ActionFor(aId);
    return action != nullptr && action->mKind == aKind;
  }

  /** "refused: REASON", "dispatched", "forwarded", "expired" or "waits". */
  std::string Outcome(RequestId aId) const
  {
    const Action* action = ActionFor(aId);
    if (action == nullptr) {
      return "waits";
    }
    switch (action->mKind) {
      case ActionKind::Dispatch:
        return "dispatched";
      case ActionKind::Refuse:
        return "refused: " + std::string(ToString(action->mReason));
      case ActionKind::Forward:
        return "forwarded";
      case ActionKind::Expire:
        return "expired";
    }
    return "";
  }

  /** Reports the load of three other hosts, one of them idle. */
  void ReportOneIdlePeer()
  {
    std::vector<Candidate> peers(3);
    for (std::size_t i = 0; i < peers.size(); ++i) {
      peers[i].mHost = HostId{ i + 1 };
      peers[i].mLoad = { .mQueued = i == 0 ? 0U : 20U,
                         .mBusy = i == 0 ? 0U : 2U,
                         .mSlots = 2 };
    }
    mActions.clear();
    mPolicy->OnPeers(peers, mNow, mActions);
  }

  std::unique_ptr<AdmissionPolicy> mPolicy;
  AdmissionOptions mOptions;
  Actions mActions;
  Time mNow = Time{} + 1h;
  RequestId mLast = 0;
};

} // namespace heatherplank::test
