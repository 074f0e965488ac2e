#include "src/replay/Replay.h"

#include <algorithm>
#include <ostream>

#include "src/replay/Trace.h"
#include "src/settings/JsonReader.h"

namespace heatherplank {

namespace {

constexpr int kAllCame = 0;
constexpr int kOneFailed = 1;
constexpr int kUnreadable = 2;

int ReplayOne(const std::string& aPath, std::ostream& aOut)
{
  auto text = ReadFile(aPath);
  if (!text) {
    aOut << text.error().Describe() << "\n";
    return kUnreadable;
  }
  auto result = replay::PlayTrace(aPath, *text, aOut);
  if (!result) {
    aOut << result.error().Describe() << "\n";
    return kUnreadable;
  }
  const bool failed = result->mFailed > 0;
  aOut << aPath << ": " << (failed ? "FAILED, " : "ok, ")
       << result->mExpectations - result->mFailed << " of "
       << result->mExpectations << " outcomes\n";
  return failed ? kOneFailed : kAllCame;
}

} // namespace

int RunReplay(std::span<const std::string> aTraces, std::ostream& aOut)
{
  int worst = kAllCame;
  for (const auto& it : aTraces) {
    worst = std::max(worst, ReplayOne(it, aOut));
  }
  return worst;
}

} // namespace heatherplank
