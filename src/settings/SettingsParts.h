#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/settings/JsonReader.h"
#include "src/settings/ProcessSettings.h"

namespace heatherplank {

/** Readers of settings that several kinds of process share. Faults are added to
 * the JsonReader. Not thread safe. */

/** Reads a required address, which must have a port. */
Address RequiredAddress(JsonReader& aReader, std::string_view aKey);

/** Reads a list of addresses without duplicates; empty if the key is missing.
 */
std::vector<Address> ReadAddresses(JsonReader& aReader, std::string_view aKey);

/** Adds a fault if the address families differ: an IPv4 socket can't send to an
 * IPv6 peer, and at run time the peer would merely appear unresponsive. */
void CheckFamily(JsonReader& aReader, std::string_view aKey,
                 const Address& aSelf, const Address& aPeer);

/** Reads the settings that every process has. */
void ReadCommon(JsonReader& aReader, ProcessSettings& aOut);

/** Reads one document with aRead; InvalidInput that lists every fault. */
template<typename Settings>
Result<Settings> ParseSettings(std::string_view aText, const std::string& aFile,
                               void (*aRead)(JsonReader&, Settings&))
{
  Settings settings;
  JsonFaults faults(aFile);
  ReadJsonDocument(aText, faults,
                   [&](JsonReader& aReader) { aRead(aReader, settings); });
  if (!faults.IsEmpty()) {
    return tl::unexpected(faults.ToError());
  }
  return settings;
}

} // namespace heatherplank
