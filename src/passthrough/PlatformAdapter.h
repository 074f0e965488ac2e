#pragma once

#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>

#include "include/heatherplank/ObjectStore.h"
#include "include/heatherplank/Types.h"
#include "src/net/Http.h"
#include "src/passthrough/FlowInventory.h"
#include "src/passthrough/HostAnnouncement.h"
#include "src/passthrough/PacketFormat.h"

namespace heatherplank {

/** Translates the formats and calls of the platform below the pass-through path
 * to this project's types. Thread safe. */
class PlatformAdapter
{
public:
  virtual ~PlatformAdapter() = default;

  virtual const PacketFormat& Packets() const = 0;
  virtual const FlowInventoryReader& Inventories() const = 0;

  /** Parses a host's call to its agent; Malformed with remedy if invalid. */
  virtual Result<HostAnnouncement> ReadHostCall(
    const HttpRequest& aRequest) const = 0;

  /** The response to a host's call; it reports an error to the host. */
  virtual HttpResponse AnswerHostCall(const HttpRequest& aRequest,
                                      const Result<void>& aOutcome) const = 0;

  /** Creates a client of the store at an address. */
  virtual std::unique_ptr<ObjectStore> MakeStore(
    const boost::asio::any_io_executor& aExecutor,
    const Address& aStore) const = 0;
};

} // namespace heatherplank
