#include "lab/flows/OpenFlows.h"

#include <algorithm>
#include <deque>

#include <CppUTest/TestHarness.h>

using namespace heatherplank;
using namespace heatherplank::lab;

namespace {

/** Holds requests while the host's slots are busy; important ones first. */
class ImportantFirst final : public RequestDelivery
{
public:
  std::vector<OpenFlowRequest> OnRequest(const OpenFlowRequest& aIt,
                                         std::size_t aInProgress,
                                         double /*aNow*/) override
  {
    if (aInProgress < 2) {
      return { aIt };
    }
    aIt.mIsImportant ? mHeld.push_front(aIt) : mHeld.push_back(aIt);
    return {};
  }
  std::vector<OpenFlowRequest> OnAnswer(std::size_t aInProgress,
                                        double /*aNow*/) override
  {
    if (aInProgress >= 2 || mHeld.empty()) {
      return {};
    }
    OpenFlowRequest next = mHeld.front();
    mHeld.pop_front();
    return { next };
  }

private:
  std::deque<OpenFlowRequest> mHeld;
};

} // namespace

TEST_GROUP(OpenFlows)
{
  OpenFlowLoad mLoad;
  ImmediateDelivery mImmediate;

  OpenFlowResult PlayImmediate(double aFactor)
  {
    mLoad.mFactor = aFactor;
    return PlayOpenFlows(
      mLoad, std::vector<RequestDelivery*>(mLoad.mHosts, &mImmediate));
  }
};

TEST(OpenFlows, TheSameSeedGivesTheSameTable)
{
  CHECK_TRUE(OpenFlowTable(mLoad) == OpenFlowTable(mLoad));
}

// Guards against a load that differs from the one stated: beyond what the slots
// can do, the answered share is at most what they can do of it.
TEST(OpenFlows, TwiceTheSlotsWorkIsRefusedByHalf)
{
  auto result = PlayImmediate(2.0);
  double asked = result.mImportant.mAsked + result.mOther.mAsked;
  double refused = result.mImportant.mRefused + result.mOther.mRefused;
  CHECK_TRUE(refused / asked > 0.45 && refused / asked < 0.55);
  CHECK_TRUE(PlayImmediate(0.8).mOther.Share() > 0.95);
}

// Guards against a comparison that no order of delivery could win: the host's
// queue refuses important requests as often as others.
TEST(OpenFlows, ImportantRequestsGainFromBeingDeliveredFirst)
{
  auto fifo = PlayImmediate(1.2);
  DOUBLES_EQUAL(fifo.mOther.Share(), fifo.mImportant.Share(), 0.05);
  std::vector<ImportantFirst> orders(mLoad.mHosts);
  std::vector<RequestDelivery*> deliveries(orders.size());
  std::ranges::transform(orders, deliveries.begin(),
                         [](ImportantFirst& aIt) { return &aIt; });
  auto ordered = PlayOpenFlows(mLoad, deliveries);
  CHECK_TRUE(ordered.mImportant.Share() > 0.97);
}
