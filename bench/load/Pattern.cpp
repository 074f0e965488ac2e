#include "bench/load/Pattern.h"

#include <chrono>
#include <random>

namespace heatherplank::bench {

namespace {

using namespace std::chrono_literals;
using replay::Arrival;
using replay::Behaviour;
using replay::Player;
using replay::PlayerOptions;
using replay::Returning;
using replay::Tally;

constexpr std::uint16_t kClaims = 0;
constexpr std::uint16_t kChecks = 1;
constexpr std::uint16_t kDocuments = 2;
constexpr double kSlots = 14;
constexpr std::uint32_t kQueueLimit = 256;

// The rate at which requests of a length fill a share of the desk's slots.
double Rate(double aShare, double aTakesMs, double aSlots = kSlots)
{
  return aShare * aSlots * 1000.0 / aTakesMs;
}

Rule MakeRule(std::string aName, Importance aImportance, bool aNeverRepeat,
              bool aMayWait, Duration aDeadline)
{
  Rule rule;
  rule.mName = std::move(aName);
  rule.mImportance = aImportance;
  rule.mNeverRepeat = aNeverRepeat;
  rule.mMayWait = aMayWait;
  rule.mDeadline = aDeadline;
  rule.mQueueLimit = kQueueLimit;
  return rule;
}

Service MakeService(std::string aName, int aHosts, std::vector<Rule> aRules)
{
  Service service;
  service.mName = std::move(aName);
  for (int i = 0; i < aHosts; ++i) {
    ExpectedHost host;
    host.mName = service.mName + "-" + std::to_string(i);
    service.mHosts.push_back(host);
  }
  service.mSlotsPerHost = 2;
  service.mRules = std::move(aRules);
  return service;
}

Duration Seconds(double aSeconds)
{
  const std::chrono::duration<double> seconds(aSeconds);
  return std::chrono::duration_cast<Duration>(seconds);
}

void Schedule(Player& aPlayer, const Stream& aStream, std::uint64_t aSeed)
{
  std::mt19937_64 rng(aSeed);
  std::exponential_distribution<double> gap(aStream.mPerSecond);
  std::exponential_distribution<double> takes(1000.0 / aStream.mTakesMs);
  std::uint64_t number = 0;
  for (double at = aStream.mFromS + gap(rng); at < aStream.mUntilS;
       at += gap(rng)) {
    Arrival arrival;
    arrival.mClass = aStream.mClass;
    arrival.mGroup = aStream.mGroup;
    const auto callers = aStream.mCallers;
    const auto caller = callers == 0 ? number : number % callers;
    arrival.mCaller = MixHash(aSeed, caller);
    arrival.mFlow = arrival.mCaller;
    arrival.mTakes = Seconds(takes(rng));
    ++number;
    aPlayer.At(Seconds(at), [&aPlayer, arrival] { aPlayer.Arrive(arrival); });
  }
}

std::vector<Stream> DeskAt(double aShare)
{
  return { { kClaims, Rate(aShare * 0.2, 40), 40 },
           { kChecks, Rate(aShare * 0.5, 20), 20 },
           { kDocuments, Rate(aShare * 0.3, 100), 100 } };
}

void AtSecond(Player& aPlayer, double aAt, std::size_t aHost,
              Behaviour aBehaviour)
{
  aPlayer.At(Seconds(aAt), [&aPlayer, aHost, aBehaviour] {
    aPlayer.Behave(aHost, aBehaviour);
  });
}

Pattern Burst()
{
  Pattern pattern{ "burst", MarineDesk(), DeskAt(0.5), {} };
  pattern.mStreams.push_back({ kChecks, 8000, 20, 3, 3.1 });
  return pattern;
}

Pattern BusyCallers()
{
  Pattern pattern{ "busy callers", MarineDesk(), DeskAt(0.6), {} };
  pattern.mStreams.push_back({ kChecks, Rate(1.2, 20), 20, 0, 10, 3, "busy" });
  return pattern;
}

Pattern SlowHost()
{
  Pattern pattern{ "slow backend server", MarineDesk(), DeskAt(0.6), {} };
  pattern.mChanges = [](Player& aPlayer) {
    AtSecond(aPlayer, 2, 0, { .mSlowness = 10 });
  };
  return pattern;
}

Pattern LongAmongShort()
{
  Pattern pattern{ "long among short", MarineDesk(), {}, {} };
  pattern.mStreams = { { kClaims, Rate(0.2, 40), 40 },
                       { kChecks, Rate(0.3, 20), 20 },
                       { kDocuments, Rate(0.8, 2500), 2500 } };
  return pattern;
}

Pattern Saturation()
{
  return { "saturation, 2x", MarineDesk(), DeskAt(2.0), {} };
}

Pattern ClaimsSaturation()
{
  return { "claims alone at 2x",
           MarineDesk(),
           { { kClaims, Rate(2.0, 40), 40, 0, 30 } },
           {} };
}

Pattern ReservationSaturation()
{
  return { "reservations alone at 2x",
           Agenda(),
           { { 0, Rate(2.0, 40), 40, 0, 30 }, { 1, Rate(0.5, 20), 20, 0, 30 } },
           {} };
}

Pattern DocumentSaturation()
{
  return { "documents alone at 2x",
           DocArchive(),
           { { 0, Rate(2.0, 100, 6), 100, 0, 30 } },
           {} };
}

Pattern ColdStart()
{
  Pattern pattern{ "cold start", MarineDesk(), DeskAt(0.7), {} };
  pattern.mChanges = [](Player& aPlayer) {
    aPlayer.At(2s, [&aPlayer] { aPlayer.ColdStart(0); });
    aPlayer.At(2s, [&aPlayer] { aPlayer.ColdStart(1); });
  };
  return pattern;
}

Pattern LyingEndpoints()
{
  Pattern pattern{ "lying endpoints", MarineDesk(), DeskAt(0.6), {} };
  pattern.mChanges = [](Player& aPlayer) {
    AtSecond(aPlayer, 2, 0, { .mFails = true });
    aPlayer.At(2s, [&aPlayer] { aPlayer.Hint(0, true); });
    aPlayer.At(2s, [&aPlayer] { aPlayer.Hint(1, false); });
  };
  return pattern;
}

Pattern RetryStorm()
{
  Pattern pattern{ "retry storm", MarineDesk(), DeskAt(0.8), {} };
  pattern.mReturning = Returning::AsTold;
  pattern.mMostReturns = 5;
  pattern.mChanges = [](Player& aPlayer) {
    for (std::size_t i = 0; i < 4; ++i) {
      AtSecond(aPlayer, 2, i, { .mDown = true });
      AtSecond(aPlayer, 4, i, {});
    }
  };
  return pattern;
}

Pattern PlatformOutage()
{
  Pattern pattern{ "platform outage", MarineDesk(), DeskAt(0.6), {} };
  pattern.mReturning = Returning::AsTold;
  pattern.mMostReturns = 5;
  pattern.mChanges = [](Player& aPlayer) {
    aPlayer.At(3s, [&aPlayer] { aPlayer.SetPlatform(false); });
    aPlayer.At(6s, [&aPlayer] { aPlayer.SetPlatform(true); });
  };
  return pattern;
}

// What a service's callers send, by class, as shares of its slots.
std::vector<Stream> Mix(const Service& aService, double aShare,
                        std::uint64_t aCallers)
{
  const auto slots = static_cast<double>(aService.mHosts.size() * 2);
  if (aService.mRules.size() == 1) {
    return { { 0, Rate(aShare, 100, slots), 100, 0, 20, aCallers } };
  }
  return { { 0, Rate(aShare * 0.3, 40, slots), 40, 0, 20, aCallers },
           { 1, Rate(aShare * 0.7, 20, slots), 20, 0, 20, aCallers } };
}

} // namespace

Tally Play(const Pattern& aPattern, PlayerOptions aOptions)
{
  aOptions.mService = aPattern.mService;
  aOptions.mReturning = aPattern.mReturning;
  aOptions.mMostReturns = aPattern.mMostReturns;
  auto player = Player::Make(aOptions).value();
  std::uint64_t seed = aOptions.mSeed;
  for (const auto& it : aPattern.mStreams) {
    Schedule(*player, it, ++seed);
  }
  if (aPattern.mChanges) {
    aPattern.mChanges(*player);
  }
  player->RunToEnd();
  return player->GetTally();
}

Service MarineDesk()
{
  return MakeService(
    "desk", 7,
    { MakeRule("claims", Importance::Critical, true, false, 2s),
      MakeRule("checks", Importance::High, false, false, 1s),
      MakeRule("documents", Importance::Low, false, true, 10s) });
}

Service CoverDesk()
{
  return MakeService(
    "cover-desk", 7,
    { MakeRule("claims", Importance::Critical, true, false, 2s),
      MakeRule("checks", Importance::High, false, false, 1s) });
}

Service DocArchive()
{
  return MakeService(
    "doc-archive", 3,
    { MakeRule("documents", Importance::Low, false, true, 10s) });
}

Service Agenda()
{
  return MakeService(
    "agenda", 7,
    { MakeRule("reservations", Importance::Critical, true, false, 1s),
      MakeRule("slots", Importance::High, false, false, 1s) });
}

Service Catalogo()
{
  return MakeService(
    "catalogo", 3,
    { MakeRule("photos", Importance::Normal, false, false, 2s) });
}

std::vector<Pattern> AdmissionPatterns()
{
  return { Burst(),
           BusyCallers(),
           SlowHost(),
           LongAmongShort(),
           Saturation(),
           ClaimsSaturation(),
           ReservationSaturation(),
           DocumentSaturation(),
           ColdStart(),
           LyingEndpoints(),
           RetryStorm(),
           PlatformOutage() };
}

std::vector<Pattern> BalancingPatterns(const Service& aService)
{
  Pattern even{ "even, 70 %", aService, Mix(aService, 0.7, 0), {} };
  Pattern rush{ "rush, 120 %", aService, Mix(aService, 1.2, 0), {} };
  Pattern flows{ "40 long flows, 70 %", aService, Mix(aService, 0.7, 40), {} };
  Pattern slow{ "a slow host, 60 %", aService, Mix(aService, 0.6, 0), {} };
  slow.mChanges = [](Player& aPlayer) {
    AtSecond(aPlayer, 2, 0, { .mSlowness = 5 });
  };
  return { even, rush, flows, slow };
}

} // namespace heatherplank::bench
