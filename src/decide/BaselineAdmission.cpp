#include "src/decide/BaselineAdmission.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);

Action Refuse(RequestId aId, RefusalReason aReason)
{
  Action action;
  action.mKind = ActionKind::Refuse;
  action.mId = aId;
  action.mReason = aReason;
  action.mRetryAfter = kRetryAfter;
  return action;
}

} // namespace

BaselineAdmission::BaselineAdmission(const AdmissionOptions& aOptions,
                                     bool aPriority)
  : mOptions(aOptions)
  , mPriority(aPriority)
{
}

void BaselineAdmission::OnRequest(const Request& aRequest, Time /*aNow*/,
                                  Actions& aOut)
{
  if (mDraining) {
    aOut.push_back(Refuse(aRequest.mId, RefusalReason::Draining));
    return;
  }
  const auto& options = mOptions.mClasses[aRequest.mClass];
  const int rank = mPriority ? -static_cast<int>(options.mImportance) : 0;
  auto& queue = mQueues[rank];
  if (mPriority && queue.size() >= options.mQueueLimit) {
    aOut.push_back(Refuse(aRequest.mId, RefusalReason::QueueFull));
    return;
  }
  queue.push_back(aRequest);
  DispatchQueued(aOut);
}

void BaselineAdmission::OnDone(RequestId aId, RunResult /*aResult*/,
                               Duration aServiceTime, Time /*aNow*/,
                               Actions& aOut)
{
  mRunning.erase(aId);
  mLatency = aServiceTime;
  DispatchQueued(aOut);
}

bool BaselineAdmission::OnCancel(RequestId aId, Time /*aNow*/,
                                 Actions& /*aOut*/)
{
  auto removed = [aId](auto& aQueue) {
    return std::erase_if(aQueue.second, [aId](const Request& aRequest) {
             return aRequest.mId == aId;
           }) > 0;
  };
  return std::ranges::any_of(mQueues, removed);
}

void BaselineAdmission::OnSlots(std::uint32_t aSlots, Time /*aNow*/,
                                Actions& aOut)
{
  mOptions.mSlots = aSlots;
  DispatchQueued(aOut);
}

void BaselineAdmission::OnOptions(const AdmissionOptions& aOptions,
                                  Time /*aNow*/, Actions& aOut)
{
  const std::uint32_t slots = mOptions.mSlots;
  mOptions = aOptions;
  mOptions.mSlots = slots;
  DispatchQueued(aOut);
}

void BaselineAdmission::OnPeers(std::span<const Candidate> /*aPeers*/,
                                Time /*aNow*/, Actions& /*aOut*/)
{
}

void BaselineAdmission::OnDrain(Time /*aNow*/, Actions& aOut)
{
  mDraining = true;
  for (const auto& [rank, queue] : mQueues) {
    for (const auto& it : queue) {
      aOut.push_back(Refuse(it.mId, RefusalReason::Draining));
    }
  }
  mQueues.clear();
}

void BaselineAdmission::OnTick(Time /*aNow*/, Actions& /*aOut*/) {}

HostLoad BaselineAdmission::Load() const
{
  HostLoad load;
  for (const auto& [rank, queue] : mQueues) {
    load.mQueued += static_cast<std::uint32_t>(queue.size());
  }
  load.mBusy = static_cast<std::uint32_t>(mRunning.size());
  load.mSlots = mOptions.mSlots;
  load.mLatency = mLatency;
  return load;
}

void BaselineAdmission::DispatchQueued(Actions& aOut)
{
  for (auto& [rank, queue] : mQueues) {
    while (!queue.empty() && mRunning.size() < mOptions.mSlots) {
      Action action;
      action.mId = queue.front().mId;
      mRunning.insert(action.mId);
      queue.pop_front();
      aOut.push_back(action);
    }
  }
}

} // namespace heatherplank
