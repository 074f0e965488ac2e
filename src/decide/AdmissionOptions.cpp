#include "src/decide/AdmissionOptions.h"

#include <algorithm>

namespace heatherplank {

namespace {

// Ratio of shares between adjacent importances: under pressure, a class gets at
// most a third of the share of the next higher importance.
constexpr double kShareRatio = 3.0;

double ShareOf(Importance aImportance)
{
  double share = 1.0;
  for (int i = 0; i < static_cast<int>(aImportance); ++i) {
    share *= kShareRatio;
  }
  return share;
}

ClassOptions MakeClass(const Rule& aRule)
{
  ClassOptions options;
  options.mName = aRule.mName;
  options.mImportance = aRule.mImportance;
  options.mMayWait = aRule.mMayWait;
  options.mDeadline = aRule.mDeadline;
  options.mQueueLimit = aRule.mQueueLimit;
  options.mShare = ShareOf(aRule.mImportance);
  return options;
}

} // namespace

AdmissionOptions MakeAdmissionOptions(const Service& aService,
                                      std::uint64_t aSeed)
{
  AdmissionOptions options;
  options.mSlots = aService.mSlotsPerHost;
  options.mSeed = aSeed;
  for (const auto& rule : aService.mRules) {
    options.mClasses.push_back(MakeClass(rule));
  }
  Rule defaultRule;
  defaultRule.mName = "default";
  options.mClasses.push_back(MakeClass(defaultRule));
  if (options.mSlots < 2 || aService.mRules.size() < 2) {
    return options;
  }
  auto top =
    std::ranges::max_element(options.mClasses, {}, &ClassOptions::mImportance);
  if (top->mImportance > Importance::Normal) {
    top->mReservedSlots = 1;
  }
  for (auto& it : options.mClasses) {
    if (it.mMayWait && &it != &*top) {
      it.mSlotLimit = options.mSlots - 1;
    }
  }
  return options;
}

} // namespace heatherplank
