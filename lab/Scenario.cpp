#include "lab/Scenario.h"

#include <filesystem>

#include "src/settings/JsonReader.h"
#include "src/settings/JsonText.h"

namespace heatherplank::lab {

namespace json = boost::json;

namespace {

constexpr double kMaxNumber = 1e9;

void Read(JsonReader& aReader, std::string_view aKey, double& aOut)
{
  aOut = aReader.Number(aKey, 0, kMaxNumber, aOut);
}

void Read(JsonReader& aReader, std::string_view aKey, std::size_t& aOut)
{
  aOut = static_cast<std::size_t>(
    aReader.Integer(aKey, 0, static_cast<std::int64_t>(kMaxNumber),
                    static_cast<std::int64_t>(aOut)));
}

/** Milliseconds. */
void Read(JsonReader& aReader, std::string_view aKey, Duration& aOut)
{
  using Milliseconds = std::chrono::duration<double, std::milli>;
  double number = Milliseconds(aOut).count();
  Read(aReader, aKey, number);
  aOut = std::chrono::duration_cast<Duration>(Milliseconds(number));
}

LoadSpec ReadLoad(JsonReader& aReader)
{
  LoadSpec load;
  load.mService = aReader.RequiredString("service");
  load.mClass = aReader.RequiredString("class");
  load.mMethod = aReader.String("method", load.mMethod);
  load.mPath = aReader.String("path", load.mPath);
  load.mKey = aReader.Bool("key", load.mKey);
  Read(aReader, "rate", load.mRate);
  Read(aReader, "flows", load.mFlows);
  Read(aReader, "requests_per_flow", load.mRequestsPerFlow);
  Read(aReader, "think_ms", load.mThink);
  Read(aReader, "answer_bytes", load.mAnswerBytes);
  Read(aReader, "body_bytes", load.mBodyBytes);
  Read(aReader, "timeout_ms", load.mTimeout);
  Read(aReader, "copies", load.mCopies);
  Read(aReader, "tries", load.mTries);
  return load;
}

void ReadFabric(JsonReader& aReader, FabricSpec& aOut)
{
  Read(aReader, "delay_ms", aOut.mDelay);
  Read(aReader, "loss", aOut.mLoss);
  Read(aReader, "reorder", aOut.mReorder);
  Read(aReader, "reorder_delay_ms", aOut.mReorderDelay);
  Read(aReader, "notice_ms", aOut.mNotice);
}

ServiceTime ReadServiceTime(JsonReader& aReader)
{
  ServiceTime time;
  time.mPrefix = aReader.String("prefix", "");
  Read(aReader, "mean_ms", time.mMean);
  Read(aReader, "spread", time.mSpread);
  return time;
}

void ReadBackend(JsonReader& aReader, BackendSpec& aOut)
{
  aOut.mLies = aReader.Bool("lies", aOut.mLies);
  Read(aReader, "slots", aOut.mSlots);
  Read(aReader, "queue", aOut.mQueue);
  Read(aReader, "cold_ms", aOut.mCold);
  Read(aReader, "cold_factor", aOut.mColdFactor);
  Read(aReader, "hint_lag_ms", aOut.mHintLag);
  if (aReader.Has("times")) {
    aOut.mTimes.clear();
  }
  aReader.Objects("times", [&](JsonReader& aItem) {
    aOut.mTimes.push_back(ReadServiceTime(aItem));
  });
}

void ReadPlatform(JsonReader& aReader, PlatformSpec& aOut)
{
  Read(aReader, "writes_per_s", aOut.mWritesPerSecond);
  Read(aReader, "reads_per_s", aOut.mReadsPerSecond);
  Read(aReader, "delay_ms", aOut.mDelay);
}

FaultSpec ReadFault(JsonReader& aReader)
{
  FaultSpec fault;
  Read(aReader, "at_ms", fault.mAt);
  fault.mDo = aReader.RequiredString("do");
  fault.mTarget = aReader.String("target", "");
  fault.mFrom = aReader.String("from", "");
  Read(aReader, "step_ms", fault.mStep);
  Read(aReader, "value", fault.mValue);
  return fault;
}

Expectation ReadExpectation(std::string aKey, JsonReader& aReader)
{
  Expectation expectation{ std::move(aKey), {}, {} };
  if (aReader.Has("min")) {
    expectation.mMin = aReader.Number("min", 0, kMaxNumber, 0);
  }
  if (aReader.Has("max")) {
    expectation.mMax = aReader.Number("max", 0, kMaxNumber, 0);
  }
  return expectation;
}

void ReadTop(JsonReader& aReader, Scenario& aOut)
{
  aOut.mBase = aReader.RequiredString("base");
  Read(aReader, "seed", aOut.mSeed);
  Read(aReader, "duration_ms", aOut.mDuration);
  Read(aReader, "grace_ms", aOut.mGrace);
  if (aReader.Has("vouch_after_ms")) {
    aOut.mConfirmAfter = Duration::zero();
    Read(aReader, "vouch_after_ms", *aOut.mConfirmAfter);
  }
  aOut.mBalancers = aReader.Strings("balancers");
  aOut.mSpare = aReader.Strings("spare");
  aReader.Objects(
    "load", [&](JsonReader& aItem) { aOut.mLoad.push_back(ReadLoad(aItem)); });
  aReader.Object("fabric",
                 [&](JsonReader& aPart) { ReadFabric(aPart, aOut.mFabric); });
  aReader.Object("backend",
                 [&](JsonReader& aPart) { ReadBackend(aPart, aOut.mBackend); });
  aReader.Object("platform", [&](JsonReader& aPart) {
    ReadPlatform(aPart, aOut.mPlatform);
  });
  aReader.Objects("faults", [&](JsonReader& aItem) {
    aOut.mFaults.push_back(ReadFault(aItem));
  });
}

/** Removes a member from an object and returns it, or an empty object. Its keys
 * are names, which JsonReader would report as unknown. */
json::object TakeMap(json::object& aFrom, std::string_view aKey)
{
  json::object map;
  if (auto* found = aFrom.if_contains(aKey); found && found->is_object()) {
    map = std::move(found->as_object());
    aFrom.erase(aKey);
  }
  return map;
}

/** Calls aEach(name, reader) for each object in a map. */
template<typename Each>
void ReadMap(const json::object& aMap, const std::string& aPath,
             JsonFaults& aFaults, const Each& aEach)
{
  for (const auto& it : aMap) {
    std::string name(it.key());
    std::string path = aPath;
    path.append(".").append(name);
    const auto* object = it.value().if_object();
    if (!object) {
      aFaults.Add(path, "no object", "write one");
      continue;
    }
    JsonReader reader(*object, path, aFaults);
    aEach(name, reader);
    reader.Finish();
  }
}

/** Removes and returns the configuration changes of each fault, in order. */
std::vector<json::object> TakeChanges(json::object& aFrom)
{
  std::vector<json::object> changes;
  auto* faults = aFrom.if_contains("faults");
  if (faults && faults->is_array()) {
    for (auto& it : faults->as_array()) {
      changes.push_back(it.is_object() ? TakeMap(it.as_object(), "set")
                                       : json::object());
    }
  }
  return changes;
}

Scenario ReadObject(json::object aFrom, JsonFaults& aFaults)
{
  Scenario scenario;
  auto hosts = TakeMap(aFrom, "hosts");
  auto backends = TakeMap(aFrom, "backends");
  auto expect = TakeMap(aFrom, "expect");
  auto changes = TakeChanges(aFrom);
  JsonReader reader(aFrom, "", aFaults);
  ReadTop(reader, scenario);
  reader.Finish();
  for (std::size_t i = 0; i < scenario.mFaults.size(); ++i) {
    scenario.mFaults[i].mSet = std::move(changes[i]);
  }
  ReadMap(backends, "backends", aFaults,
          [&](const std::string& aName, JsonReader& aPart) {
            auto& spec = scenario.mBackends[aName] = scenario.mBackend;
            ReadBackend(aPart, spec);
          });
  ReadMap(expect, "expect", aFaults,
          [&](const std::string& aKey, JsonReader& aPart) {
            scenario.mExpect.push_back(ReadExpectation(aKey, aPart));
          });
  JsonReader counts(hosts, "hosts", aFaults);
  for (const auto& it : hosts) {
    Read(counts, it.key(), scenario.mHosts[std::string(it.key())]);
  }
  return scenario;
}

} // namespace

Result<json::value> ReadJsonFile(const std::string& aPath)
{
  auto text = ReadFile(aPath);
  if (!text) {
    return tl::unexpected(text.error());
  }
  JsonFaults faults(aPath);
  auto value = ParseJsonText(*text, faults);
  if (!value) {
    return tl::unexpected(faults.ToError());
  }
  return std::move(*value);
}

Result<Scenario> ReadScenario(const std::string& aPath)
{
  auto value = ReadJsonFile(aPath);
  if (!value) {
    return tl::unexpected(value.error());
  }
  JsonFaults faults(aPath);
  Scenario scenario;
  if (value->is_object()) {
    scenario = ReadObject(std::move(value->as_object()), faults);
  } else {
    faults.Add("", "no object", "see docs/LAB.md");
  }
  if (!faults.IsEmpty()) {
    return tl::unexpected(faults.ToError());
  }
  std::filesystem::path path(aPath);
  scenario.mName = path.stem();
  scenario.mBase = (path.parent_path() / scenario.mBase).string();
  return scenario;
}

} // namespace heatherplank::lab
