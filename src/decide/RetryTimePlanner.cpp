#include "src/decide/RetryTimePlanner.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

constexpr Duration kMaxWait = std::chrono::seconds(30);
// Shortest retry time given to a refused caller; an earlier return would undo
// the effect of the refusal.
constexpr Duration kMinWait = std::chrono::milliseconds(5);
constexpr int kJitterDivisor = 4;

} // namespace

RetryTimePlanner::RetryTimePlanner(std::uint64_t aSeed, bool aSpread)
  : mRng(aSeed)
  , mSpread(aSpread)
{
}

Duration RetryTimePlanner::NextWait(Time aNow, Duration aRoomIn,
                                    Duration aInterval)
{
  const Duration roomIn = std::clamp(aRoomIn, kMinWait, kMaxWait);
  if (!mSpread) {
    return roomIn;
  }
  const Time room = aNow + roomIn;
  mNextPosition = std::max(mNextPosition + aInterval, room);
  mNextPosition = std::min(mNextPosition, aNow + kMaxWait);
  const Duration wait = mNextPosition - aNow;
  std::uniform_int_distribution<Duration::rep> jitter(0, wait.count() /
                                                           kJitterDivisor);
  return wait + Duration(jitter(mRng));
}

} // namespace heatherplank
