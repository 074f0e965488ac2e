#include "src/replay/Replay.h"

#include <algorithm>
#include <ostream>

#include "src/replay/Trace.h"
#include "src/settings/JsonReader.h"

namespace heatherplank {

namespace {

constexpr int kExitAllMet = 0;
constexpr int kExitUnmet = 1;
constexpr int kExitUnreadable = 2;

int ReplayOne(const std::string& aPath, std::ostream& aOut)
{
  auto text = ReadFile(aPath);
  if (!text) {
    aOut << text.error().Describe() << "\n";
    return kExitUnreadable;
  }
  auto result = replay::PlayTrace(aPath, *text, aOut);
  if (!result) {
    aOut << result.error().Describe() << "\n";
    return kExitUnreadable;
  }
  const bool failed = result->mFailed > 0;
  aOut << aPath << ": " << (failed ? "FAILED, " : "ok, ")
       << result->mExpectations - result->mFailed << " of "
       << result->mExpectations << " expectations met\n";
  return failed ? kExitUnmet : kExitAllMet;
}

} // namespace

int RunReplay(std::span<const std::string> aTraces, std::ostream& aOut)
{
  int status = kExitAllMet;
  for (const auto& it : aTraces) {
    status = std::max(status, ReplayOne(it, aOut));
  }
  return status;
}

} // namespace heatherplank
