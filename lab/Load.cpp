#include "lab/Load.h"

namespace heatherplank::lab {

using boost::system::error_code;

/** One of the concurrent flows; replaced by a new flow when it ends. */
struct Load::Slot
{
  explicit Slot(const boost::asio::any_io_executor& aExecutor)
    : mTimer(aExecutor)
  {
  }

  std::shared_ptr<Flow> mFlow;
  boost::asio::steady_timer mTimer;
};

Load::Load(const boost::asio::any_io_executor& aExecutor, const LoadSpec& aSpec,
           std::uint64_t aSeed, Open aOpen)
  : mExecutor(aExecutor)
  , mSpec(aSpec)
  , mRandom(aSeed)
  , mSeed(aSeed)
  , mOpen(std::move(aOpen))
  , mTimer(aExecutor)
{
}

Load::~Load() = default;

void Load::Start()
{
  for (std::size_t i = 0; i < std::max(mSpec.mFlows, mSpec.mCopies); ++i) {
    mSlots.push_back(std::make_unique<Slot>(mExecutor));
    if (mSpec.mRate <= 0) {
      Think(*mSlots.back());
    }
  }
  if (mSpec.mRate > 0) {
    NextArrival();
  }
}

void Load::Stop()
{
  mStopped = true;
  mTimer.cancel();
  for (auto& it : mSlots) {
    it->mTimer.cancel();
  }
}

void Load::NextArrival()
{
  std::exponential_distribution<> gap(mSpec.mRate);
  mTimer.expires_after(std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(gap(mRandom))));
  mTimer.async_wait([this](error_code aEc) {
    if (aEc || mStopped) {
      return;
    }
    Arrive();
    NextArrival();
  });
}

/** Sends one key on as many adjacent flows as the load has copies. */
void Load::Arrive()
{
  std::uniform_int_distribution<std::size_t> pick(0, mSlots.size() - 1);
  auto first = pick(mRandom);
  std::string key = NextKey();
  for (std::size_t i = 0; i < mSpec.mCopies; ++i) {
    auto flow = FlowOf(*mSlots[(first + i) % mSlots.size()]);
    flow->Submit(key, [flow](const RequestRecord&) {});
  }
}

std::shared_ptr<Flow> Load::FlowOf(Slot& aSlot)
{
  bool full = aSlot.mFlow && mSpec.mRequestsPerFlow > 0 &&
              aSlot.mFlow->Submitted() >= mSpec.mRequestsPerFlow;
  if (!aSlot.mFlow || full) {
    aSlot.mFlow = mOpen(mSpec);
  }
  return aSlot.mFlow;
}

void Load::Think(Slot& aSlot)
{
  aSlot.mTimer.expires_after(PickThink());
  aSlot.mTimer.async_wait([this, &aSlot](error_code aEc) {
    if (aEc || mStopped) {
      return;
    }
    FlowOf(aSlot)->Submit(NextKey(), [this, &aSlot](const RequestRecord&) {
      if (!mStopped) {
        Think(aSlot);
      }
    });
  });
}

Duration Load::PickThink()
{
  std::uniform_real_distribution<> factor(0.75, 1.25);
  return std::chrono::duration_cast<Duration>(mSpec.mThink * factor(mRandom));
}

std::string Load::NextKey()
{
  if (!mSpec.mKey) {
    return {};
  }
  return mSpec.mClass + "-" + std::to_string(mSeed) + "-" +
         std::to_string(++mKeys);
}

} // namespace heatherplank::lab
