#pragma once

#include <memory>

#include "include/heatherplank/Error.h"
#include "src/settings/ProcessSettings.h"

namespace heatherplank {

/** An agent process: its sockets, timers and parts, and how they are joined.
 * Decisions are made elsewhere: Ownership, AdmissionPolicy, RunOnce.
 */
class Agent
{
public:
  /** Opens every port; System with the remedy if one can't be had. */
  static Result<std::unique_ptr<Agent>> Make(const AgentSettings& aSettings,
                                             bool aFaultInjection);

  ~Agent();

  /** Runs until a planned stop has ended. */
  void Run();

private:
  struct Impl;
  explicit Agent(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace heatherplank
