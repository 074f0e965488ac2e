#include "src/replay/TraceReader.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <ostream>

namespace heatherplank::replay {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, 7> kEventNames{
  "fleet", "requests", "host", "platform", "reset", "end", "expect"
};
constexpr std::array<std::string_view, 4> kImportanceNames{ "low", "normal",
                                                            "high",
                                                            "critical" };
constexpr std::array<std::string_view, 3> kReturningNames{ "never", "as-told",
                                                           "at-once" };
constexpr std::array<std::string_view, 2> kOrderNames{ "importance", "share" };
constexpr std::array<std::string_view, 2> kTakesNames{ "fixed", "exponential" };
constexpr std::array<std::string_view, 2> kArrivalsNames{ "even", "poisson" };
constexpr double kMaxMs = 3'600'000;
constexpr std::int64_t kMaxRequests = 1'000'000;

Duration FromMs(double aMs)
{
  const std::chrono::duration<double, std::milli> ms(aMs);
  return std::chrono::duration_cast<Duration>(ms);
}

template<std::size_t N>
std::size_t IndexIn(const std::array<std::string_view, N>& aNames,
                    std::string_view aName)
{
  const auto it = std::ranges::find(aNames, aName);
  return static_cast<std::size_t>(it - aNames.begin());
}

// Returns aMean, or a sample of the exponential distribution with that mean.
double Draw(double aMean, bool aIsExponential, std::mt19937_64& aRng)
{
  if (!aIsExponential || aMean <= 0) {
    return aMean;
  }
  return std::exponential_distribution<double>(1.0 / aMean)(aRng);
}

struct GuardName
{
  std::string_view mName;
  bool AdmissionGuards::*mGuard;
};

constexpr std::array<GuardName, 7> kGuardNames{ {
  { "early_refusal", &AdmissionGuards::mEarlyRefusal },
  { "reservation", &AdmissionGuards::mReservation },
  { "fairness", &AdmissionGuards::mFairness },
  { "probe", &AdmissionGuards::mProbe },
  { "spread_returns", &AdmissionGuards::mSpreadRetryTimes },
  { "standing_queue", &AdmissionGuards::mStandingQueue },
  { "hand_on_hysteresis", &AdmissionGuards::mForwardHysteresis },
} };

void DisableGuards(AdmissionGuards& aGuards, JsonReader& aReader)
{
  for (const auto& name : aReader.Strings("guards_off")) {
    const auto it = std::ranges::find(kGuardNames, name, &GuardName::mName);
    if (it == kGuardNames.end()) {
      aReader.AddFault("guards_off", "no guard is named \"" + name + "\"",
                       "see AdmissionGuards in docs/DECISIONS.md");
      continue;
    }
    aGuards.*(it->mGuard) = false;
  }
}

} // namespace

TraceReader::TraceReader(std::ostream& aOut)
  : mOut(&aOut)
{
}

std::optional<Error> TraceReader::Read(const std::string& aLocation,
                                       std::string_view aLine)
{
  mLocation = aLocation;
  JsonFaults faults(aLocation);
  mFaults = &faults;
  ReadJsonDocument(aLine, faults, [this](JsonReader& aIt) { ReadEvent(aIt); });
  if (!faults.IsEmpty()) {
    return faults.ToError();
  }
  return std::nullopt;
}

Result<TraceResult> TraceReader::Finish(std::string_view aName) const
{
  if (mResult.mExpectations == 0) {
    return Fail(ErrorKind::InvalidInput,
                std::string(aName) + ": the trace contains no expectation",
                "add lines with \"event\": \"expect\"");
  }
  return mResult;
}

void TraceReader::ReadEvent(JsonReader& aReader)
{
  const std::string event = aReader.Choice("event", kEventNames, "");
  const auto last = static_cast<double>(mAt / 1ms);
  const double at = aReader.Number("at_ms", last, kMaxMs, last);
  if (!mFaults->IsEmpty()) {
    return;
  }
  if (event == "fleet") {
    ReadFleet(aReader);
    return;
  }
  if (!mPlayer) {
    aReader.AddFault("event", "\"" + event + "\" precedes the event \"fleet\"",
                     "begin the trace with an event \"fleet\"");
    return;
  }
  mAt = std::max(mAt, FromMs(at));
  mPlayer->RunUntil(mAt);
  if (event == "requests") {
    ReadRequests(aReader);
  } else if (event == "host") {
    ReadHost(aReader);
  } else if (event == "platform") {
    mPlayer->SetPlatform(aReader.Bool("up", true));
  } else if (event == "reset") {
    mPlayer->ResetTally();
  } else if (event == "end") {
    mPlayer->RunToEnd();
    mAt = mPlayer->Now();
  } else {
    ReadExpect(aReader);
  }
}

void TraceReader::ReadFleet(JsonReader& aReader)
{
  PlayerOptions options;
  mService = {};
  mService.mName = aReader.RequiredString("service");
  const auto hosts = aReader.RequiredInteger("hosts", 1, 64);
  for (std::int64_t i = 0; i < hosts; ++i) {
    ExpectedHost host;
    host.mName = mService.mName + "-" + std::to_string(i);
    mService.mHosts.push_back(host);
  }
  mService.mSlotsPerHost =
    static_cast<std::uint16_t>(aReader.Integer("slots", 1, 64, 2));
  aReader.Objects("rules",
                  [this](JsonReader& aIt) { ReadRule(aIt, mService); });
  options.mService = mService;
  options.mAdmission = aReader.String("admission", "reservation");
  options.mBalancing = aReader.String("balancing", "two-choices");
  options.mOrder = static_cast<ClassOrder>(
    IndexIn(kOrderNames, aReader.Choice("order", kOrderNames, "importance")));
  DisableGuards(options.mGuards, aReader);
  options.mOutlier = aReader.String("outlier", "compared");
  options.mSlowStart = aReader.String("slow_start", "time");
  options.mRetryBudget = aReader.Bool("retry_budget", true);
  options.mReturning = static_cast<Returning>(IndexIn(
    kReturningNames, aReader.Choice("returning", kReturningNames, "never")));
  options.mMostReturns =
    static_cast<std::uint32_t>(aReader.Integer("most_returns", 0, 1000, 0));
  options.mSeed =
    static_cast<std::uint64_t>(aReader.Integer("seed", 1, 1 << 30, 1));
  mRng.seed(options.mSeed);
  auto made = Player::Make(options);
  if (!made) {
    aReader.AddFault("fleet", made.error().mMessage, made.error().mRemedy);
    return;
  }
  mPlayer = std::move(*made);
  mAt = {};
}

void TraceReader::ReadRule(JsonReader& aReader, Service& aService)
{
  Rule rule;
  rule.mName = aReader.RequiredString("name");
  rule.mImportance = static_cast<Importance>(
    IndexIn(kImportanceNames,
            aReader.Choice("importance", kImportanceNames, "normal")));
  rule.mNeverRepeat = aReader.Bool("never_repeat", false);
  rule.mMayWait = aReader.Bool("may_wait", false);
  rule.mDeadline = FromMs(aReader.Number("deadline_ms", 1, kMaxMs, 2000));
  rule.mQueueLimit =
    static_cast<std::uint32_t>(aReader.Integer("queue_limit", 1, 100000, 64));
  aService.mRules.push_back(rule);
}

std::optional<std::uint16_t> TraceReader::ReadClassIndex(JsonReader& aReader)
{
  const std::string name = aReader.RequiredString("class");
  const auto& rules = mService.mRules;
  const auto it = std::ranges::find(rules, name, &Rule::mName);
  if (it == rules.end() && name != "default") {
    aReader.AddFault("class", "no rule is named \"" + name + "\"",
                     "use a rule of the fleet, or \"default\"");
    return std::nullopt;
  }
  return static_cast<std::uint16_t>(it - rules.begin());
}

void TraceReader::ReadRequests(JsonReader& aReader)
{
  const auto index = ReadClassIndex(aReader);
  const auto count = aReader.RequiredInteger("count", 1, kMaxRequests);
  const double meanInterval = aReader.Number("every_ms", 0, kMaxMs, 0);
  const bool isPoisson =
    aReader.Choice("arrivals", kArrivalsNames, "even") == kArrivalsNames[1];
  const double meanDuration = aReader.Number("takes_ms", 0.001, kMaxMs, 20);
  const bool isExponential =
    aReader.Choice("takes", kTakesNames, "fixed") == kTakesNames[1];
  const std::string caller = aReader.String("caller", "anyone");
  const auto callers = aReader.Integer("callers", 1, kMaxRequests,
                                       aReader.Has("caller") ? 1 : count);
  const std::string group = aReader.String("group", "");
  Arrival arrival;
  arrival.mDeadline = FromMs(aReader.Number("deadline_ms", 0, kMaxMs, 0));
  arrival.mSize =
    static_cast<std::uint32_t>(aReader.Integer("size", 0, 1 << 30, 0));
  if (!mFaults->IsEmpty()) {
    return;
  }
  arrival.mClass = *index;
  arrival.mGroup = group;
  const std::uint64_t callerSeed = HashBytes(caller, ++mRequestEvents);
  const bool hasCaller = aReader.Has("caller");
  double at = 0;
  for (std::int64_t i = 0; i < count; ++i) {
    const auto number = static_cast<std::uint64_t>(i % callers);
    arrival.mCaller =
      MixHash(hasCaller ? HashBytes(caller) : callerSeed, number);
    arrival.mFlow = arrival.mCaller;
    arrival.mTakes = FromMs(Draw(meanDuration, isExponential, mRng));
    Player* player = mPlayer.get();
    player->At(mAt + FromMs(at), [=] { player->Arrive(arrival); });
    at += Draw(meanInterval, isPoisson, mRng);
  }
}

void TraceReader::ReadHost(JsonReader& aReader)
{
  const auto last = static_cast<std::int64_t>(mPlayer->Hosts()) - 1;
  const auto host =
    static_cast<std::size_t>(aReader.RequiredInteger("host", 0, last));
  Behaviour behaviour;
  behaviour.mSlowness = aReader.Number("slowness", 0.01, 1000, 1);
  behaviour.mFails = aReader.Bool("fails", false);
  behaviour.mSheds = aReader.Bool("sheds", false);
  behaviour.mDown = aReader.Bool("down", false);
  const bool isCold = aReader.Bool("cold", false);
  const bool drains = aReader.Bool("drain", false);
  const auto slots = aReader.Integer("slots", 0, 64, -1);
  const bool isHealthy = aReader.Bool("says_healthy", true);
  if (!mFaults->IsEmpty()) {
    return;
  }
  mPlayer->Behave(host, behaviour);
  mPlayer->Hint(host, isHealthy);
  if (isCold) {
    mPlayer->ColdStart(host);
  }
  if (drains) {
    mPlayer->Drain(host);
  }
  if (slots >= 0) {
    mPlayer->SetSlots(host, static_cast<std::uint32_t>(slots));
  }
}

void TraceReader::ReadExpect(JsonReader& aReader)
{
  constexpr double kUnbounded = std::numeric_limits<double>::max();
  const std::string figure = aReader.RequiredString("figure");
  const std::string className = aReader.String("class", "");
  const std::string host = aReader.String("host", "");
  const double min =
    aReader.Number("at_least", -kUnbounded, kUnbounded, -kUnbounded);
  const double max =
    aReader.Number("at_most", -kUnbounded, kUnbounded, kUnbounded);
  if (!aReader.Has("at_least") && !aReader.Has("at_most")) {
    aReader.AddFault("figure", "the expectation has no bound",
                     "add at_least, at_most or both");
  }
  const auto actual = mPlayer->GetTally().Figure(figure, className, host);
  if (!actual) {
    aReader.AddFault(
      "figure", "no figure \"" + figure + "\" for the named class or host",
      "use a class or host of the fleet, and one of " + FigureNames());
  }
  if (mFaults->IsEmpty()) {
    const std::string subject = className.empty() ? host : className;
    const std::string suffix = subject.empty() ? "" : " of " + subject;
    Check(*actual, min, max, figure + suffix);
  }
}

void TraceReader::Check(double aActual, double aMin, double aMax,
                        const std::string& aFigure)
{
  ++mResult.mExpectations;
  if (aActual >= aMin && aActual <= aMax) {
    return;
  }
  ++mResult.mFailed;
  constexpr double kUnbounded = std::numeric_limits<double>::max();
  *mOut << mLocation << ": expected " << aFigure;
  if (aMin > -kUnbounded) {
    *mOut << " at least " << aMin;
  }
  if (aMax < kUnbounded) {
    *mOut << " at most " << aMax;
  }
  *mOut << ", got " << aActual << "\n";
}

} // namespace heatherplank::replay
