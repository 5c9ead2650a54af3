// gcw: the operators' command line. See docs/operating/cli.md.
#include <iostream>
#include <string>
#include <vector>

#include "gcw/cli/cli.h"

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  return gcw::cli::RunCli(args, std::cout, std::cerr);
}
