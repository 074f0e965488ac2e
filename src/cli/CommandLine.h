#pragma once

namespace heatherplank {

/** Runs the binary: finds the command, checks its flags and words, runs it.
 * Gives the exit code. Not thread safe; call once.
 */
int RunCommandLine(int aCount, char** aArguments);

} // namespace heatherplank
