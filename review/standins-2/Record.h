#pragma once

#include <chrono>
#include <cstdio>
#include <string>

#include "include/heatherplank/Clock.h"

namespace heatherplank::review {

/** The file that lists what was sent, answered and run. Each line begins with
 * the milliseconds since the record was opened. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(std::fopen(aPath.c_str(), "w"))
    , mStart(std::chrono::steady_clock::now())
  {
  }
  ~Record()
  {
    if (mFile != nullptr) {
      std::fclose(mFile);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  bool IsOpen() const { return mFile != nullptr; }

  std::int64_t Milliseconds(Time aTime) const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime - mStart)
      .count();
  }

  void Line(const std::string& aText)
  {
    std::fprintf(
      mFile, "%7lld %s\n",
      static_cast<long long>(Milliseconds(std::chrono::steady_clock::now())),
      aText.c_str());
    std::fflush(mFile);
  }

private:
  std::FILE* mFile;
  const Time mStart;
};

} // namespace heatherplank::review
