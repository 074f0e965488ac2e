#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int aCount, char** aArguments)
{
  // Leaks are AddressSanitizer's work (HEATHERPLANK_SANITIZE); CppUTest's own
  // detector takes caches inside the libraries for leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
