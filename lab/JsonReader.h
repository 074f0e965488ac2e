#pragma once

#include <set>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "include/heatherplank/Clock.h"

namespace heatherplank::lab {

/** Reads the members of one JSON object into fields; keeps the first fault
 * that it meets. Not thread safe.
 */
class JsonReader
{
public:
  /** Precondition: aFrom outlives the reader. aWhere stands in messages. */
  JsonReader(const boost::json::value& aFrom, std::string aWhere);

  /** Each reads a member, if there is one, into aOut. */
  void Read(std::string_view aKey, std::string& aOut);
  void Read(std::string_view aKey, bool& aOut);
  void Read(std::string_view aKey, double& aOut);
  void Read(std::string_view aKey, std::size_t& aOut);
  /** Milliseconds. */
  void Read(std::string_view aKey, Duration& aOut);

  /** The member, or null. */
  const boost::json::value* Find(std::string_view aKey);

  /** Notes a fault found elsewhere, unless one is held. */
  void Complain(std::string_view aMessage);

  /** The first fault, or a member that nobody asked for; empty if none. */
  std::string Fault() const;

private:
  const boost::json::object* mFrom = nullptr;
  std::string mWhere;
  std::string mFault;
  std::set<std::string, std::less<>> mKnown;
};

} // namespace heatherplank::lab
