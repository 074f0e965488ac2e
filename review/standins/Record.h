#pragma once

#include <chrono>
#include <cstdio>
#include <string>

namespace heatherplank::review {

/** Writes lines with the time since the start of the case to a file. */
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

  void Line(const std::string& aText)
  {
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - mStart);
    std::fprintf(mFile, "%7.3f %s\n", static_cast<double>(ms.count()) / 1000,
                 aText.c_str());
  }

private:
  std::FILE* mFile;
  std::chrono::steady_clock::time_point mStart;
};

} // namespace heatherplank::review
