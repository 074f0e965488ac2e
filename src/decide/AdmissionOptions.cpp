#include "src/decide/AdmissionOptions.h"

#include <algorithm>

namespace heatherplank {

namespace {

// Ratio of shares between neighbouring importances, so that a class under
// pressure gets at most a third of what the next one up gets.
constexpr double kShareStep = 3.0;

double ShareOf(Importance aImportance)
{
  double share = 1.0;
  for (int i = 0; i < static_cast<int>(aImportance); ++i) {
    share *= kShareStep;
  }
  return share;
}

ClassOptions MakeClass(const Rule& aRule)
{
  ClassOptions made;
  made.mName = aRule.mName;
  made.mImportance = aRule.mImportance;
  made.mMayWait = aRule.mMayWait;
  made.mDeadline = aRule.mDeadline;
  made.mQueueLimit = aRule.mQueueLimit;
  made.mShare = ShareOf(aRule.mImportance);
  return made;
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
  Rule rest;
  rest.mName = "default";
  options.mClasses.push_back(MakeClass(rest));
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
