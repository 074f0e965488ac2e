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

/** Reads a trace line by line and has a player play it. Not thread safe. */
class TraceReader
{
public:
  /** Outcomes that did not come are written to aOut, which must outlive this.
   */
  explicit TraceReader(std::ostream& aOut);

  /** Plays one line; aPlace ("FILE:LINE") names it in messages. An error says
   * what was found in it and the remedy, and ends the trace. */
  std::optional<Error> Read(const std::string& aPlace, std::string_view aLine);

  /** The result, after the last line; InvalidInput if the trace states no
   * outcome at all. */
  Result<TraceResult> Finish(std::string_view aName) const;

private:
  void ReadEvent(JsonReader& aReader);
  void ReadFleet(JsonReader& aReader);
  void ReadRule(JsonReader& aReader, Service& aService);
  void ReadRequests(JsonReader& aReader);
  void ReadHost(JsonReader& aReader);
  void ReadExpect(JsonReader& aReader);
  std::optional<std::uint16_t> ClassNamed(JsonReader& aReader);
  void Check(double aGot, double aLeast, double aMost,
             const std::string& aWhat);

  std::ostream* mOut;
  std::string mPlace;
  Service mService;
  std::unique_ptr<Player> mPlayer;
  std::mt19937_64 mRng;
  std::uint64_t mFlows = 0;
  Duration mAt{};
  TraceResult mResult;
  JsonFaults* mFaults = nullptr;
};

} // namespace heatherplank::replay
