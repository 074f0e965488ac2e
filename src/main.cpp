#include <cstdio>

int main()
{
  std::puts("heatherplank " HEATHERPLANK_VERSION);
  return 0;
}
