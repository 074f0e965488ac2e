#pragma once

#include <string>

namespace heatherplank {

/** What the command line says to a balancer or agent. */
struct ProcessOptions
{
  /** File with its settings. */
  std::string mSettingsFile;
  /** Mount the faults of experiments on the admin port. */
  bool mFaultInjection = false;
};

} // namespace heatherplank
