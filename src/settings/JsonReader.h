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

/** One fault in a JSON document. */
struct JsonFault
{
  /** E.g. "services[2].rules[0].importance"; empty for the whole document. */
  std::string mPath;
  std::string mFound;
  std::string mRemedy;
};

/** Collects all faults of one document, so that they can be fixed together. Not
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

  /** One line per fault: "<file>: <path>: <found>; <remedy>". */
  std::string Describe() const;
  /** All faults as one InvalidInput error. Precondition: not empty. */
  Error ToError() const;

private:
  std::string mFile;
  std::vector<JsonFault> mFaults;
};

/** Reads the keys of one JSON object and checks their types and ranges. A wrong
 * or missing value is recorded as a fault and the fallback is returned, so that
 * reading continues and finds further faults. Not thread safe; the object and
 * the faults must outlive the reader.
 */
class JsonReader
{
public:
  JsonReader(const boost::json::object& aObject, std::string aPath,
             JsonFaults& aFaults);

  /** Returns the path of a key, for faults that the caller detects. */
  std::string PathOf(std::string_view aKey) const;
  const std::string& Path() const { return mPath; }
  bool Has(std::string_view aKey) const { return mObject->contains(aKey); }
  void AddFault(std::string_view aKey, std::string aFound,
                std::string aRemedy) const;
  /** Returns all keys, for objects whose keys are names. */
  std::vector<std::string> Keys() const;

  /** Reads a required string, which must not be empty. */
  std::string RequiredString(std::string_view aKey);
  std::string String(std::string_view aKey, std::string aFallback);
  /** Reads one of the allowed strings. */
  std::string Choice(std::string_view aKey,
                     std::span<const std::string_view> aAllowed,
                     std::string aFallback);
  bool Bool(std::string_view aKey, bool aFallback);
  /** Reads an integer from aMin to aMax. */
  std::int64_t Integer(std::string_view aKey, std::int64_t aMin,
                       std::int64_t aMax, std::int64_t aFallback);
  /** As Integer, for a required key. */
  std::int64_t RequiredInteger(std::string_view aKey, std::int64_t aMin,
                               std::int64_t aMax);
  /** Reads a number, possibly fractional, from aMin to aMax. */
  double Number(std::string_view aKey, double aMin, double aMax,
                double aFallback);
  /** Reads a list of non-empty strings; empty if the key is missing. */
  std::vector<std::string> Strings(std::string_view aKey);

  using Visit = std::function<void(JsonReader&)>;
  /** Visits the object at a key, if present, then checks it for unknown keys.
   * False if the key is missing or its value is not an object. */
  bool Object(std::string_view aKey, const Visit& aVisit);
  /** Visits each object of the list at a key, in order. */
  void Objects(std::string_view aKey, const Visit& aVisit);

  /** Records a fault for each key that was not read, with the nearest known key
   * as the remedy. Call it once, after the last key was read. */
  void Finish();

private:
  const boost::json::value* Find(std::string_view aKey);
  const boost::json::value* Require(std::string_view aKey);
  void AddTypeFault(std::string_view aKey, const boost::json::value& aValue,
                    std::string_view aExpected) const;

  const boost::json::object* mObject;
  std::string mPath;
  JsonFaults* mFaults;
  std::set<std::string, std::less<>> mKnown;
};

/** Parses text as JSON with comments and trailing commas; it must be one object
 * without duplicate keys. aVisit reads it; every fault, of the syntax or
 * found by aVisit, is added to aFaults. Thread safe.
 */
void ReadJsonDocument(std::string_view aText, JsonFaults& aFaults,
                      const JsonReader::Visit& aVisit);

/** Reads a whole file; the error names the file and remedy. Thread safe. */
Result<std::string> ReadFile(const std::string& aPath);

} // namespace heatherplank
