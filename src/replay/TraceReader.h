#pragma once

#include <iosfwd>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "include/heatherplank/Error.h"
#include "src/replay/Player.h"
#include "src/replay/Trace.h"
#include "src/settings/JsonReader.h"

namespace heatherplank::replay {

/** Reads a trace line by line and plays each line with a Player. Not thread
 * safe. */
class TraceReader
{
public:
  /** Expectations that are not met are written to aOut, which must outlive this
   * object. */
  explicit TraceReader(std::ostream& aOut);

  /** Plays one line; aLocation ("FILE:LINE") is its position in messages. An
   * error contains the fault and its remedy; no line may be read after it. */
  std::optional<Error> Read(const std::string& aLocation,
                            std::string_view aLine);

  /** The result, after the last line; InvalidInput if the trace contains no
   * expectation. */
  Result<TraceResult> Finish(std::string_view aName) const;

private:
  void ReadEvent(JsonReader& aReader);
  void ReadFleet(JsonReader& aReader);
  void ReadRule(JsonReader& aReader, Service& aService);
  void ReadRequests(JsonReader& aReader);
  void ReadHost(JsonReader& aReader);
  void ReadExpect(JsonReader& aReader);
  std::optional<std::uint16_t> ReadClassIndex(JsonReader& aReader);
  void Check(double aActual, double aMin, double aMax,
             const std::string& aFigure);

  std::ostream* mOut;
  std::string mLocation;
  Service mService;
  std::unique_ptr<Player> mPlayer;
  std::mt19937_64 mRng;
  std::uint64_t mRequestEvents = 0;
  // The time of the last event, since the start of the replay.
  Duration mAt{};
  TraceResult mResult;
  JsonFaults* mFaults = nullptr;
};

} // namespace heatherplank::replay
