#include "src/passthrough/RequestScheduler.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace heatherplank {

namespace {

/** Expected times at the host that the limit of a request leaves of its target.
 * Ordinary requests get a margin, since service times vary; an important one is
 * worth the risk of a late answer rather than a rejection. */
constexpr int kTimesAtHost = 2;
constexpr int kImportantTimesAtHost = 1;

/** The queue of a host has this many places per slot. */
constexpr int kQueuePlacesPerSlot = 4;
/** A request is held only if its target is this multiple of the time that it
 * takes at a host with a full queue. With a shorter target, a request that was
 * held and then queued is late. */
constexpr double kMinTargetOverFullQueue = 1.6;
/** Nothing is held for this long after a request with a shorter target.
 *
 * Guards against: long work with long targets among short work. If only the
 * long requests were held, they would take each place that an answer frees, and
 * the host would reject the short ones. */
constexpr auto kShortTargetMemory = std::chrono::seconds(1);

/** A caller is identified by its IP address, whatever its ports. */
std::uint64_t HashCaller(const Address& aCaller, std::uint64_t aSeed)
{
  return HashBytes(
    { reinterpret_cast<const char*>(aCaller.mIp.data()), aCaller.mIp.size() },
    aSeed);
}

bool IsRepeated(const FlowPacket& aHeld, const FlowPacket& aPacket)
{
  return aPacket.mDataLength > 0 && aHeld.mSequence == aPacket.mSequence &&
         aHeld.mDataLength == aPacket.mDataLength && aHeld.mFin == aPacket.mFin;
}

bool IsImportant(Importance aImportance)
{
  return aImportance >= Importance::High;
}

/** How long a request may be held. aAhead: requests that are released first. */
Duration LimitOf(const HostCondition& aHost, std::uint32_t aAhead,
                 Duration aTarget, Importance aImportance)
{
  HostCondition host = aHost;
  host.mInProgress += aAhead;
  Duration atHost = FlowAdmission::WaitAt(host) + host.mServiceTime;
  if (!IsImportant(aImportance)) {
    return std::clamp(aTarget - kTimesAtHost * atHost, Duration::zero(),
                      aTarget / 2);
  }
  // The next answers free a place within one service time.
  Duration limit = std::max<Duration>(aTarget - kImportantTimesAtHost * atHost,
                                      host.mServiceTime);
  return std::min<Duration>(limit, aTarget / 2);
}

} // namespace

RequestScheduler::RequestScheduler(std::uint64_t aSeed)
  : mSeed(aSeed)
  , mQueues{ Queues(aSeed), Queues(aSeed), Queues(aSeed), Queues(aSeed) }
{
}

bool RequestScheduler::MustWait(const HostCondition& aHost, Duration aTarget,
                                Time aNow)
{
  if (mRequests.empty() && IsHostFree(aHost)) {
    return false;
  }
  Duration atFullQueue = aHost.mServiceTime * (1 + kQueuePlacesPerSlot);
  if (atFullQueue == Duration::zero() ||
      aTarget <= atFullQueue * kMinTargetOverFullQueue) {
    mHoldsAgainAt = aNow + kShortTargetMemory;
  }
  return aNow >= mHoldsAgainAt;
}

bool RequestScheduler::IsHostFree(const HostCondition& aHost)
{
  // One request more than slots, so that no slot is idle for the duration of a
  // hop.
  return aHost.mInProgress < aHost.mSlots + 1;
}

bool RequestScheduler::HasRoom(std::size_t aBytes,
                               std::size_t aFlowPackets) const
{
  return mPackets < kMaxPackets && mBytes + aBytes <= kMaxBytes &&
         aFlowPackets < kMaxPacketsPerFlow;
}

RequestScheduler::Outcome RequestScheduler::Hold(Packet& aPacket, Time aNow)
{
  FlowKey flow = aPacket.mHeader.FlowFromCaller();
  auto it = mByFlow.find(flow);
  if (it != mByFlow.end()) {
    return Append(*it->second, aPacket);
  }
  if (!HasRoom(aPacket.mSteered.mPacket.size(), 0)) {
    return Outcome::NoRoom;
  }
  Held& request = mRequests.emplace_back();
  mByFlow[flow] = std::prev(mRequests.end());
  request.mFlow = flow;
  request.mImportance = aPacket.mSteered.mImportance;
  request.mRequest.mCaller = HashCaller(flow.mCaller, mSeed);
  request.mRequest.mArrival = aNow;
  request.mRequest.mDeadline = aNow + aPacket.mSteered.mLatencyTarget;
  QueueOf(request).Push(request);
  Add(request, aPacket);
  return Outcome::Held;
}

RequestScheduler::Outcome RequestScheduler::Append(Held& aRequest,
                                                   Packet& aPacket)
{
  auto repeats = [&](const Packet& aIt) {
    return IsRepeated(aIt.mHeader, aPacket.mHeader);
  };
  if (std::ranges::any_of(aRequest.mPackets, repeats)) {
    return Outcome::Repeated;
  }
  if (!HasRoom(aPacket.mSteered.mPacket.size(), aRequest.mPackets.size())) {
    return Outcome::NoRoom;
  }
  Add(aRequest, aPacket);
  return Outcome::Held;
}

void RequestScheduler::Add(Held& aRequest, Packet& aPacket)
{
  ++mPackets;
  mBytes += aPacket.mSteered.mPacket.size();
  aRequest.mPackets.push_back(std::move(aPacket));
}

std::optional<RequestScheduler::Released> RequestScheduler::Next(
  const HostCondition& aHost, HostEvent aEvent, Time aNow)
{
  if (mRequests.empty()) {
    return std::nullopt;
  }
  if (IsHostFree(aHost) || aEvent == HostEvent::Answered) {
    return Release(PopFirst(aHost, aNow));
  }
  Held* overdue = aEvent == HostEvent::Rejected ? FindOrdinary() : nullptr;
  if (overdue == nullptr) {
    overdue = FindOverdue(aHost, aNow);
  }
  if (overdue == nullptr) {
    return std::nullopt;
  }
  Released out = Release(Unqueue(*overdue));
  out.mIsOverdue = true;
  return out;
}

RequestScheduler::Held* RequestScheduler::FindOverdue(
  const HostCondition& aHost, Time aNow)
{
  std::array<std::uint32_t, kImportances> ahead{};
  for (std::size_t i = 0; i < kImportances; ++i) {
    for (std::size_t higher = i + 1; higher < kImportances; ++higher) {
      ahead[i] += mQueues[higher].mTimely.Size() + mQueues[higher].mLate.Size();
    }
  }
  for (Held& it : mRequests) {
    Duration target = it.mRequest.mDeadline - it.mRequest.mArrival;
    auto& before = ahead[static_cast<std::size_t>(it.mImportance)];
    Duration limit = LimitOf(aHost, before++, target, it.mImportance);
    if (it.mRequest.mArrival + limit <= aNow) {
      return &it;
    }
  }
  return nullptr;
}

RequestScheduler::Held* RequestScheduler::FindOrdinary()
{
  auto it = std::ranges::find_if(
    mRequests, [](const Held& aIt) { return !IsImportant(aIt.mImportance); });
  return it == mRequests.end() ? nullptr : &*it;
}

RequestScheduler::Held& RequestScheduler::PopFirst(const HostCondition& aHost,
                                                   Time aNow)
{
  if (++mReleasedInTurn % kOldestEvery == 0) {
    return Unqueue(mRequests.front());
  }
  for (std::size_t i = kImportances; i-- > 0;) {
    Queues& queues = mQueues[i];
    MoveLate(queues, aHost.mServiceTime, aNow);
    for (FairQueue* it : { &queues.mTimely, &queues.mLate }) {
      if (it->Size() > 0) {
        return static_cast<Held&>(*it->Pop());
      }
    }
  }
  return Unqueue(mRequests.front());
}

void RequestScheduler::MoveLate(Queues& aQueues, Duration aServiceTime,
                                Time aNow)
{
  while (QueuedRequest* first = aQueues.mTimely.EarliestDeadline()) {
    if (aNow + aServiceTime <= first->mRequest.mDeadline) {
      return;
    }
    aQueues.mTimely.Remove(*first);
    aQueues.mLate.Push(*first);
    static_cast<Held*>(first)->mIsLate = true;
  }
}

RequestScheduler::Held& RequestScheduler::Unqueue(Held& aRequest)
{
  QueueOf(aRequest).Remove(aRequest);
  return aRequest;
}

FairQueue& RequestScheduler::QueueOf(const Held& aRequest)
{
  Queues& queues = mQueues[static_cast<std::size_t>(aRequest.mImportance)];
  return aRequest.mIsLate ? queues.mLate : queues.mTimely;
}

std::optional<RequestScheduler::Released> RequestScheduler::Take(
  const FlowKey& aFlow)
{
  auto it = mByFlow.find(aFlow);
  if (it == mByFlow.end()) {
    return std::nullopt;
  }
  return Release(Unqueue(*it->second));
}

std::optional<RequestScheduler::Released> RequestScheduler::TakeOldest()
{
  if (mRequests.empty()) {
    return std::nullopt;
  }
  return Release(Unqueue(mRequests.front()));
}

RequestScheduler::Released RequestScheduler::Release(Held& aRequest)
{
  Released out;
  out.mFlow = aRequest.mFlow;
  out.mArrival = aRequest.mRequest.mArrival;
  out.mPackets = std::move(aRequest.mPackets);
  mPackets -= out.mPackets.size();
  for (const Packet& it : out.mPackets) {
    mBytes -= it.mSteered.mPacket.size();
  }
  auto it = mByFlow.find(out.mFlow);
  Requests::iterator position = it->second;
  mByFlow.erase(it);
  mRequests.erase(position);
  return out;
}

} // namespace heatherplank
