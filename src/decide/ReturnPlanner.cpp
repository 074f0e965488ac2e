#include "src/decide/ReturnPlanner.h"

#include <algorithm>
#include <chrono>

namespace heatherplank {

namespace {

constexpr Duration kLongest = std::chrono::seconds(30);
// Below this a caller would be back before its refusal made a difference.
constexpr Duration kShortest = std::chrono::milliseconds(5);
constexpr int kJitterShare = 4;

} // namespace

ReturnPlanner::ReturnPlanner(std::uint64_t aSeed, bool aSpread)
  : mRng(aSeed)
  , mSpread(aSpread)
{
}

Duration ReturnPlanner::Next(Time aNow, Duration aRoomIn, Duration aEvery)
{
  const Duration roomIn = std::clamp(aRoomIn, kShortest, kLongest);
  if (!mSpread) {
    return roomIn;
  }
  const Time room = aNow + roomIn;
  mNext = std::max(mNext + aEvery, room);
  mNext = std::min(mNext, aNow + kLongest);
  const Duration wait = mNext - aNow;
  std::uniform_int_distribution<Duration::rep> jitter(0, wait.count() /
                                                           kJitterShare);
  return wait + Duration(jitter(mRng));
}

} // namespace heatherplank
