#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/replay/Player.h"

namespace heatherplank::bench {

/** Requests of one class at a steady rate, arrivals and lengths drawn from the
 * exponential law. */
struct Stream
{
  std::uint16_t mClass = 0;
  double mPerSecond = 0;
  double mTakesMs = 0;
  double mFromS = 0;
  double mUntilS = 10;
  /** Callers that send them in turn; 0 for a new one each time. */
  std::uint64_t mCallers = 0;
  /** Counted apart, if named. */
  std::string mGroup{};
};

/** A pattern of load: who sends what, and what happens to the hosts. */
struct Pattern
{
  std::string mName;
  Service mService;
  std::vector<Stream> mStreams;
  std::function<void(replay::Player&)> mChanges;
  replay::Returning mReturning = replay::Returning::Never;
  std::uint32_t mMostReturns = 0;
};

/** Plays a pattern to its end. Precondition: aOptions is playable. */
replay::Tally Play(const Pattern& aPattern, replay::PlayerOptions aOptions);

/** The marine utility's front desk, with documents on the same hosts as the
 * hardest case: 7 hosts; classes claims, checks, documents. */
Service MarineDesk();
/** The marine utility's services as they are. */
Service CoverDesk();
Service DocArchive();
/** The tailoring shops' services. */
Service Agenda();
Service Catalogo();

/** The patterns that the admissions are compared under. */
std::vector<Pattern> AdmissionPatterns();
/** The patterns that the balancing policies are compared under. */
std::vector<Pattern> BalancingPatterns(const Service& aService);

} // namespace heatherplank::bench
