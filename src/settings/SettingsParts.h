#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "include/heatherplank/Error.h"
#include "include/heatherplank/Types.h"
#include "src/settings/JsonReader.h"
#include "src/settings/ProcessSettings.h"

namespace heatherplank {

/** Parts that the settings of several kinds of process share. Faults go to the
 * reader. Not thread safe, as the reader. */

/** An address that must be there and have a port. */
Address RequiredAddress(JsonReader& aReader, std::string_view aKey);

/** A list of addresses, none twice; empty if the key is missing. */
std::vector<Address> ReadAddresses(JsonReader& aReader, std::string_view aKey);

/** A process that listens on IPv4 can't send to an IPv6 peer from that socket;
 * it shows as silence, so it is refused before anything starts. */
void CheckFamily(JsonReader& aReader, std::string_view aKey,
                 const Address& aOwn, const Address& aOther);

/** What every process is told. */
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
