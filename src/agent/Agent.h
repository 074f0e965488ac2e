#pragma once

#include <memory>

#include "include/heatherplank/Error.h"
#include "src/settings/ProcessSettings.h"

namespace heatherplank {

/** An agent process: creates its sockets, timers and components, and connects
 * them. The decisions are made in Ownership, AdmissionPolicy and RunOnce.
 */
class Agent
{
public:
  /** Opens all ports. Fails with ErrorKind::System, which names the remedy, if
   * a port is unavailable. */
  static Result<std::unique_ptr<Agent>> Make(const AgentSettings& aSettings,
                                             bool aFaultInjection);

  ~Agent();

  /** Blocks until a planned stop has completed. */
  void Run();

private:
  struct Impl;
  explicit Agent(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
