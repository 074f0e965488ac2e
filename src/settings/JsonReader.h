#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "include/heatherplank/Error.h"

namespace heatherplank {

/** One thing wrong with a JSON document. */
struct JsonFault
{
  /** Where, as "services[2].rules[0].importance"; empty for the whole. */
  std::string mPath;
  std::string mFound;
  std::string mRemedy;
};

/** All faults of one document, so that they can be mended in one go. Not
 * thread safe.
 */
class JsonFaults
{
public:
  /** aFile names the document in messages. */
  explicit JsonFaults(std::string aFile);

  void Add(std::string aPath, std::string aFound, std::string aRemedy);

  bool IsEmpty() const { return mFaults.empty(); }
  const std::string& File() const { return mFile; }
  std::span<const JsonFault> All() const { return mFaults; }

  /** One line a fault: "<file>: <path>: <found>; <remedy>". */
  std::string Describe() const;
  /** All of them as one InvalidInput error. Precondition: not empty. */
  Error ToError() const;

private:
  std::string mFile;
  std::vector<JsonFault> mFaults;
};

/** Reads the keys of one JSON object, each by its type and range. A wrong or
 * missing value is noted as a fault and the fallback is given back, so that
 * reading goes on and finds the other faults. Not thread safe; the object and
 * the faults must outlive it.
 */
class JsonReader
{
public:
  JsonReader(const boost::json::object& aObject, std::string aPath,
             JsonFaults& aFaults);

  /** The path of a key, for faults that the caller finds itself. */
  std::string PathOf(std::string_view aKey) const;
  const std::string& Path() const { return mPath; }
  bool Has(std::string_view aKey) const { return mObject->contains(aKey); }
  void AddFault(std::string_view aKey, std::string aFound,
                std::string aRemedy) const;
  /** All keys, for objects whose keys are names. */
  std::vector<std::string> Keys() const;

  /** A string that must be there and not be empty. */
  std::string RequiredString(std::string_view aKey);
  std::string String(std::string_view aKey, std::string aFallback);
  /** One of the allowed strings. */
  std::string Choice(std::string_view aKey,
                     std::span<const std::string_view> aAllowed,
                     std::string aFallback);
  bool Bool(std::string_view aKey, bool aFallback);
  /** A whole number from aMin to aMax. */
  std::int64_t Integer(std::string_view aKey, std::int64_t aMin,
                       std::int64_t aMax, std::int64_t aFallback);
  /** As Integer, but the key must be there. */
  std::int64_t RequiredInteger(std::string_view aKey, std::int64_t aMin,
                               std::int64_t aMax);
  /** A number, whole or not, from aMin to aMax. */
  double Number(std::string_view aKey, double aMin, double aMax,
                double aFallback);
  /** A list of strings that are not empty; none if the key is missing. */
  std::vector<std::string> Strings(std::string_view aKey);

  using Visit = std::function<void(JsonReader&)>;
  /** Visits the object at a key if it is there, then checks it for unknown
   * keys. False if the key is missing or not an object. */
  bool Object(std::string_view aKey, const Visit& aVisit);
  /** Visits each object of the list at a key, in order. */
  void Objects(std::string_view aKey, const Visit& aVisit);

  /** Notes keys that nobody asked for, with the nearest known key as the
   * remedy. Call it once, after the last key was read. */
  void Finish();

private:
  const boost::json::value* Find(std::string_view aKey);
  const boost::json::value* Require(std::string_view aKey);
  void WrongType(std::string_view aKey, const boost::json::value& aValue,
                 std::string_view aWanted) const;

  const boost::json::object* mObject;
  std::string mPath;
  JsonFaults* mFaults;
  std::set<std::string, std::less<>> mKnown;
};

/** Reads text as JSON with comments and trailing commas; it must be one object
 * in which no key stands twice. aVisit reads it; every fault, of the syntax or
 * found by aVisit, lands in aFaults. Thread safe.
 */
void ReadJsonDocument(std::string_view aText, JsonFaults& aFaults,
                      const JsonReader::Visit& aVisit);

/** Reads a whole file; the error names it and the remedy. Thread safe. */
Result<std::string> ReadFile(const std::string& aPath);

} // namespace heatherplank
