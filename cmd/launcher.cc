// The program of a daemon: blocks the signals that the daemon handles, then loads the daemon, a
// shared library beside it, and runs it. The daemon uses dozens of shared libraries. If they were
// loaded with the program, a signal that arrives meanwhile would take its default action.
#include "trefoil/startup/block_signals.h"

#include <climits>
#include <cstdio>
#include <cstdlib>
#include <dlfcn.h>
#include <libgen.h>
#include <sys/auxv.h>

int
main(int aArgumentCount, char** aArguments)
{
  trefoil::BlockDaemonSignals();
  // The path that was executed, which argv[0] need not be.
  const auto* executed = reinterpret_cast<const char*>(getauxval(AT_EXECFN));
  char* resolved = realpath(executed, nullptr);
  char folder[PATH_MAX];
  std::snprintf(folder, sizeof folder, "%s", resolved == nullptr ? executed : resolved);
  char name[PATH_MAX];
  std::snprintf(name, sizeof name, "%s", folder);
  char library[2 * PATH_MAX];
  std::snprintf(library, sizeof library, "%s/lib%s.so", dirname(folder), basename(name));
  std::free(resolved);
  void* handle = dlopen(library, RTLD_NOW | RTLD_GLOBAL);
  void* run = handle == nullptr ? nullptr : dlsym(handle, "RunDaemon");
  if (run == nullptr) {
    std::fprintf(stderr, "%s: %s\n", library, dlerror());
    return 1;
  }
  return reinterpret_cast<int (*)(int, char**)>(run)(aArgumentCount, aArguments);
}
