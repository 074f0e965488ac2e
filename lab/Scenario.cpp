#include "lab/Scenario.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/json/parse.hpp>

#include "lab/JsonReader.h"

namespace heatherplank::lab {

namespace json = boost::json;

namespace {

/** Runs aEach over a list member; faults of the items go to aReader. */
template<typename Each>
void ReadList(JsonReader& aReader, std::string_view aKey, const Each& aEach)
{
  const auto* found = aReader.Find(aKey);
  if (!found) {
    return;
  }
  if (!found->is_array()) {
    aReader.Complain(std::string(aKey) + " is not a list");
    return;
  }
  for (const auto& it : found->as_array()) {
    JsonReader item(it, std::string(aKey));
    aEach(item);
    if (auto fault = item.Fault(); !fault.empty()) {
      aReader.Complain(fault);
    }
  }
}

std::vector<std::string> ReadNames(JsonReader& aReader, std::string_view aKey)
{
  std::vector<std::string> names;
  const auto* found = aReader.Find(aKey);
  if (!found || !found->is_array()) {
    return names;
  }
  for (const auto& it : found->as_array()) {
    if (!it.is_string()) {
      aReader.Complain(std::string(aKey) + " holds what is no name");
      continue;
    }
    names.emplace_back(it.as_string());
  }
  return names;
}

LoadSpec ReadLoad(JsonReader& aReader)
{
  LoadSpec load;
  aReader.Read("service", load.mService);
  aReader.Read("class", load.mClass);
  aReader.Read("method", load.mMethod);
  aReader.Read("path", load.mPath);
  aReader.Read("rate", load.mRate);
  aReader.Read("flows", load.mFlows);
  aReader.Read("requests_per_flow", load.mRequestsPerFlow);
  aReader.Read("think_ms", load.mThink);
  aReader.Read("answer_bytes", load.mAnswerBytes);
  aReader.Read("body_bytes", load.mBodyBytes);
  aReader.Read("timeout_ms", load.mTimeout);
  aReader.Read("key", load.mKey);
  aReader.Read("copies", load.mCopies);
  aReader.Read("tries", load.mTries);
  aReader.Read("from_ms", load.mFrom);
  Duration until = Duration::max();
  if (aReader.Find("until_ms")) {
    aReader.Read("until_ms", until);
    load.mUntil = until;
  }
  return load;
}

void ReadFabric(JsonReader& aReader, FabricSpec& aOut)
{
  aReader.Read("delay_ms", aOut.mDelay);
  aReader.Read("loss", aOut.mLoss);
  aReader.Read("reorder", aOut.mReorder);
  aReader.Read("reorder_delay_ms", aOut.mReorderDelay);
  aReader.Read("notice_ms", aOut.mNotice);
}

ServiceTime ReadServiceTime(JsonReader& aReader)
{
  ServiceTime time;
  aReader.Read("prefix", time.mPrefix);
  aReader.Read("mean_ms", time.mMean);
  aReader.Read("spread", time.mSpread);
  return time;
}

void ReadBackend(JsonReader& aReader, BackendSpec& aOut)
{
  aReader.Read("slots", aOut.mSlots);
  aReader.Read("queue", aOut.mQueue);
  aReader.Read("cold_ms", aOut.mCold);
  aReader.Read("cold_factor", aOut.mColdFactor);
  aReader.Read("hint_lag_ms", aOut.mHintLag);
  aReader.Read("lies", aOut.mLies);
  if (aReader.Find("times")) {
    aOut.mTimes.clear();
  }
  ReadList(aReader, "times", [&](JsonReader& aItem) {
    aOut.mTimes.push_back(ReadServiceTime(aItem));
  });
}

void ReadPlatform(JsonReader& aReader, PlatformSpec& aOut)
{
  aReader.Read("writes_per_s", aOut.mWritesPerSecond);
  aReader.Read("reads_per_s", aOut.mReadsPerSecond);
  aReader.Read("delay_ms", aOut.mDelay);
}

FaultSpec ReadFault(JsonReader& aReader)
{
  FaultSpec fault;
  aReader.Read("at_ms", fault.mAt);
  aReader.Read("do", fault.mDo);
  aReader.Read("target", fault.mTarget);
  aReader.Read("from", fault.mFrom);
  aReader.Read("step_ms", fault.mStep);
  aReader.Read("value", fault.mValue);
  if (const auto* found = aReader.Find("set"); found && found->is_object()) {
    fault.mSet = found->as_object();
  }
  return fault;
}

/** Runs aEach over a member that is one object of its own. */
template<typename Each>
void ReadPart(JsonReader& aReader, std::string_view aKey, const Each& aEach)
{
  const auto* found = aReader.Find(aKey);
  if (!found) {
    return;
  }
  JsonReader part(*found, std::string(aKey));
  aEach(part);
  if (auto fault = part.Fault(); !fault.empty()) {
    aReader.Complain(fault);
  }
}

/** Runs aEach(name, reader) over the members of an object. */
template<typename Each>
void ReadMap(JsonReader& aReader, std::string_view aKey, const Each& aEach)
{
  const auto* found = aReader.Find(aKey);
  if (!found || !found->is_object()) {
    return;
  }
  for (const auto& it : found->as_object()) {
    JsonReader item(it.value(), std::string(it.key()));
    aEach(std::string(it.key()), item);
    if (auto fault = item.Fault(); !fault.empty()) {
      aReader.Complain(fault);
    }
  }
}

void ReadHosts(JsonReader& aReader, Scenario& aOut)
{
  const auto* found = aReader.Find("hosts");
  if (!found || !found->is_object()) {
    return;
  }
  for (const auto& it : found->as_object()) {
    aOut.mHosts[std::string(it.key())] = it.value().to_number<std::size_t>();
  }
}

Expectation ReadExpectation(std::string aKey, JsonReader& aReader)
{
  Expectation expectation{ std::move(aKey), {}, {} };
  double bound = 0;
  if (aReader.Find("min")) {
    aReader.Read("min", bound);
    expectation.mMin = bound;
  }
  if (aReader.Find("max")) {
    aReader.Read("max", bound);
    expectation.mMax = bound;
  }
  return expectation;
}

void ReadTop(JsonReader& aReader, Scenario& aOut)
{
  std::size_t seed = aOut.mSeed;
  aReader.Read("base", aOut.mBase);
  aReader.Read("seed", seed);
  aOut.mSeed = seed;
  aReader.Read("duration_ms", aOut.mDuration);
  aReader.Read("grace_ms", aOut.mGrace);
  aOut.mBalancers = ReadNames(aReader, "balancers");
  aOut.mSpare = ReadNames(aReader, "spare");
  ReadHosts(aReader, aOut);
  ReadList(aReader, "load",
           [&](JsonReader& aItem) { aOut.mLoad.push_back(ReadLoad(aItem)); });
  ReadPart(aReader, "fabric",
           [&](JsonReader& aPart) { ReadFabric(aPart, aOut.mFabric); });
  ReadPart(aReader, "backend",
           [&](JsonReader& aPart) { ReadBackend(aPart, aOut.mBackend); });
  ReadMap(aReader, "backends",
          [&](const std::string& aName, JsonReader& aPart) {
            aOut.mBackends[aName] = aOut.mBackend;
            ReadBackend(aPart, aOut.mBackends[aName]);
          });
  ReadPart(aReader, "platform",
           [&](JsonReader& aPart) { ReadPlatform(aPart, aOut.mPlatform); });
  ReadList(aReader, "faults", [&](JsonReader& aItem) {
    aOut.mFaults.push_back(ReadFault(aItem));
  });
  ReadMap(aReader, "expect", [&](const std::string& aKey, JsonReader& aPart) {
    aOut.mExpect.push_back(ReadExpectation(aKey, aPart));
  });
}

} // namespace

Result<json::value> ReadJsonFile(std::string_view aPath)
{
  std::ifstream file{ std::string(aPath) };
  std::stringstream text;
  text << file.rdbuf();
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::system::error_code ec;
  auto value = json::parse(text.str(), ec, {}, options);
  if (!file || ec) {
    return Fail(ErrorKind::InvalidInput,
                std::string(aPath) + " can't be read as JSON: " + ec.message(),
                "check the path and the syntax");
  }
  return value;
}

Result<Scenario> ReadScenario(std::string_view aPath)
{
  auto value = ReadJsonFile(aPath);
  if (!value) {
    return tl::unexpected(value.error());
  }
  std::filesystem::path path(aPath);
  Scenario scenario;
  scenario.mName = path.stem();
  JsonReader reader(*value, std::string(aPath));
  ReadTop(reader, scenario);
  if (auto fault = reader.Fault(); !fault.empty()) {
    return Fail(ErrorKind::InvalidInput, fault, "see docs/LAB.md");
  }
  scenario.mBase = (path.parent_path() / scenario.mBase).string();
  return scenario;
}

} // namespace heatherplank::lab
