#include "lab/Details.h"

namespace heatherplank::lab {

namespace json = boost::json;

namespace {

/** Collects descriptions of violations, a bounded number of each kind. */
class Details
{
public:
  explicit Details(const Evidence& aEvidence)
    : mEvidence(&aEvidence)
  {
  }

  json::array Collect()
  {
    for (const auto& it : mEvidence->mCallers->mFlows) {
      if (it.mBroken) {
        Add("broken", it.mWhy);
      }
    }
    for (const auto& it : mEvidence->mCallers->mRequests) {
      if (it.mFinal == FinalAnswer::None) {
        Add("lost", Describe(it));
      }
      if (it.mFinal == FinalAnswer::NotRun) {
        Add("refused", Describe(it));
      }
      if (it.mFinal == FinalAnswer::Unknown) {
        Add("unknown", Describe(it));
      }
    }
    for (const auto& [key, history] : CollectKeys(*mEvidence)) {
      if (history.mRuns > 1) {
        Add("run twice", Describe(key));
      }
      if (history.mRuns > 0 && history.mLast == FinalAnswer::NotRun) {
        Add("falsely not run", Describe(key));
      }
    }
    return std::move(mLines);
  }

private:
  void Add(const std::string& aKind, const std::string& aWhat)
  {
    constexpr int kMost = 10;
    if (++mCounts[aKind] <= kMost) {
      mLines.emplace_back(aKind + ": " + aWhat);
    }
  }

  std::string At(Time aTime) const
  {
    auto start = mEvidence->mCallers->mRequests.front().mStart;
    auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(aTime - start);
    return std::to_string(ms.count()) + " ms";
  }

  std::string Describe(const RequestRecord& aRecord) const
  {
    static const char* const kFinals[] = { "nothing", "run", "not-run",
                                           "unknown" };
    return aRecord.mLastId + " " + aRecord.mKey + " asked at " +
           At(aRecord.mStart) + ", " +
           kFinals[static_cast<std::size_t>(aRecord.mFinal)] + " at " +
           At(aRecord.mEnd) + " " + aRecord.mReason;
  }

  std::string Describe(const std::string& aKey) const
  {
    std::string line;
    for (const auto& it : *mEvidence->mExecutions) {
      if (it.mKey == aKey) {
        line += it.mRequestId + " ran on " + it.mHost + " at " + At(it.mStart) +
                (it.mDone ? "; " : " (cut); ");
      }
    }
    for (const auto& it : mEvidence->mCallers->mRequests) {
      if (it.mKey == aKey) {
        line += Describe(it) + "; ";
      }
    }
    return line;
  }

  const Evidence* mEvidence;
  std::map<std::string, int> mCounts;
  json::array mLines;
};

} // namespace

std::map<std::string, KeyHistory> CollectKeys(const Evidence& aEvidence)
{
  std::map<std::string, KeyHistory> keys;
  for (const auto& it : *aEvidence.mExecutions) {
    if (!it.mKey.empty()) {
      ++keys[it.mKey].mRuns;
    }
  }
  for (const auto& it : aEvidence.mCallers->mRequests) {
    if (it.mKey.empty() || it.mFinal == FinalAnswer::None) {
      continue;
    }
    auto& key = keys[it.mKey];
    if (it.mEnd >= key.mLastAnswer) {
      key.mLastAnswer = it.mEnd;
      key.mLast = it.mFinal;
    }
  }
  return keys;
}

json::array DescribeDetails(const Evidence& aEvidence)
{
  return Details(aEvidence).Collect();
}

} // namespace heatherplank::lab
